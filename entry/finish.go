package entry

import (
	"net/http"
	"time"

	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/retry"
)

// refuse answers a call that never became a job. Its key, if it has one, was
// not looked up, so an earlier attempt may have run.
func (e *Entry) refuse(w http.ResponseWriter, q *http.Request, err *result.Error, c caller) {
	err.Unsure = q.Header.Get(HeaderKey) != ""
	e.board.Requests.Refused(err.Code)
	e.record.Record(report.Outcome{Code: err.Code, Team: unknownTeam}, time.Now())
	e.logRefusal(c.id, err)
	c.refuse(w, err)
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
	if j.prompted && retry.LacksRoom(err.Code) && err.RetryAfter > 0 {
		err.RetryAfter = e.back.After(j.pool, err.RetryAfter)
	}
	o := j.outcome(err.Code)
	v := e.record.Record(o, time.Now())
	if err.Code == result.OK && o.TTFT > 0 {
		e.Latency.record(j.kind(), o.TTFT)
	}
	if err.Code == result.OK {
		j.out.end()
	}
	e.endKey(j, err.Code)
	e.giveBack(j, err.Code)
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

// Limited wraps h in a server with the limits that hold for every caller.
func Limited(h http.Handler, headerBytes int) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes}
}

// Times that a caller's connection may take to no purpose.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)
