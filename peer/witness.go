package peer

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
)

// maxWitnesses is how many hosts are pinged at once to learn whether anybody answers this host.
const maxWitnesses = 2

// pingNearby pings hosts of the own failure domain, or of the region if there are none, and
// records their answers on the board. It doesn't wait for them, and reports false if there is no
// host to ping. Each ping opens a connection, as open ones may have gone silent.
func (r *Router) pingNearby(ctx context.Context) bool {
	hosts := r.witnesses(time.Now())
	for _, h := range hosts {
		go r.pingOnce(ctx, h.Peers)
	}
	return len(hosts) > 0
}

// witnesses returns the hosts to ping.
func (r *Router) witnesses(now time.Time) []blackboard.Host {
	if near := r.board.Hosts.Watched(maxWitnesses, now); len(near) > 0 {
		return near
	}
	var region candidates
	self := r.board.Hosts.Self()
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		if live && h.Number != self.Number && h.Region == self.Region && h.Peers != "" {
			region.add(r.board.Number, h, true)
		}
	})
	if region.seen == 0 {
		return nil
	}
	return []blackboard.Host{region.sampled[0]}
}

// pingOnce pings a host over a connection of its own and records the answer.
func (r *Router) pingOnce(ctx context.Context, addr string) {
	began := time.Now()
	c, err := r.pool.open(ctx, addr)
	if err != nil {
		return
	}
	defer c.Close()
	r.Traffic.Calls.Add(1)
	call := c.Go(methodPing, &Nothing{}, new(Heartbeat), nil)
	select {
	case <-call.Done:
		if call.Error == nil {
			r.board.Answers.Record(began)
		}
	case <-ctx.Done():
	}
}
