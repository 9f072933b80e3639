package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// What a planned stop means for requests: those whose answers it may cut off are left to other hosts, and those that are in progress
// at its end are answered with what is known of them.

// errStopped is the cause of the end of requests that are in progress at the end of a planned stop.
var errStopped = errors.New("this host has stopped")

// elsewhereRetryAfter is the retry time of a request that another host can take at once.
const elsewhereRetryAfter = 50 * time.Millisecond

// EndRequests ends the requests in progress, each with an answer unless its own has begun. It doesn't wait for that.
func (e *Entry) EndRequests() { e.endRequests(errStopped) }

// CutAtStop returns how many answers that had begun were cut off by EndRequests.
func (e *Entry) CutAtStop() int { return int(e.cutAtStop.Load()) }

// withStop returns a context that ends with EndRequests, and a function to call when its request has ended.
func (e *Entry) withStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	forget := context.AfterFunc(e.requests, func() { cancel(context.Cause(e.requests)) })
	return ctx, func() {
		forget()
		cancel(nil)
	}
}

// stoppedResult returns the result of a job that EndRequests has ended.
func (e *Entry) stoppedResult(j *job) *result.Error {
	if j.reply.complete() || j.reply.chunks() > 0 {
		e.cutAtStop.Add(1)
	}
	if j.possiblyRan {
		return result.Errorf(result.OutcomeUnknown, "this host stopped before the answer was complete")
	}
	return stopRefusal()
}

// stopRefusal is the refusal of a job that is left to other hosts because this one stops.
func stopRefusal() *result.Error {
	return result.Errorf(result.Draining, "this host stops before the answer would be complete").After(elsewhereRetryAfter)
}

// stopsBeforeEnd reports whether the process is likely to stop before a job's answer is complete.
func (e *Entry) stopsBeforeEnd(j *job) bool { return e.board.StopsWithin(e.timeToEnd(j)) }

// timeToEnd returns how long a job that begins now is taken to need. Once the lame-duck time is over, callers' load balancers send
// nothing new, and a caller that still holds a connection reaches another host at once. So no answer to a request that came later may
// be cut off: it is taken to need all the time that it has, or else to be as long as it can be.
func (e *Entry) timeToEnd(j *job) time.Duration {
	isLate := e.board.LeavingFor()-time.Since(j.arrived) > config.Millis(e.board.Settings.LameDuckMillis)
	if isLate && j.deadline > 0 {
		return time.Until(j.arrived.Add(j.deadline))
	}
	begins := max(0, time.Until(j.arrived.Add(j.target())))
	if !j.prompted {
		return begins
	}
	tokens := answerLengthMargin * float64(j.expected)
	if j.expected == 0 {
		tokens = float64(j.work.MaxTokens) / 2
	}
	if isLate {
		tokens = float64(j.work.MaxTokens)
	}
	return begins + time.Duration(tokens*float64(e.typicalStep(j)))
}

// answerLengthMargin scales the estimated length of an answer: estimates are right in the
// median and often far off.
const answerLengthMargin = 1.5
