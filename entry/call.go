package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Call is a request received by a front end of another protocol. Its route is chosen by
// host and path, and its answer is forwarded as it arrives.
type Call struct {
	Origin      *request.Origin // its Body is read by Serve
	Keys        []string        // keys that identify the caller's team, as received
	Prompt      *Prompt         // nil: the call has none
	TimeLeft    time.Duration   // until the caller times out; 0: unknown
	LastEventID string          // id of the last event that the caller received; empty: none
	// FirstAttempt is the caller's id of the attempt that brought its first event, where LastEventID is
	// given; empty: it didn't say.
	FirstAttempt string
	// Sends a refusal or failure to the caller, in its protocol.
	Refuse func(w http.ResponseWriter, err *result.Error)
}

// Prompt describes a prompt whose text is not parsed.
type Prompt struct {
	Model     string
	Tokens    int
	MaxAnswer int    // in tokens
	Expected  int    // answer tokens estimated by the caller; 0: none
	Head      uint32 // identifies the prompt in cache feeds
	HasHead   bool
	Parts     []string // names of the parts that other prompts may have as well
}

// Serve handles a call received by another front end.
func (e *Entry) Serve(w http.ResponseWriter, q *http.Request, c *Call) {
	from := caller{c.Origin.ID, c.TimeLeft, c.Refuse}
	received := clock.Now()
	v, src, ok := e.receiveCall(w, q, from, func(v *config.View) *result.Error {
		_, _, refusal := routeAndTeam(v, q, c)
		return refusal
	})
	if !ok {
		return
	}
	c.Origin.Body = src
	if c.TimeLeft > 0 {
		c.TimeLeft = max(minTimeLeft, c.TimeLeft-clock.Now().Sub(received))
	}
	r, team, refusal := routeAndTeam(v, q, c)
	if refusal != nil {
		e.refuse(w, q, refusal, from)
		return
	}
	j := e.newCallJob(v, r, team, c)
	j.setFingerprint(q, src)
	j.reply = newPassthroughTo(w, q, c.Refuse)
	run := func(ctx context.Context) *result.Error { return e.runService(ctx, j) }
	if j.prompted {
		run = func(ctx context.Context) *result.Error { return e.run(ctx, j) }
	}
	e.execute(q.Context(), j, 0, run)
}

// routeAndTeam returns the route and the team of a call, by its head alone.
func routeAndTeam(v *config.View, q *http.Request, c *Call) (*config.RouteView, *config.Team, *result.Error) {
	r := v.RouteFor(config.HostName(q.Host), q.URL.Path)
	if r == nil {
		return nil, nil, result.Errorf(result.NoRoute, "no route of host %q matches path %q", q.Host, q.URL.Path)
	}
	team, refusal := callTeam(v, r, c.Keys)
	return r, team, refusal
}

// minTimeLeft is the least time of a caller, as 0 stands for an unknown one.
const minTimeLeft = time.Millisecond

// maxSampled is how many engines are sampled for the typical step time.
const maxSampled = 64

// sampleEndpoints returns some endpoints of a list, from the host's failure domain if it
// has any.
func sampleEndpoints(l route.List, domain int) []*route.State {
	list := l.InFailureDomain(domain)
	if len(list) == 0 {
		list = l.All()
	}
	return list[:min(len(list), maxSampled)]
}

// typicalStep returns the time of a decode step in the job's pool: the slowest among a
// sample of engines, at a typical batch size.
func (e *Entry) typicalStep(j *job) (step time.Duration) {
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		if g := j.group(fleet); g != nil {
			for _, s := range sampleEndpoints(g.Decode, j.criteria.EntryDomain) {
				step = max(step, time.Duration(s.SlowFactor()*float64(route.StepTime(s.Spec, typicalBatch))))
			}
		}
	})
	return step
}

// typicalBatch is how many answers an engine is assumed to decode at once.
const typicalBatch = 10

// newCallJob makes a job of a call.
func (e *Entry) newCallJob(v *config.View, r *config.RouteView, team *config.Team, c *Call) *job {
	hd := headers{team: team, priority: teamPriority(team, r), deadline: c.TimeLeft, repeatable: r.Repeatable()}
	if t := r.Timeout(); t > 0 && (hd.deadline == 0 || t < hd.deadline) {
		hd.deadline = t
	}
	j := e.newJob(v, r, hd)
	if c.Origin.ID != "" {
		j.engineID = xxhash.Sum64String(c.Origin.ID)
	}
	j.work = &endpoint.Work{Origin: c.Origin, LastEventID: c.LastEventID}
	j.firstAttempt = c.FirstAttempt
	j.work.Priority = j.priority
	if c.TimeLeft > 0 {
		j.work.Deadline = clock.Now().Add(c.TimeLeft)
	}
	share := r.PickShare(j.criteria.Seed >> 32)
	j.pool = share.Pool.Name
	j.prompted = share.Pool.HasEngines()
	if p := c.Prompt; p != nil && j.prompted {
		j.tokens, j.expected = max(1, request.BoundTokens(p.Tokens)), request.BoundTokens(p.Expected)
		j.work.Model, j.work.MaxTokens = p.Model, max(1, request.BoundTokens(p.MaxAnswer))
		j.criteria.Model, j.criteria.Tokens, j.criteria.MaxAnswer = p.Model, j.tokens, j.work.MaxTokens
		j.criteria.Head, j.criteria.HasHead = p.Head, p.HasHead
		j.setParts(c.Origin.Host, p.Parts)
	}
	return j
}

// group returns the endpoints that a job may use under the revision in force: the route may
// have changed since the job was admitted.
func (j *job) group(fleet *route.Fleet) *route.Group {
	if fleet.View == nil { // a first revision is in force, and the fleet isn't built yet
		return nil
	}
	r := fleet.View.RouteByName(j.route.Name)
	if r == nil {
		return nil
	}
	if j.pool == "" || r.SendsTo(j.pool) {
		return fleet.Group(r, j.pool)
	}
	share := r.PickShare(j.criteria.Seed >> 32)
	if share == nil || share.Pool.HasEngines() != j.prompted {
		return nil
	}
	j.pool = share.Pool.Name
	return fleet.Group(r, j.pool)
}
