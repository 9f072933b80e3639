package owner

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/endpoint"
)

// isConclusive reports whether a failed poll says something of the endpoint, and not of this host or its
// links.
func (o *Owner) isConclusive(ctx context.Context, sched *Scheduler, err error, othersAnswer bool, began time.Time) bool {
	var noPath *endpoint.NoPathError
	if errors.As(err, &noPath) {
		return noPath.Confirmed
	}
	return !isSilence(ctx, err) || othersAnswer && o.board.Paths.SilenceConclusive(sched.spec.Address, began)
}

// isSilence reports whether a call failed because nothing arrived in time.
func isSilence(ctx context.Context, err error) bool {
	var timeout net.Error
	return err != nil && (ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout())
}
