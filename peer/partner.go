package peer

import (
	"math/rand/v2"
	"time"

	"github.com/embercove/embercove/blackboard"
)

// Cadence of exchanges with hosts outside the own failure domain.
const (
	otherDomainEvery = 3 // exchanges
	otherRegionEvery = 8
)

// scope is a group of hosts of which one is picked.
type scope int

// The scopes, as a host sees them.
const (
	scopeNear   scope = iota // the own failure domain
	scopeRegion              // the other failure domains of the region
	scopeFar                 // other regions
	scopes
)

// partner picks whom to exchange with: mostly a host of the own domain, now
// and then one of another domain or region. Of many hosts it is mostly one of
// the few that this host keeps to.
func (r *Router) partner(round uint64, now time.Time) (blackboard.Host, bool) {
	drawn := r.draw(now)
	for _, c := range scopesOf(round) {
		if drawn[c].seen > 0 {
			return drawn[c].pick(), true
		}
	}
	return blackboard.Host{}, false
}

// scopesOf returns the scopes in the order in which a round tries them.
func scopesOf(round uint64) []scope {
	switch {
	case round%otherRegionEvery == 0:
		return []scope{scopeFar, scopeNear, scopeRegion}
	case round%otherDomainEvery == 0:
		return []scope{scopeRegion, scopeNear, scopeFar}
	}
	return []scope{scopeNear, scopeRegion, scopeFar}
}

// A host that exchanged with each of hundreds in turn would keep a connection to each, and
// run out of descriptors. So it keeps to some of a scope, chosen by rendezvous hash, and
// meets others now and then. Both ways together they join a scope as well as if all
// were met.
const (
	neighbours = 12 // of a scope
	strangerIn = 8  // exchanges, one is with any host of the scope
)

// draws is how many hosts are drawn of a whole scope, of which the first that
// answers, as far as is known, is picked. Only where none does it is one that
// counts as gone, so that a healed cut is noticed.
const draws = 3

// candidates are the hosts of a scope that were drawn.
type candidates struct {
	seen  int
	any   [draws]blackboard.Host // each host with the same chance
	sound [draws]bool            // live and not doubted

	kept   [neighbours]blackboard.Host // the sound ones that this host keeps to
	weight [neighbours]uint64
	n      int
}

// add has a host take part.
func (c *candidates) add(self uint32, h *blackboard.Host, live bool) {
	c.seen++
	sound := live && !h.Doubted
	for i := range draws {
		if rand.IntN(c.seen) == 0 {
			c.any[i], c.sound[i] = *h, sound
		}
	}
	if sound {
		c.keep(h, blackboard.Rendezvous(uint64(self), h.Number))
	}
}

// keep enters a host among the neighbours if it weighs enough.
func (c *candidates) keep(h *blackboard.Host, weight uint64) {
	if c.n < neighbours {
		c.kept[c.n], c.weight[c.n] = *h, weight
		c.n++
		return
	}
	least := 0
	for i := range c.n {
		if c.weight[i] < c.weight[least] {
			least = i
		}
	}
	if weight > c.weight[least] {
		c.kept[least], c.weight[least] = *h, weight
	}
}

// pick returns one of the hosts.
func (c *candidates) pick() blackboard.Host {
	if c.n > 0 && rand.IntN(strangerIn) > 0 {
		return c.kept[rand.IntN(c.n)]
	}
	for i := range draws {
		if c.sound[i] {
			return c.any[i]
		}
	}
	return c.any[draws-1]
}

// draw draws hosts of each scope in one pass over the table.
func (r *Router) draw(now time.Time) (drawn [scopes]candidates) {
	self := r.board.Hosts.Self()
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		switch {
		case h.Number == self.Number || h.Peers == "":
		case h.Domain == self.Domain:
			drawn[scopeNear].add(self.Number, h, live)
		case h.Region == self.Region:
			drawn[scopeRegion].add(self.Number, h, live)
		default:
			drawn[scopeFar].add(self.Number, h, live)
		}
	})
	return drawn
}
