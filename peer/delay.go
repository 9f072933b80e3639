package peer

import (
	"context"
	"sync"
	"time"

	"github.com/embercove/embercove/blackboard"
)

// delayHosts is how many hosts are asked to measure the delay of this host's calls. The links and processors of
// some may be what is slow.
const delayHosts = 3

// roundTrips holds the fastest recent round trip of a ping to each host. The zero value is ready to use.
type roundTrips struct {
	mu      sync.Mutex
	fastest map[uint32]*recentLeast
}

// excess returns how much longer a round trip at an uptime took than the fastest recent one to the same host. Before
// there was one, all of it counts.
func (t *roundTrips) excess(host uint32, took, uptime time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.fastest[host]; l != nil {
		return l.excess(took, uptime)
	}
	if t.fastest == nil {
		t.fastest = map[uint32]*recentLeast{}
	}
	t.fastest[host] = new(recentLeast)
	t.fastest[host].excess(took, uptime)
	return took
}

// measureDelay pings some hosts of several failure domains and returns the delay of the first answer beyond the
// fastest round trip of its host. It implements intake.Probe.
func (r *Router) measureDelay(ctx context.Context) (delay time.Duration, answered, asked bool) {
	hosts := r.board.Hosts.Spread(delayHosts, &blackboard.Host{Domain: r.board.Settings.Domain}, time.Now())
	delays := make(chan time.Duration, len(hosts))
	for _, h := range hosts {
		go func() { delays <- r.pingDelay(ctx, &h) }()
	}
	for range hosts {
		if d := <-delays; d >= 0 {
			return d, true, true
		}
	}
	return 0, false, len(hosts) > 0
}

// pingDelay returns the delay of a host's answer to a ping; below 0: it didn't answer.
func (r *Router) pingDelay(ctx context.Context, h *blackboard.Host) time.Duration {
	began := time.Now()
	deadline, _ := ctx.Deadline()
	if err := r.pool.call(ctx, h.Peers, methodPing, &Nothing{}, new(Heartbeat), time.Until(deadline)); err != nil {
		return -1
	}
	return r.roundTrips.excess(h.Number, time.Since(began), r.uptime())
}
