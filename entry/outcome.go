package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/result"
)

// outcomeOf returns how an attempt that ended with err ended, as its owner is told.
func outcomeOf(ctx context.Context, err error) owner.Outcome {
	switch {
	case err == nil:
		return owner.Done
	case ctx.Err() != nil:
		return owner.CallerLeft
	case endpoint.MayHaveRun(err), endpoint.Unreachable(err):
		return failedOutcome(err)
	}
	return owner.Rejected
}

// failedOutcome returns the outcome of an attempt that failed, but wasn't refused.
func failedOutcome(err error) owner.Outcome {
	switch {
	case endpoint.KnownUnreachable(err):
		return owner.Abandoned
	case isSilence(err):
		return owner.Silent
	}
	return owner.Failed
}

// isSilence reports whether err means that an endpoint sent nothing or accepted no connection in time.
func isSilence(err error) bool {
	var stalled *stallError
	return endpoint.ConnectTimedOut(err) || errors.As(err, &stalled)
}

// callFailure makes a retryable of a call that failed at an endpoint.
func (e *Entry) callFailure(spec *config.Endpoint, err error) *retryable {
	r := &retryable{endpointName: spec.Name, mayHaveRun: endpoint.MayHaveRun(err), notSent: endpoint.KnownUnreachable(err)}
	if r.mayHaveRun {
		r.refusal = result.Errorf(result.AnswerBroken, "%s broke off the request", spec.Name).After(time.Second)
		return r
	}
	r.refusal = result.Errorf(result.EndpointRefused, "%s refused the request", spec.Name).After(time.Second)
	return r
}

// hasNoPath reports whether neither this host nor another one reaches an endpoint.
func (e *Entry) hasNoPath(spec *config.Endpoint) bool {
	return e.board.Paths.State(spec.Address, time.Now()) == blackboard.PathNone
}
