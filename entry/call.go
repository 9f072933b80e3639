package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Call is a request that a front end of another protocol has read. Its route
// is chosen by host and path, and its answer is passed on as it comes.
type Call struct {
	Origin   *request.Origin // Body is read by Serve
	Keys     []string        // that name the caller's team, as they came
	Prompt   *Prompt         // nil: the call carries none
	Left     time.Duration   // until the caller gives up; 0: unknown
	LastMark string          // names the last piece that the caller has; empty: none
	// Refuse tells the caller of a refusal or failure, in its protocol.
	Refuse func(w http.ResponseWriter, err *result.Error)
}

// Prompt is what decisions know of a prompt whose text they don't read.
type Prompt struct {
	Model     string
	Tokens    int
	MaxAnswer int    // tokens
	Expected  int    // tokens of the answer by the caller's guess; 0: none
	Head      uint32 // names the prompt in cache feeds
	HasHead   bool
}

// Serve carries a call of another front end.
func (e *Entry) Serve(w http.ResponseWriter, q *http.Request, c *Call) {
	if e.board.Leaving() {
		w.Header().Set("Connection", "close")
	}
	from := caller{c.Origin.ID, c.Refuse}
	v, src, ok := e.receive(w, q, from)
	if !ok {
		return
	}
	c.Origin.Body = src
	r := v.RouteFor(hostName(q.Host), q.URL.Path)
	if r == nil {
		e.refuse(w, q, result.Errorf(result.NoRoute, "no route of host %q begins path %q", q.Host, q.URL.Path), from)
		return
	}
	team, refusal := callTeam(v, r, c.Keys)
	if refusal != nil {
		e.refuse(w, q, refusal, from)
		return
	}
	j := e.callJob(v, r, team, c)
	j.identify(q, src)
	if e.stopsBefore(j) {
		e.refuse(w, q, result.Errorf(result.Draining, "this host is stopping before the answer would be whole").After(comeBackSoon), from)
		return
	}
	j.out = newPassage(w, c.Refuse)
	run := func(ctx context.Context) *result.Error { return e.runService(ctx, j) }
	if j.prompted {
		run = func(ctx context.Context) *result.Error { return e.run(ctx, j) }
	}
	e.carry(q.Context(), j, 0, run)
}

// comeBackSoon is when a request that another host can take may be sent again.
const comeBackSoon = 50 * time.Millisecond

// stopsBefore reports whether the process may well end before a job's answer
// is whole. Such jobs are left to other hosts.
func (e *Entry) stopsBefore(j *job) bool {
	if !j.prompted {
		return false
	}
	tokens := likelyExcess * float64(j.expected)
	if j.expected == 0 {
		tokens = float64(j.work.MaxTokens) / 2
	}
	if e.board.LeavingFor() > config.Millis(e.board.Settings.LameDuckMillis) {
		// By now callers' balancers send nothing new; who still keeps a
		// connection finds another host at once. No answer may be cut.
		tokens = float64(j.work.MaxTokens)
	}
	return e.board.StopsWithin(j.target() + time.Duration(tokens*float64(e.usualStep(j))))
}

// likelyExcess is how much longer than guessed an answer is taken to be:
// guesses are right in the median and often far off.
const likelyExcess = 1.5

// mostSteps is how many engines tell the usual time of a step.
const mostSteps = 64

// someOf returns some endpoints of a list, of the host's failure domain if there are any.
func someOf(l route.List, home int) []*route.State {
	list := l.In(home)
	if len(list) == 0 {
		list = l.All()
	}
	return list[:min(len(list), mostSteps)]
}

// usualStep returns the time of a decode step in the job's pool, by the slowest
// of some of its engines and a usual batch.
func (e *Entry) usualStep(j *job) (step time.Duration) {
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		if g := j.group(fleet); g != nil {
			for _, s := range someOf(g.Decode, j.pick.Home) {
				step = max(step, time.Duration(s.Slow()*float64(route.StepTime(s.Spec, likelyBatch))))
			}
		}
	})
	return step
}

// likelyBatch is how many answers an engine is taken to write at once.
const likelyBatch = 10

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// callJob makes a job of a call.
func (e *Entry) callJob(v *config.View, r *config.RouteView, team *config.Team, c *Call) *job {
	hd := headers{team: team, priority: rank(team, r), deadline: c.Left, repeatable: r.Repeatable()}
	if t := r.Timeout(); t > 0 && (hd.deadline == 0 || t < hd.deadline) {
		hd.deadline = t
	}
	j := e.newJob(v, r, hd)
	if c.Origin.ID != "" {
		j.mark = xxhash.Sum64String(c.Origin.ID)
	}
	j.work = &endpoint.Work{Origin: c.Origin, LastMark: c.LastMark}
	j.work.Priority = j.priority
	if c.Left > 0 {
		j.work.Until = clock.Now().Add(c.Left)
	}
	share := r.Draw(j.pick.Seed >> 32)
	j.pool = share.Pool.Name
	j.prompted = share.Pool.Engines()
	if p := c.Prompt; p != nil && j.prompted {
		j.tokens, j.expected = max(1, p.Tokens), p.Expected
		j.work.Model, j.work.MaxTokens = p.Model, max(1, p.MaxAnswer)
		j.pick.Model, j.pick.Tokens, j.pick.MaxAnswer = p.Model, j.tokens, j.work.MaxTokens
		j.pick.Head, j.pick.HasHead = p.Head, p.HasHead
	}
	return j
}

// group returns the endpoints that a job may go to under the revision in
// force: the route may have moved since it was admitted.
func (j *job) group(fleet *route.Fleet) *route.Group {
	if fleet.View == nil { // a first revision is in force and not laid out yet
		return nil
	}
	r := fleet.View.RouteByName(j.route.Name)
	if r == nil {
		return nil
	}
	if j.pool == "" || r.Reaches(j.pool) {
		return fleet.Group(r, j.pool)
	}
	share := r.Draw(j.pick.Seed >> 32)
	if share == nil || share.Pool.Engines() != j.prompted {
		return nil
	}
	j.pool = share.Pool.Name
	return fleet.Group(r, j.pool)
}
