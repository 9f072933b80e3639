package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
)

// Heartbeats travel through other hosts, and take longer the more hosts there are. So each host
// is also watched by its two neighbours in a ring, which ping it directly every watchInterval and
// announce at once what they detect. Neighbours lie in the host's failure domain and may have lost their links
// to it together, so hosts of other domains must have missed it too. The time to detect a dead host doesn't grow with the fleet,
// and neither does the cost.

const (
	watchInterval  = 1500 * time.Millisecond
	watchers       = 2                // hosts that ping each host
	maxMissedPings = 2                // pings in a row before a host counts as gone
	goneSendFor    = 30 * time.Second // how long exchanges report a host as gone
	// confirmers is how many hosts are asked whether they reach a host before it counts as gone.
	confirmers = 3
)

// Watcher returns the controller that pings the watched hosts and those that have been silent for long, and repeats
// announcements of recent changes.
func (r *Router) Watcher() blackboard.Controller {
	return blackboard.Every(watchInterval, func(ctx context.Context) {
		r.mu.Lock()
		repeat := time.Now().Before(r.announceUntil)
		r.mu.Unlock()
		if repeat {
			r.spread()
		}
		for _, h := range r.board.Hosts.Watched(watchers, time.Now()) {
			go r.ping(ctx, h)
		}
		r.checkSilentHosts(ctx)
	})
}

// ping requests a host's heartbeat, and suspects the host after too many unanswered pings. A host
// that was itself paused suspects nobody.
func (r *Router) ping(ctx context.Context, h blackboard.Host) {
	b, err := r.pingHeartbeat(ctx, h)
	if err == nil {
		r.mu.Lock()
		delete(r.missedPings, h.Number)
		r.mu.Unlock()
		r.learnHeartbeat(h, b)
		return
	}
	if ctx.Err() != nil || r.board.Pause.Check() || errors.Is(err, errNobodyAnswers) {
		return
	}
	r.mu.Lock()
	r.missedPings[h.Number]++
	gone := r.missedPings[h.Number] >= maxMissedPings
	if gone {
		delete(r.missedPings, h.Number)
	}
	r.mu.Unlock()
	if !gone || h.Incarnation == 0 {
		return
	}
	if b, by, reached := r.pingByOthers(ctx, h); reached {
		r.log.Info("host is reached by others", zap.String("watched", h.Name), zap.String("by", by), zap.Error(err))
		r.learnHeartbeat(h, b)
		return
	}
	if r.board.Hosts.Suspect(h.Number, h.Incarnation, r.lastPossibleHeartbeat(h), time.Now()) {
		r.log.Warn("host is gone", zap.String("gone", h.Name), zap.Error(err))
		r.board.Wake.All()
		r.announceChanges()
	}
}

// learnHeartbeat records the heartbeat of a host that was just pinged.
func (r *Router) learnHeartbeat(h blackboard.Host, b Heartbeat) {
	h.Incarnation, h.Heartbeat, h.Leaving = b.Incarnation, b.Beat, b.Leaving
	r.board.Hosts.Learn(h, time.Now())
}

// pingByOthers asks hosts of several failure domains to ping a host. It returns the heartbeat that the first of
// them that reaches the host got, and that one's name.
func (r *Router) pingByOthers(ctx context.Context, h blackboard.Host) (b Heartbeat, by string, reached bool) {
	others := r.board.Hosts.Spread(confirmers, &h, time.Now())
	type result struct {
		reply PingForReply
		by    string
	}
	results := make(chan result, len(others))
	for _, o := range others {
		go func() {
			var reply PingForReply
			if err := r.pool.call(ctx, o.Peers, methodPingFor, &PingForArgs{h.Number}, &reply, 2*r.timeout()); err != nil {
				results <- result{} // a late reply may still be written to reply
				return
			}
			results <- result{reply, o.Name}
		}()
	}
	for range others {
		if got := <-results; got.reply.Reached {
			return got.reply.Heartbeat, got.by, true
		}
	}
	return Heartbeat{}, "", false
}

// PingFor pings a host for another one, which doesn't reach it.
func (s *server) PingFor(a *PingForArgs, reply *PingForReply) error {
	h, _, known := s.r.board.Hosts.Get(a.Number, time.Now())
	if !known || h.Peers == "" {
		return nil
	}
	b, err := s.r.pingHeartbeat(context.Background(), h)
	if err == nil {
		reply.Reached, reply.Heartbeat = true, b
	}
	return nil
}

// pingHeartbeat requests a host's heartbeat. After a missed ping it uses a new connection: if all
// open connections have gone silent, both pings would fail on the same one and hosts would
// consider each other gone.
func (r *Router) pingHeartbeat(ctx context.Context, h blackboard.Host) (b Heartbeat, err error) {
	r.mu.Lock()
	missed := r.missedPings[h.Number] > 0
	r.mu.Unlock()
	call := r.pool.call
	if missed {
		call = r.pool.callOnNewConn
	}
	if err = call(ctx, h.Peers, methodPing, &Nothing{}, &b, r.timeout()); err != nil {
		return Heartbeat{}, err // a late reply may still be written to b
	}
	return b, nil
}

// lastPossibleHeartbeat returns the highest heartbeat that a host can have sent if it answered
// the ping before those that it missed. In a large fleet heartbeats take long to arrive: if its
// watcher compared with the last one that it had seen itself, a killed host would be considered
// live again and again.
func (r *Router) lastPossibleHeartbeat(h blackboard.Host) uint64 {
	return h.Heartbeat + uint64(watchInterval/r.heartbeatInterval()) + 1
}
