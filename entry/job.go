package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// job is one request in progress.
type job struct {
	headers
	id                request.ID
	engineID          uint64              // hash of the id by which engines list it; 0: the attempt's id is used
	fingerprint       request.Fingerprint // of its content; the same for every caller that sends it
	firstAttempt      string              // of the caller, that brought the first event of the answer that it takes up
	parts             []quarantine.Part   // of its prompt, without the last one
	view              *config.View        // the revision that it was admitted under
	route             *config.RouteView
	pool              string         // pool of the route that it uses; empty: no pools
	work              *endpoint.Work // what engines receive
	prompted          bool           // it runs on engines, not on a plain service
	reply             replyWriter
	arrived           time.Time
	tokens            int // of the prompt
	expected          int // answer tokens estimated by the caller; 0: none
	criteria          route.Request
	reportedEvacuated uint64 // failure domains that one owner reported as evacuated in this try; bits as in criteria.EvacuatedDomains
	redirect          redirect
	// refusedRegions are the regions that it was redirected to in this try and that refused
	// it. Without this record a request asked one of two regions three times: before its own
	// region, during a wait for memory and at the end.
	refusedRegions config.Regions
	regionLog      string // decisions about other regions, for the log
	teamNumber     uint32
	quotaDrawn     float64 // from the team's quota, in its unit

	possiblyRan    bool                // some call may have run at an endpoint
	started        bool                // not repeatable: it was started
	probeKey       request.Fingerprint // of its last probe: of its request, or of a part of its prompt
	probing        bool                // it holds a probe, as endpoints crashed under the same request
	probeRetries   bool                // that probe is a retry after the third crash
	probeSent      bool                // an endpoint got the request in that probe
	failedProbes   int                 // its runs that failed, each with a probe of its own if the request was suspected
	settled        bool                // its answer has progressed far enough in that probe
	probeWaited    time.Duration       // time it waited for probes: it may be late by this much, but isn't refused for it
	turn           turnWait            // its wait for a decode engine that runs no other suspected request
	crashCount     int                 // endpoints that crashed as they ran it
	crashedCalls   int                 // of attempts: calls at which the endpoint crashed
	excusedCalls   int                 // of attempts: calls at which the endpoint crashed for another cause
	wastedTokens   int                 // prefilled tokens that led to no answer, so far
	prefilledTotal int                 // tokens prefilled in all
	attempts       int                 // calls that may have run at an endpoint
	tries          int                 // passes through reservation, prefill and decode
	uncountedTries int                 // passes not counted in tries, as no call was made
	prefillCalls   int                 // calls to prefill endpoints
	decodeCalls    int                 // calls to decode endpoints or services
	phases         [5]time.Duration    // for the log: time since arrived at the end of each phase
	prefillName    string
	decodeName     string
	gateway        string           // the host that passed on the connection of its last call over a tunnel; empty: none
	lastFailure    *endpoint.Answer // failure that an endpoint answered with
	next           *nextTry         // prepared next try; nil: none
	opened         *openedCall      // the next decode call, if it is made already; nil: it isn't
	unconfirmed    *lateVersion     // of the answer, whose software version wasn't known as it began; nil: it was
	lateResult     bool             // its prefill answered late: the result may have expired on the way
	isNextTry      bool             // a next try, prepared beside the current one: it may be late, and changes no phase
	awaitingSince  time.Time        // since when the answer has waited for capacity to continue
	noRetry        string           // why no further try was made, for the log; empty: none was needed
	logged         logged
}

// target returns the time to the first chunk, or to the answer, that the job should meet.
func (j *job) target() time.Duration {
	if j.route.TargetMillis > 0 {
		return time.Duration(j.route.TargetMillis) * time.Millisecond
	}
	return j.view.Doc.Targets.TTFT()
}

// maxAttempts returns how many endpoints the job may run on, with those whose crashes are excused.
func (j *job) maxAttempts() int {
	if j.route.MaxAttempts > 0 {
		return j.route.MaxAttempts + j.excusedCalls
	}
	return j.view.Doc.Limits.MaxAttempts + j.excusedCalls
}

// completions serves both completion paths.
func (e *Entry) completions(w http.ResponseWriter, q *http.Request) {
	v, src, ok := e.receiveCall(w, q, apiCaller, func(v *config.View) *result.Error {
		_, refusal := parseHeaders(v, q.Header)
		return refusal
	})
	if !ok {
		return
	}
	conn := intake.ConnOf(q.Context())
	if !conn.Acquire(parsedCopies * len(src)) {
		e.refuse(w, q, noRoom(), apiCaller)
		return
	}
	chat := q.URL.Path == "/v1/chat/completions"
	j, refusal := e.admit(v, q.Header, src, chat)
	if refusal != nil {
		e.refuse(w, q, refusal, apiCaller)
		return
	}
	j.setFingerprint(q, src)
	j.reply = newAnswer(w, j, chat, conn)
	e.execute(q.Context(), j, xxhash.Sum64(src), func(ctx context.Context) *result.Error { return e.run(ctx, j) })
}

