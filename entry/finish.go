package entry

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
)

// refuse answers a call that never became a job. Its key, if it has one, was
// not looked up, so an earlier attempt may have run.
func (e *Entry) refuse(w http.ResponseWriter, q *http.Request, err *result.Error, write writeRefusal) {
	err.Unsure = q.Header.Get(HeaderKey) != ""
	e.board.Requests.Refused(err.Code)
	e.record.Record(report.Outcome{Code: err.Code, Team: unknownTeam}, time.Now())
	if ok, lost := e.logs.allow(); ok {
		e.log.Info("request refused", zap.Int("code", int(err.Code)), zap.String("name", err.Code.String()),
			zap.String("detail", err.Detail), zap.Uint64("lines_left_out", lost))
	}
	write(w, err)
}

// unknownTeam stands for the team of calls that were refused before theirs
// was known.
const unknownTeam = "(none)"

// finish ends a job: the caller's answer, the key, the row, the record and
// the log line. began says that the job has a row.
func (e *Entry) finish(j *job, err *result.Error, began bool) {
	inv := e.board.Invariant
	inv.Check(!err.Code.NotRun() || !j.ran, invariant.NotRunClean, "request %s ends as %s", j.id, err.Code)
	inv.Check(err.Code != result.OK || j.out.complete(), invariant.CompleteMarked, "request %s ends cleanly before its last token", j.id)
	o := j.outcome(err.Code)
	v := e.record.Record(o, time.Now())
	if err.Code == result.OK && o.TTFT > 0 {
		e.Latency.record(j.kind(), o.TTFT)
	}
	if err.Code == result.OK {
		j.out.end()
	}
	e.endKey(j, err.Code)
	if began {
		e.board.Requests.End(j.id, err.Code)
	}
	e.logEnd(j, o, v, err)
	switch {
	case err.Code == result.OK:
	case j.last != nil && !j.out.complete():
		e.passFailure(j, err)
	default:
		j.out.fail(err)
	}
}

// passFailure gives the caller the failure that an endpoint answered with.
func (e *Entry) passFailure(j *job, err *result.Error) {
	defer j.last.Body.Close()
	if j.out.whole(j.last) != nil {
		j.out.fail(err)
	}
}

// logEnd writes the one line of a request's end. It never holds prompt text.
func (e *Entry) logEnd(j *job, o report.Outcome, v report.Verdict, err *result.Error) {
	ok, lost := e.logs.allow()
	if !ok {
		return
	}
	e.log.Info("request", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("route", j.route.Name),
		zap.Uint64("revision", j.view.Revision), zap.Uint64("roster", j.view.Roster), zap.String("team", o.Team), zap.String("model", o.Model),
		zap.Int("code", int(o.Code)), zap.String("name", o.Code.String()), zap.String("detail", err.Detail),
		zap.Int("verdict", int(v)), zap.Duration("ttft", o.TTFT), zap.Duration("tpot", o.TPOT), zap.Int("prompt_tokens", j.tokens),
		zap.Int("answer_tokens", o.Tokens), zap.Int("attempts", o.Attempts), zap.Int("tries", j.tries), zap.Int("reads", j.reads),
		zap.Int("sends", j.sends), zap.Duration("retry_after", err.RetryAfter), zap.Duration("took", time.Since(j.came)), zap.String("prefill", j.prefill),
		zap.String("decode", j.decode), zap.Durations("phases", j.phases[:]), zap.Int("wasted_tokens", o.Wasted),
		zap.Uint64("lines_left_out", lost))
}

// callerID returns the caller's own name for the request, if it gave one.
func (j *job) callerID() string {
	if j.work == nil || j.work.Origin == nil {
		return ""
	}
	return j.work.Origin.ID
}

// logCall writes a line for a call to an endpoint that failed, with what
// decided about it.
func (e *Entry) logCall(j *job, spec *config.Endpoint, phase string, err error, took time.Duration) {
	ok, lost := e.logs.allow()
	if !ok {
		return
	}
	e.log.Info("call failed", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("endpoint", spec.Name),
		zap.String("address", spec.Address), zap.String("phase", phase), zap.Int("try", j.tries), zap.Bool("may_have_run", endpoint.MayHaveRun(err)),
		zap.Bool("unreachable", endpoint.Unreachable(err)), zap.Int("pieces", j.out.pieces()), zap.Duration("took", took),
		zap.String("error", err.Error()), zap.Uint64("lines_left_out", lost))
}

// logRefused writes a line for an owner that granted no room, with the age of
// what the choice was made from.
func (e *Entry) logRefused(j *job, spec *config.Endpoint, phase string, refusal *result.Error, age time.Duration) {
	ok, lost := e.logs.allow()
	if !ok {
		return
	}
	e.log.Info("no room", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("endpoint", spec.Name),
		zap.String("phase", phase), zap.Int("code", int(refusal.Code)), zap.Duration("retry_after", refusal.RetryAfter),
		zap.Duration("slack", j.slack()), zap.Duration("digest_age", age), zap.Uint64("lines_left_out", lost))
}

// Log lines a second, and how many may come at once.
const (
	logRate  = 200
	logBurst = 400
)

// floodGate bounds log lines and counts those left out.
type floodGate struct {
	once sync.Once
	lim  *rate.Limiter
	mu   sync.Mutex
	lost uint64
}

func (g *floodGate) allow() (ok bool, lost uint64) {
	g.once.Do(func() { g.lim = rate.NewLimiter(logRate, logBurst) })
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lim.Allow() {
		g.lost++
		return false, 0
	}
	lost, g.lost = g.lost, 0
	return true, lost
}

// Limited wraps h in a server with the limits that hold for every caller.
func Limited(h http.Handler, headerBytes int) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes}
}

// Times that a caller's connection may take to no purpose.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)
