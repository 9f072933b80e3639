package peer

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
)

// pingTimeout bounds a ping by which a host learns whether anybody answers it.
const pingTimeout = 500 * time.Millisecond

// pingWitnesses pings a host of the own failure domain and one of another in the region, as far
// as there are any, and records their answers on the board. It doesn't wait for them, and reports
// false if there is no host to ping. Each ping opens a connection, as open ones may have gone
// silent.
func (r *Router) pingWitnesses() bool {
	hosts := r.witnesses(time.Now())
	for _, h := range hosts {
		go r.pingOnce(h.Peers)
	}
	return len(hosts) > 0
}

// witnesses returns the hosts to ping.
func (r *Router) witnesses(now time.Time) []blackboard.Host {
	hosts := r.board.Hosts.Watched(1, now)
	self := r.board.Hosts.Self()
	var elsewhere candidates
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		if live && h.Region == self.Region && h.Domain != self.Domain && h.Peers != "" {
			elsewhere.add(r.board.Number, h, true)
		}
	})
	if elsewhere.seen > 0 {
		hosts = append(hosts, elsewhere.sampled[0])
	}
	return hosts
}

// pingOnce pings a host over a connection of its own and records the answer.
func (r *Router) pingOnce(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
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