// parsedCopies is how many times its size a body in JSON takes up besides itself: as its fields, as one prompt, and as the body
// of a call to an engine.
const parsedCopies = 3

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
	if n := tokens + min(*body.MaxTokens, m.MaxTokens); n > m.MaxTokens || *body.MaxTokens > m.MaxTokens {
		return nil, result.Errorf(result.PromptTooLong, "prompt: %d tokens with max_tokens, the model takes %d", n, m.MaxTokens)
	}
	hd.labels["team"], hd.labels["model"] = hd.team.Name, body.Model
	r := v.Match(hd.labels, false)
	if r == nil {
		return nil, result.Errorf(result.NoRoute, "no route matches the request's labels")
	}
	j := e.newJob(v, r, hd)
	j.prompted, j.tokens = true, tokens
	j.priority = max(hd.priority, teamPriority(hd.team, r)) // a request may lower its priority, not raise it
	j.work = &endpoint.Work{Completion: endpoint.Completion{Model: body.Model, Prompt: body.Prompt, MaxTokens: *body.MaxTokens,
		Stream: body.Stream, Priority: j.priority}}
	j.criteria.Model, j.criteria.Tokens, j.criteria.MaxAnswer = body.Model, tokens, *body.MaxTokens
	j.criteria.Head, j.criteria.HasHead = endpoint.Head(body.Prompt)
	return j, nil
}

// newJob returns a job of a route; the caller sets what it asks for.
func (e *Entry) newJob(v *config.View, r *config.RouteView, hd headers) *job {
	j := &job{headers: hd, id: e.board.NewRequestID(), view: v, route: r, arrived: time.Now(), teamNumber: config.NameNumber(hd.team.Name)}
	j.criteria = route.Request{Hosts: e.board.Hosts.Len(), EntryDomain: v.DomainIndex(e.board.Settings.Domain), Region: v.RegionSet(e.board.Settings.Region),
		Seed: e.sequence.Add(1)<<32 ^ uint64(e.board.Number)}
	return j
}

// setFingerprint sets the fingerprint of the job's request.
func (j *job) setFingerprint(q *http.Request, body []byte) {
	j.fingerprint = request.FingerprintOf(j.team.Name, config.HostName(q.Host), q.Method, q.URL.RequestURI(), body)
}

// execute takes a job from its row in the request table to its result.
func (e *Entry) execute(ctx context.Context, j *job, bodyHash uint64, run func(ctx context.Context) *result.Error) {
	ctx, forget := e.withStop(ctx)
	defer forget()
	if e.stopsBeforeEnd(j) {
		refusal := stopRefusal()
		refusal.Unsure = j.key != ""
		e.finish(j, refusal, false)
		return
	}
	row := blackboard.Request{ID: j.id, Team: j.team.Name, Model: j.work.Model, Phase: blackboard.PhaseReserve, Since: j.arrived, PhaseSince: j.arrived, Tokens: j.tokens}
	if refusal := e.quarantineRefusal(j); refusal != nil {
		e.finish(j, refusal, false)
		return
	}
	if refusal := e.bindTakenUp(ctx, j); refusal != nil {
		e.finish(j, refusal, false)
		return
	}
	if refusal := e.drawQuota(ctx, j); refusal != nil {
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
		if refusal := e.acquireKey(ctx, j, bodyHash); refusal != nil {
			e.finish(j, refusal, true)
			return
		}
	}
	err := run(ctx)
	e.endProbe(j)
	e.returnToLocalRegion(j)
	if err == nil {
		err = result.Errorf(result.OK, "")
	}
	e.finish(j, e.finalResult(ctx, j, err), true)
}

// finalResult turns a result into what the caller may receive: a job that may have run is
// never reported as not run, and if the caller left, that is the cause.
func (e *Entry) finalResult(ctx context.Context, j *job, err *result.Error) *result.Error {
	if err.Code == result.OK {
		return err
	}
	switch context.Cause(ctx) {
	case errStopped:
		return e.stoppedResult(j)
	case context.Canceled:
		return result.Errorf(result.CallerGone, "the caller left")
	case context.DeadlineExceeded:
		if j.possiblyRan {
			return result.Errorf(result.DeadlinePassed, "the deadline passed")
		}
		return result.Errorf(result.TooLate, "the deadline passed before the request ran").After(time.Second)
	}
	if j.possiblyRan && err.Code.NotRun() {
		if !j.repeatable {
			return result.Errorf(result.OutcomeUnknown, "%s", err.Detail)
		}
		return result.Errorf(result.PrefillWasted, "%s", err.Detail).After(err.RetryAfter)
	}
	return err
}

// outcome returns what is recorded of a job.
func (j *job) outcome(code result.Code) report.Outcome {
	o := report.Outcome{Team: j.team.Name, Code: code, Prefilled: j.prefilledTotal, Wasted: j.wastedTokens, Attempts: j.attempts, Tries: j.tries, Service: !j.prompted}
	if j.prompted {
		o.Model = j.work.Model
		o.Tokens = j.reply.chunks()
	}
	o.TTFT, o.TPOT = j.reply.times(j.arrived)
	return o
}
