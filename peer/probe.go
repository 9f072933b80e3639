package peer

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
)

// recoveryCheckInterval is how often a host of a failure domain that counts as cut off is pinged.
const recoveryCheckInterval = 500 * time.Millisecond

// maxRecoveryChecks is how many unconfirmed hosts are pinged at once.
const maxRecoveryChecks = 8

// RecoveryChecker returns the controller that detects when a partition has healed or an unconfirmed host
// answers again, so that no request has to find out. Until then another host stands in for the
// unconfirmed one, but only as seen by this host. Both then run schedulers for the same endpoints
// and poll them for reports.
func (r *Router) RecoveryChecker() blackboard.Controller {
	return blackboard.Every(recoveryCheckInterval, func(ctx context.Context) {
		for _, h := range r.unconfirmedHosts(time.Now()) {
			go r.checkRecovery(ctx, h)
		}
		for _, domain := range r.board.Domains.Lost() {
			if h, ok := r.anyOf(domain); ok {
				go r.checkRecovery(ctx, h)
			}
		}
	})
}

// unconfirmedHosts returns some of the unconfirmed hosts that aren't known to be gone.
func (r *Router) unconfirmedHosts(now time.Time) (out []blackboard.Host) {
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		if live && h.Unconfirmed && h.Peers != "" && len(out) < maxRecoveryChecks {
			out = append(out, *h)
		}
	})
	return out
}

// anyOf returns a random host of a domain.
func (r *Router) anyOf(domain string) (blackboard.Host, bool) {
	var c candidates
	r.board.Hosts.Each(time.Now(), func(h *blackboard.Host, _ bool) {
		if h.Domain == domain && h.Peers != "" && !h.Leaving {
			c.add(r.board.Number, h, true)
		}
	})
	return c.sampled[0], c.seen > 0
}

func (r *Router) checkRecovery(ctx context.Context, h blackboard.Host) {
	err := r.pool.call(ctx, h.Peers, methodPing, &Nothing{}, new(Heartbeat), r.timeout())
	switch {
	case err == nil:
		r.noteAnswered(h)
	case isTimeout(err) && ctx.Err() == nil:
		r.noteSilent(h)
	}
}
