package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// job is one request on its way.
type job struct {
	headers
	id       request.ID
	mark     uint64              // of the id by which engines list it; 0: the attempt's
	asks     request.Fingerprint // what it asks for, whoever else asked for it before
	view     *config.View        // the revision that it was admitted under
	route    *config.RouteView
	pool     string         // of the route's pools, the one that it goes to; empty: no pools
	work     *endpoint.Work // what engines are given
	prompted bool           // it goes to engines, not to a plain service
	out      reply
	came     time.Time
	tokens   int // of the prompt
	expected int // of the answer, by the caller's guess; 0: none
	pick     route.Request
	emptied  uint64 // failure domains, as in pick.Shut, of which one owner said in this try that they are
	away     away
	// refusedIn are the regions that it left for in this try and that refused it: it leaves
	// early, during a wait and at the end, and asked one of two regions three times so.
	refusedIn config.Regions
	regions   string // what was decided about other regions, for the log
	teamNum   uint32
	drawn     float64 // of the team's quota, in its unit

	ran      bool             // some call may have run at an endpoint
	started  bool             // not repeatable: it was started
	trial    bool             // it holds a trial, as endpoints ended under the same request
	settled  bool             // its answer goes on well in that trial
	tried    time.Duration    // that it waited for trials: it may be late by it, but isn't refused for it
	ended    int              // endpoints that ended as they ran it, in this attempt
	waste    int              // tokens read that no answer came of, so far
	read     int              // tokens read in all
	attempts int              // calls that may have run at an endpoint
	tries    int              // passes of the whole way
	unsent   int              // passes that count as none, as no call was made
	reads    int              // calls to prefill endpoints
	sends    int              // calls to decode endpoints or services
	phases   [5]time.Duration // for the log: since came, at the end of each
	prefill  string
	decode   string
	last     *endpoint.Answer // failure that an endpoint answered with
	logged   logged
}

// target returns the time to the first piece, or to the answer, that counts
// as in time.
func (j *job) target() time.Duration {
	if j.route.TargetMillis > 0 {
		return time.Duration(j.route.TargetMillis) * time.Millisecond
	}
	return j.view.Doc.Targets.TTFT()
}

// mostAttempts returns how many endpoints the job may run on.
func (j *job) mostAttempts() int {
	if j.route.MaxAttempts > 0 {
		return j.route.MaxAttempts
	}
	return j.view.Doc.Limits.MaxAttempts
}

// completions serves both completion paths.
func (e *Entry) completions(w http.ResponseWriter, q *http.Request) {
	v, src, ok := e.receive(w, q, apiCaller)
	if !ok {
		return
	}
	chat := q.URL.Path == "/v1/chat/completions"
	j, refusal := e.admit(v, q.Header, src, chat)
	if refusal != nil {
		e.refuse(w, q, refusal, apiCaller)
		return
	}
	j.identify(q, src)
	j.out = newAnswer(w, j, chat)
	e.carry(q.Context(), j, xxhash.Sum64(src), func(ctx context.Context) *result.Error { return e.run(ctx, j) })
}

// admit checks a call and makes a job of it.
func (e *Entry) admit(v *config.View, h http.Header, src []byte, chat bool) (*job, *result.Error) {
	hd, refusal := parseHeaders(v, h)
	if refusal != nil {
		return nil, refusal
	}
	body, err := ParseBody(src, chat)
	if err != nil {
		return nil, result.Errorf(result.BadBody, "%v", err)
	}
	m := v.Models[body.Model]
	if m == nil {
		return nil, result.Errorf(result.UnknownModel, "model = %q: not a configured model or adapter", body.Model)
	}
	tokens := body.tokens()
	if n := tokens + *body.MaxTokens; n > m.MaxTokens {
		return nil, result.Errorf(result.PromptTooLong, "prompt: %d tokens with max_tokens, the model takes %d", n, m.MaxTokens)
	}
	hd.labels["team"], hd.labels["model"] = hd.team.Name, body.Model
	r := v.Match(hd.labels, false)
	if r == nil {
		return nil, result.Errorf(result.NoRoute, "no route takes a request with these labels")
	}
	j := e.newJob(v, r, hd)
	j.prompted, j.tokens = true, tokens
	j.priority = max(hd.priority, rank(hd.team, r)) // a request may lower itself, not raise
	j.work = &endpoint.Work{Completion: endpoint.Completion{Model: body.Model, Prompt: body.Prompt, MaxTokens: *body.MaxTokens,
		Stream: body.Stream, Priority: j.priority}}
	j.pick.Model, j.pick.Tokens, j.pick.MaxAnswer = body.Model, tokens, *body.MaxTokens
	j.pick.Head, j.pick.HasHead = endpoint.Head(body.Prompt)
	return j, nil
}

