package entry

import (
	"net/http"
	"time"

	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/retry"
)

// refuse answers a call that never became a job. Its key, if it has one, was not looked up,
// so an earlier attempt may have run.
func (e *Entry) refuse(w http.ResponseWriter, q *http.Request, err *result.Error, c caller) {
	err = e.orUncertain(err)
	err.Unsure = q.Header.Get(HeaderKey) != ""
	e.board.Requests.CountRefused(err.Code)
	e.recorder.Record(report.Outcome{Code: err.Code, Team: unknownTeam}, time.Now())
	e.logRefusal(c.id, err)
	c.refuse(w, err)
}

// unknownTeam is recorded for calls that were refused before their team was known.
const unknownTeam = "(none)"

// finish ends a job: the caller's answer, the key, the table row, the record and the log
// line. began says that the job has a row.
func (e *Entry) finish(j *job, err *result.Error, began bool) {
	inv := e.board.Invariant
	inv.Check(!err.Code.NotRun() || !j.possiblyRan, invariant.NotRunDidNotRun, "request %s ends as %s", j.id, err.Code)
	inv.Check(err.Code != result.OK || j.reply.complete(), invariant.CompleteOnlyIfWhole, "request %s ends cleanly before its last token", j.id)
	if j.prompted && retry.LacksCapacity(err.Code) && err.RetryAfter > 0 {
		err.RetryAfter = e.retryTimes.After(j.pool, err.RetryAfter)
	}
	o := j.outcome(err.Code)
	v := e.recorder.Record(o, time.Now())
	if err.Code == result.OK && o.TTFT > 0 {
		e.Latency.record(j.kind(), o.TTFT)
	}
	if err.Code == result.OK {
		j.reply.end()
	}
	e.finishKey(j, err.Code)
	e.refundQuota(j, err.Code)
	if began {
		e.board.Requests.End(j.id, err.Code)
	}
	e.logEnd(j, o, v, err)
	switch {
	case err.Code == result.OK:
	case j.lastFailure != nil && !j.reply.complete():
		e.forwardFailure(j, err)
	default:
		j.reply.fail(err)
	}
}

// forwardFailure sends the caller the failure that an endpoint answered with.
func (e *Entry) forwardFailure(j *job, err *result.Error) {
	defer j.lastFailure.Body.Close()
	if j.reply.sendWhole(j.lastFailure) != nil {
		j.reply.fail(err)
		return
	}
	j.reply.end()
}

// NewServer returns a server for h with the limits that hold for every caller.
func NewServer(h http.Handler, headerBytes int) *http.Server {
	return &http.Server{Handler: boundBodies(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes}
}

// Limits on how long a caller may hold a connection without sending a request.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// bodyTimeout bounds the time for a body whose handler reads none: net/http reads it before the next request.
	bodyTimeout = 5 * time.Second
)

// boundBodies has the body of each request arrive within bodyTimeout, unless its handler sets another limit.
func boundBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		h.ServeHTTP(w, q)
	})
}
