package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
)

// Heartbeats come by way of other hosts, and the more hosts there are the
// longer they take. So each host is also watched by two neighbours in a ring,
// who ask it directly every watchEvery; what they find goes around at once. The
// time to notice a dead host doesn't grow with the fleet, nor does the cost.

const (
	watchEvery = 1500 * time.Millisecond
	watchers   = 2
	mostMissed = 2                // pings in a row until a host counts as gone
	goneTold   = 30 * time.Second // how long exchanges carry it
)

// Watcher returns the controller that asks the watched hosts for their
// heartbeat, and tells news around while it is new.
func (r *Router) Watcher() blackboard.Controller {
	return blackboard.Every(watchEvery, func(ctx context.Context) {
		r.mu.Lock()
		hot := time.Now().Before(r.hot)
		r.mu.Unlock()
		if hot {
			r.spread()
		}
		for _, h := range r.board.Hosts.Watched(watchers, time.Now()) {
			go r.ping(ctx, h)
		}
	})
}

// ping asks a host for its heartbeat and accuses it when it was silent too
// often. A host that was paused itself accuses nobody.
func (r *Router) ping(ctx context.Context, h blackboard.Host) {
	b, err := r.beatOfPeer(ctx, h)
	now := time.Now()
	if err == nil {
		r.mu.Lock()
		delete(r.missed, h.Number)
		r.mu.Unlock()
		h.Incarnation, h.Beat, h.Leaving = b.Incarnation, b.Beat, b.Leaving
		r.board.Hosts.Learn(h, now)
		return
	}
	if ctx.Err() != nil || r.board.Pause.Check() {
		return
	}
	r.mu.Lock()
	r.missed[h.Number]++
	gone := r.missed[h.Number] >= mostMissed
	if gone {
		delete(r.missed, h.Number)
	}
	r.mu.Unlock()
	if gone && h.Incarnation != 0 && r.board.Hosts.Accuse(h.Number, h.Incarnation, r.lastBeat(h), now) {
		r.log.Warn("host is gone", zap.String("gone", h.Name), zap.Error(err))
		r.board.Wake.All()
		r.tellAround()
	}
}

// beatOfPeer asks a host for its heartbeat. One that has missed a ping is asked over a
// new connection: where all open ones have gone silent, hosts would take each other for
// gone, as both pings go over the same connection.
func (r *Router) beatOfPeer(ctx context.Context, h blackboard.Host) (b Beat, err error) {
	r.mu.Lock()
	missed := r.missed[h.Number] > 0
	r.mu.Unlock()
	call := r.pool.call
	if missed {
		call = r.pool.callAnew
	}
	err = call(ctx, h.Peers, methodPing, &Nothing{}, &b, r.timeout())
	return b, err
}

// lastBeat returns the last heartbeat that a host can have sent which answered the
// ping before those that it missed. Heartbeats of many hosts are long under way: by the
// last one that its watcher had seen, a killed host would be taken for live again and again.
func (r *Router) lastBeat(h blackboard.Host) uint64 {
	return h.Beat + uint64(watchEvery/r.heartbeat()) + 1
}