// newJob returns a job of a route; what is asked for is still to be set.
func (e *Entry) newJob(v *config.View, r *config.RouteView, hd headers) *job {
	j := &job{headers: hd, id: e.board.NextID(), view: v, route: r, came: time.Now(), teamNum: config.NameNumber(hd.team.Name)}
	j.pick = route.Request{Hosts: e.board.Hosts.Len(), Home: v.DomainIndex(e.board.Settings.Domain), Region: v.RegionSet(e.board.Settings.Region),
		Seed: e.turn.Add(1)<<32 ^ uint64(e.board.Number)}
	return j
}

// identify notes what a job asks for.
func (j *job) identify(q *http.Request, body []byte) {
	j.asks = request.FingerprintOf(j.team.Name, hostName(q.Host), q.Method, q.URL.RequestURI(), body)
}

// carry takes a job from its row in the table of requests to its outcome.
func (e *Entry) carry(ctx context.Context, j *job, bodyHash uint64, run func(ctx context.Context) *result.Error) {
	row := blackboard.Request{ID: j.id, Team: j.team.Name, Model: j.work.Model, Phase: blackboard.PhaseReserve, Since: j.came, PhaseSince: j.came, Tokens: j.tokens}
	if refusal := e.blamed(j); refusal != nil {
		e.finish(j, refusal, false)
		return
	}
	if refusal := e.draw(ctx, j); refusal != nil {
		e.finish(j, refusal, false)
		return
	}
	l := j.view.Doc.Limits
	if err := e.board.Requests.Begin(row, j.team.MaxConcurrent, l.Concurrent); err != nil {
		refusal := asResult(err)
		refusal.Unsure = j.key != ""
		e.finish(j, refusal, false)
		return
	}
	if j.deadline > 0 {
		var end func()
		ctx, end = e.withDeadline(ctx, j)
		defer end()
	}
	if j.key != "" {
		if refusal := e.takeKey(ctx, j, bodyHash); refusal != nil {
			e.finish(j, refusal, true)
			return
		}
	}
	err := run(ctx)
	e.endTrial(j)
	e.goHome(j)
	if err == nil {
		err = result.Errorf(result.OK, "")
	}
	e.finish(j, e.final(ctx, j, err), true)
}

// final turns an outcome into what may be said: a job that may have run is
// never called not run, and a caller that left is named as the cause.
func (e *Entry) final(ctx context.Context, j *job, err *result.Error) *result.Error {
	if err.Code == result.OK {
		return err
	}
	switch context.Cause(ctx) {
	case context.Canceled:
		return result.Errorf(result.CallerGone, "the caller left")
	case context.DeadlineExceeded:
		if j.ran {
			return result.Errorf(result.DeadlinePassed, "the deadline passed")
		}
		return result.Errorf(result.TooLate, "the deadline passed before the request ran").After(time.Second)
	}
	if j.ran && err.Code.NotRun() {
		if !j.repeatable {
			return result.Errorf(result.OutcomeUnknown, "%s", err.Detail)
		}
		return result.Errorf(result.PrefillWasted, "%s", err.Detail).After(err.RetryAfter)
	}
	return err
}

// outcome returns what is recorded of a job.
func (j *job) outcome(code result.Code) report.Outcome {
	o := report.Outcome{Team: j.team.Name, Code: code, Prefilled: j.read, Wasted: j.waste, Attempts: j.attempts, Tries: j.tries, Service: !j.prompted}
	if j.prompted {
		o.Model = j.work.Model
		o.Tokens = j.out.pieces()
	}
	o.TTFT, o.TPOT = j.out.times(j.came)
	return o
}
