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

// Log lines for requests per second, their burst, and the part of the burst that is
// reserved for requests with something to explain.
const (
	logRate    = 200
	logBurst   = 400
	logReserve = logBurst / 2
)

// logged is the decision about the log lines of one request.
type logged uint8

const (
	logUndecided logged = iota
	logKept
	logDropped
)

// lineLimiter limits the log lines of requests and counts the dropped ones. The decision at
// a request's first line holds for all of its lines, so that a request is logged completely
// or not at all. Ordinary successes, which have one line, are dropped first.
type lineLimiter struct {
	mu           sync.Mutex
	limiter      *rate.Limiter
	droppedSince uint64 // since the last line that was written
	dropped      uint64 // in total
}

func newLineLimiter() *lineLimiter { return &lineLimiter{limiter: rate.NewLimiter(logRate, logBurst)} }

// admit reports whether a line of a request is written, and how many were dropped since the
// last written one. ordinary marks the end of a request that was answered.
func (g *lineLimiter) admit(now time.Time, l *logged, ordinary bool) (ok bool, lost uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if *l == logUndecided {
		*l = g.decide(now, ordinary)
	}
	if *l == logDropped {
		g.droppedSince++
		g.dropped++
		return false, 0
	}
	g.limiter.ReserveN(now, 1) // further lines of a logged request are always written
	lost, g.droppedSince = g.droppedSince, 0
	return true, lost
}

func (g *lineLimiter) decide(now time.Time, ordinary bool) logged {
	least := 1.0
	if ordinary {
		least += logReserve
	}
	if g.limiter.TokensAt(now) < least {
		return logDropped
	}
	return logKept
}

// LogLinesDropped returns how many log lines of requests were dropped.
func (e *Entry) LogLinesDropped() uint64 {
	e.logLimiter.mu.Lock()
	defer e.logLimiter.mu.Unlock()
	return e.logLimiter.dropped
}

// logRefusal logs a call that never became a job.
func (e *Entry) logRefusal(callerID string, err *result.Error) {
	var l logged
	ok, lost := e.logLimiter.admit(time.Now(), &l, false)
	if !ok {
		return
	}
	revision, roster := uint64(0), config.Position(0)
	if v := e.board.Config.View(); v != nil {
		revision, roster = v.Revision, v.RosterRevision
	}
	e.log.Info("request refused", zap.String("caller_id", callerID), zap.Uint64("revision", revision), zap.Stringer("roster", roster),
		zap.Int("code", int(err.Code)), zap.String("name", err.Code.String()), zap.String("detail", err.Detail), zap.Duration("retry_after", err.RetryAfter),
		zap.Uint64("lines_left_out", lost))
}

// logEnd logs the end of a request, in one line. It never contains prompt text.
func (e *Entry) logEnd(j *job, o report.Outcome, v report.Verdict, err *result.Error) {
	ok, lost := e.logLimiter.admit(time.Now(), &j.logged, o.Code == result.OK)
	if !ok {
		return
	}
	e.log.Info("request", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.Stringer("fingerprint", j.fingerprint), zap.String("route", j.route.Name),
		zap.Uint64("revision", j.view.Revision), zap.Stringer("roster", j.view.RosterRevision), zap.String("team", o.Team), zap.String("model", o.Model),
		zap.Int("code", int(o.Code)), zap.String("name", o.Code.String()), zap.String("detail", err.Detail),
		zap.Int("verdict", int(v)), zap.Duration("ttft", o.TTFT), zap.Duration("tpot", o.TPOT), zap.Int("prompt_tokens", j.tokens),
		zap.Int("answer_tokens", o.Tokens), zap.Int("attempts", o.Attempts), zap.Int("tries", j.tries), zap.Int("reads", j.prefillCalls),
		zap.Int("sends", j.decodeCalls), zap.Duration("retry_after", err.RetryAfter), zap.String("no_retry", j.noRetry), zap.Duration("took", time.Since(j.arrived)), zap.String("regions", j.regionLog), zap.String("prefill", j.prefillName),
		zap.String("decode", j.decodeName), zap.Durations("phases", j.phases[:]), zap.String("gateway", j.gateway), zap.Int("wasted_tokens", o.Wasted),
		zap.Uint64("lines_left_out", lost))
}

// callerID returns the caller's own id of the request, if it sent one.
func (j *job) callerID() string {
	if j.work == nil || j.work.Origin == nil {
		return ""
	}
	return j.work.Origin.ID
}

// logCall logs a failed call to an endpoint, with what its handling depends on.
func (e *Entry) logCall(j *job, spec *config.Endpoint, phase string, err error, took time.Duration) {
	ok, lost := e.logLimiter.admit(time.Now(), &j.logged, false)
	if !ok {
		return
	}
	e.log.Info("call failed", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.Stringer("fingerprint", j.fingerprint), zap.String("endpoint", spec.Name),
		zap.String("address", spec.Address), zap.String("phase", phase), zap.Int("try", j.tries), zap.Bool("may_have_run", endpoint.MayHaveRun(err)),
		zap.Bool("unreachable", endpoint.Unreachable(err)), zap.Int("pieces", j.reply.chunks()), zap.Duration("took", took),
		zap.String("error", err.Error()), zap.Uint64("lines_left_out", lost))
}

// logTunnel logs that a call is made by way of another host.
func (e *Entry) logTunnel(j *job, spec *config.Endpoint, gateway string) {
	j.gateway = gateway
	ok, lost := e.logLimiter.admit(time.Now(), &j.logged, false)
	if !ok {
		return
	}
	e.log.Info("connected by way of another host", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("endpoint", spec.Name),
		zap.String("address", spec.Address), zap.String("gateway", gateway), zap.Uint64("lines_left_out", lost))
}

// logRefused logs that an owner granted no capacity, with the age of the digest that the
// choice was based on.
func (e *Entry) logRefused(j *job, spec *config.Endpoint, phase string, refusal *result.Error, age time.Duration) {
	ok, lost := e.logLimiter.admit(time.Now(), &j.logged, false)
	if !ok {
		return
	}
	e.log.Info("no room", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("endpoint", spec.Name),
		zap.String("phase", phase), zap.Int("code", int(refusal.Code)), zap.Duration("retry_after", refusal.RetryAfter),
		zap.Duration("slack", j.slack()), zap.Duration("digest_age", age), zap.Uint64("lines_left_out", lost))
}
