package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
)

// Call is a request that a front end of another protocol has read. Its route
// is chosen by host and path, and its answer is passed on as it comes.
type Call struct {
	Origin   *request.Origin // Body is read by Serve
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
	MaxAnswer int // tokens
	Expected  int // tokens of the answer by the caller's guess; 0: none
}

// defaultTeam is the team of calls whose protocol knows no teams.
var defaultTeam = &config.Team{Name: "default", Weight: 1}

// Serve carries a call of another front end.
func (e *Entry) Serve(w http.ResponseWriter, q *http.Request, c *Call) {
	if e.board.Leaving() {
		w.Header().Set("Connection", "close")
	}
	v, src, ok := e.receive(w, q, c.Refuse)
	if !ok {
		return
	}
	c.Origin.Body = src
	r := v.RouteFor(hostName(q.Host), q.URL.Path)
	if r == nil {
		e.refuse(w, q, result.Errorf(result.NoRoute, "no route of host %q begins path %q", q.Host, q.URL.Path), c.Refuse)
		return
	}
	j := e.callJob(v, r, c)
	if e.board.StopsWithin(j.likely()) {
		e.refuse(w, q, result.Errorf(result.Draining, "this host is stopping before the answer would be whole").After(comeBackSoon), c.Refuse)
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

// likely returns the time that an answer in pieces may well take. A host that
// is about to stop leaves longer ones to others.
func (j *job) likely() time.Duration {
	if !j.prompted {
		return 0
	}
	p := j.view.Pools[j.pool]
	tokens := j.expected
	if tokens == 0 {
		tokens = j.work.MaxTokens / 2
	}
	step := time.Duration(p.StepMicros+likelyBatch*p.StepMicrosEach) * time.Microsecond
	return j.target() + time.Duration(likelyExcess*float64(tokens)*float64(step))
}

// An answer is taken to be longer than guessed, and to be written in a batch.
const (
	likelyExcess = 1.5
	likelyBatch  = 10
)

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// callJob makes a job of a call.
func (e *Entry) callJob(v *config.View, r *config.RouteView, c *Call) *job {
	hd := headers{team: defaultTeam, priority: r.Priority, deadline: c.Left, repeatable: r.Repeatable()}
	if t := r.Timeout(); t > 0 && (hd.deadline == 0 || t < hd.deadline) {
		hd.deadline = t
	}
	j := e.newJob(v, r, hd)
	if c.Origin.ID != "" {
		j.mark = xxhash.Sum64String(c.Origin.ID)
	}
	j.work = &endpoint.Work{Origin: c.Origin, LastMark: c.LastMark}
	j.work.Priority = r.Priority
	if c.Left > 0 {
		j.work.Until = j.came.Add(c.Left)
	}
	share := r.Draw(j.pick.Seed >> 32)
	j.pool = share.Pool.Name
	j.prompted = share.Pool.Engines()
	if p := c.Prompt; p != nil && j.prompted {
		j.tokens, j.expected = max(1, p.Tokens), p.Expected
		j.work.Model, j.work.MaxTokens = p.Model, max(1, p.MaxAnswer)
		j.pick.Model, j.pick.Tokens, j.pick.MaxAnswer = p.Model, j.tokens, j.work.MaxTokens
	}
	return j
}

// group returns the endpoints that a job may go to under the revision in
// force: the route may have moved since it was admitted.
func (j *job) group(v *config.View) *config.Group {
	r := v.RouteByName(j.route.Name)
	if r == nil {
		return nil
	}
	if j.pool == "" {
		return &r.Group
	}
	if g := r.Reaches(j.pool); g != nil {
		return g
	}
	share := r.Draw(j.pick.Seed >> 32)
	if share == nil || share.Pool.Engines() != j.prompted {
		return nil
	}
	j.pool = share.Pool.Name
	return share.Group
}
