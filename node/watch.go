package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

// Watches of the platform. One waiting watch counts as one call there, so a
// host makes about two calls in watchWait, and one more for each change.
const (
	watchWait   = 30 * time.Second
	backoffMin  = 200 * time.Millisecond
	backoffMax  = 10 * time.Second
	staleWait   = time.Second // before asking a replica again that is behind
	jitterShare = 0.3
)

// jittered spreads d by jitterShare to both sides, so that a fleet that was
// cut off doesn't come back all at once.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}

// watch repeats one until ctx ends: at once after success, with a growing
// wait after failures.
func (n *Node) watch(ctx context.Context, what string, one func(ctx context.Context, wait time.Duration) (pause time.Duration, err error)) {
	backoff := backoffMin
	for ctx.Err() == nil {
		pause, err := one(ctx, jittered(watchWait))
		if err != nil {
			n.log.Debug("platform is out of reach", zap.String("watch", what), zap.Error(err))
			pause = jittered(backoff)
			backoff = min(2*backoff, backoffMax)
		} else {
			backoff = backoffMin
			n.Board.Config.Heard(time.Now())
		}
		if pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

func (n *Node) watchConfig(ctx context.Context) {
	n.watch(ctx, "config", func(ctx context.Context, wait time.Duration) (time.Duration, error) {
		in := n.Board.Config.Revision()
		after := max(in, n.Board.Config.Rejected())
		r, err := n.platform.Config(ctx, after, wait)
		if err != nil || r == nil {
			return 0, err
		}
		n.Router.Offer(r.Revision, []byte(r.Document), "platform")
		if r.Revision <= after {
			return jittered(staleWait), nil // a replica that is behind
		}
		return 0, nil
	})
}

func (n *Node) watchHosts(ctx context.Context) {
	var version uint64
	n.watch(ctx, "hosts", func(ctx context.Context, wait time.Duration) (time.Duration, error) {
		l, err := n.platform.Hosts(ctx, version, wait)
		if err != nil || l == nil {
			return 0, err
		}
		if l.Version <= version {
			return jittered(staleWait), nil
		}
		version = l.Version
		n.Router.Listed(l)
		return 0, nil
	})
}
