package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
)

// Log lines of requests a second, how many may come at once, and how many of
// these are for requests of which there is anything to explain.
const (
	logRate    = 200
	logBurst   = 400
	logReserve = logBurst / 2
)

// logged says what was decided about the lines of one request.
type logged uint8

const (
	logUndecided logged = iota
	logKept
	logLeftOut
)

// lineGate bounds the log lines of requests and counts those left out. A
// request's first line decides about all of its lines, so that one that is
// kept is whole. Ordinary successes, which have one line, are left out first.
type lineGate struct {
	mu      sync.Mutex
	lim     *rate.Limiter
	lost    uint64 // since the last line that was let through
	leftOut uint64 // in all
}

func newLineGate() *lineGate { return &lineGate{lim: rate.NewLimiter(logRate, logBurst)} }

// admit reports whether a line of a request is written, and how many were left
// out since the last that was. ordinary marks the end of a request that was
// answered.
func (g *lineGate) admit(now time.Time, l *logged, ordinary bool) (ok bool, lost uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if *l == logUndecided {
		*l = g.decide(now, ordinary)
	}
	if *l == logLeftOut {
		g.lost++
		g.leftOut++
		return false, 0
	}
	g.lim.ReserveN(now, 1) // further lines of a request are written in any case
	lost, g.lost = g.lost, 0
	return true, lost
}

func (g *lineGate) decide(now time.Time, ordinary bool) logged {
	least := 1.0
	if ordinary {
		least += logReserve
	}
	if g.lim.TokensAt(now) < least {
		return logLeftOut
	}
	return logKept
}

// LinesLeftOut returns how many log lines of requests were left out.
func (e *Entry) LinesLeftOut() uint64 {
	e.logs.mu.Lock()
	defer e.logs.mu.Unlock()
	return e.logs.leftOut
}

// logRefusal writes a line for a call that never became a job.
func (e *Entry) logRefusal(callerID string, err *result.Error) {
	var l logged
	ok, lost := e.logs.admit(time.Now(), &l, false)
	if !ok {
		return
	}
	revision, roster := uint64(0), config.Position(0)
	if v := e.board.Config.View(); v != nil {
		revision, roster = v.Revision, v.Roster
	}
	e.log.Info("request refused", zap.String("caller_id", callerID), zap.Uint64("revision", revision), zap.Stringer("roster", roster),
		zap.Int("code", int(err.Code)), zap.String("name", err.Code.String()), zap.String("detail", err.Detail), zap.Duration("retry_after", err.RetryAfter),
		zap.Uint64("lines_left_out", lost))
}

// logEnd writes the one line of a request's end. It never holds prompt text.
func (e *Entry) logEnd(j *job, o report.Outcome, v report.Verdict, err *result.Error) {
	ok, lost := e.logs.admit(time.Now(), &j.logged, o.Code == result.OK)
	if !ok {
		return
	}
	e.log.Info("request", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.Stringer("fingerprint", j.asks), zap.String("route", j.route.Name),
		zap.Uint64("revision", j.view.Revision), zap.Stringer("roster", j.view.Roster), zap.String("team", o.Team), zap.String("model", o.Model),
		zap.Int("code", int(o.Code)), zap.String("name", o.Code.String()), zap.String("detail", err.Detail),
		zap.Int("verdict", int(v)), zap.Duration("ttft", o.TTFT), zap.Duration("tpot", o.TPOT), zap.Int("prompt_tokens", j.tokens),
		zap.Int("answer_tokens", o.Tokens), zap.Int("attempts", o.Attempts), zap.Int("tries", j.tries), zap.Int("reads", j.reads),
		zap.Int("sends", j.sends), zap.Duration("retry_after", err.RetryAfter), zap.Duration("took", time.Since(j.came)), zap.String("regions", j.regions), zap.String("prefill", j.prefill),
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
	ok, lost := e.logs.admit(time.Now(), &j.logged, false)
	if !ok {
		return
	}
	e.log.Info("call failed", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.Stringer("fingerprint", j.asks), zap.String("endpoint", spec.Name),
		zap.String("address", spec.Address), zap.String("phase", phase), zap.Int("try", j.tries), zap.Bool("may_have_run", endpoint.MayHaveRun(err)),
		zap.Bool("unreachable", endpoint.Unreachable(err)), zap.Int("pieces", j.out.pieces()), zap.Duration("took", took),
		zap.String("error", err.Error()), zap.Uint64("lines_left_out", lost))
}

// logRefused writes a line for an owner that granted no room, with the age of
// what the choice was made from.
func (e *Entry) logRefused(j *job, spec *config.Endpoint, phase string, refusal *result.Error, age time.Duration) {
	ok, lost := e.logs.admit(time.Now(), &j.logged, false)
	if !ok {
		return
	}
	e.log.Info("no room", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("endpoint", spec.Name),
		zap.String("phase", phase), zap.Int("code", int(refusal.Code)), zap.Duration("retry_after", refusal.RetryAfter),
		zap.Duration("slack", j.slack()), zap.Duration("digest_age", age), zap.Uint64("lines_left_out", lost))
}
