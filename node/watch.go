package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

// Times of the watches of the platform. A waiting watch counts there as one call, so a
// host makes about two calls in watchTimeout, and one more for each change.
const (
	watchTimeout    = 30 * time.Second
	minBackoff      = 200 * time.Millisecond
	maxBackoff      = 10 * time.Second
	staleRetryDelay = time.Second // before a platform replica that is behind is asked again
	jitterShare     = 0.3
)

// jittered returns d plus or minus a random share of up to jitterShare, so that the
// hosts of a fleet that was cut off don't all reconnect at once.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}

// watch repeats poll until ctx ends. After a success it waits for the pause that poll
// returns, after failures for a growing backoff.
func (n *Node) watch(ctx context.Context, name string, poll func(ctx context.Context, wait time.Duration) (pause time.Duration, err error)) {
	backoff := minBackoff
	for ctx.Err() == nil {
		pause, err := poll(ctx, jittered(watchTimeout))
		if err != nil {
			n.log.Debug("platform is out of reach", zap.String("watch", name), zap.Error(err))
			pause = jittered(backoff)
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = minBackoff
			n.Board.Config.RecordPlatformAnswer(time.Now())
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
		inForce := n.Board.Config.Revision()
		after := max(inForce, n.Board.Config.Rejected())
		r, err := n.platform.Config(ctx, after, wait)
		if err != nil || r == nil {
			return 0, err
		}
		n.Router.Offer(r.Revision, []byte(r.Document), "platform")
		if r.Revision <= after {
			return jittered(staleRetryDelay), nil // a replica that is behind
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
			return jittered(staleRetryDelay), nil
		}
		version = l.Version
		n.Router.MergeHostList(l)
		return 0, nil
	})
}
