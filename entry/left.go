package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/result"
)

// A request waits after its endpoints were chosen: for its turn, for its prompt,
// for room. So each endpoint is looked at again just before it is called.

// hasLeft reports whether an endpoint leaves or is gone by what is in force now.
func (e *Entry) hasLeft(spec *config.Endpoint) bool {
	now := e.board.Config.View().ByName[spec.Name]
	return now == nil || now.Leaving
}

// errLeft is why a call was not made.
var errLeft = errors.New("the endpoint has begun to leave")

// leftBehind is the failure of a try whose endpoint left before it was called.
func leftBehind(spec *config.Endpoint) *retryable {
	refusal := result.Errorf(result.EndpointRefused, "%s left while the request waited", spec.Name).After(time.Second)
	return &retryable{name: spec.Name, refusal: refusal}
}

// moveFrom moves a request from a decode engine that has left to another, while
// the result of its prompt is kept. It returns an error if there is none.
func (e *Entry) moveFrom(ctx context.Context, j *job, p *plan, kv *endpoint.Transfer, lapses time.Time) error {
	if p.kept || kv == nil {
		// The prompt is kept there or would be read there: all is chosen anew.
		e.releaseDecode(j, p, owner.GivenUp)
		return leftBehind(p.dec)
	}
	e.moveOn(ctx, j, p, owner.GivenUp, true)
	if p.dec == nil {
		e.drop(j, p, kv)
		return e.wasted(j, p, errLeft)
	}
	if !sleep(ctx, min(time.Until(p.start), time.Until(lapses))) && ctx.Err() != nil {
		e.discard(j, p, kv)
		return asResult(ctx.Err())
	}
	return nil
}
