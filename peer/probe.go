package peer

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
)

// probeEvery is how often a host of a failure domain that counts as cut off is
// asked for a sign of life.
const probeEvery = 500 * time.Millisecond

// mostProbes is how many doubted hosts are asked at once.
const mostProbes = 8

// Prober returns the controller that finds out when a cut is healed or a doubted
// host answers again, so that no request has to. Until then another host stands in
// for it here, and only here: both keep books of the same endpoints and ask these
// for their reports.
func (r *Router) Prober() blackboard.Controller {
	return blackboard.Every(probeEvery, func(ctx context.Context) {
		for _, h := range r.doubted(time.Now()) {
			go r.probe(ctx, h)
		}
		for _, domain := range r.board.Domains.Lost() {
			if h, ok := r.anyOf(domain); ok {
				go r.probe(ctx, h)
			}
		}
	})
}

// doubted returns some of the doubted hosts that aren't known to be gone.
func (r *Router) doubted(now time.Time) (out []blackboard.Host) {
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		if live && h.Doubted && h.Peers != "" && len(out) < mostProbes {
			out = append(out, *h)
		}
	})
	return out
}

// anyOf returns some host of a domain.
func (r *Router) anyOf(domain string) (blackboard.Host, bool) {
	var c candidates
	r.board.Hosts.Each(time.Now(), func(h *blackboard.Host, _ bool) {
		if h.Domain == domain && h.Peers != "" && !h.Leaving {
			c.add(r.board.Number, h, true)
		}
	})
	return c.any[0], c.seen > 0
}

func (r *Router) probe(ctx context.Context, h blackboard.Host) {
	err := r.pool.call(ctx, h.Peers, methodPing, &Nothing{}, new(Beat), r.timeout())
	switch {
	case err == nil:
		r.heard(h)
	case silent(err) && ctx.Err() == nil:
		r.unheard(h)
	}
}
