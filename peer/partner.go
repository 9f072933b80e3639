package peer

import (
	"math/rand/v2"
	"time"

	"github.com/embercove/embercove/blackboard"
)

// How often an exchange goes to a host outside the own failure domain.
const (
	otherDomainEvery = 3 // in rounds
	// otherRegionEvery is the same for other regions, in a region of as many hosts or more. Fewer hosts contact them more
	// often: else a region hears too seldom of another one, and takes its hosts for gone.
	otherRegionEvery = 8
)

// scope is a group of hosts from which a partner is picked.
type scope int

// The scopes, relative to this host.
const (
	scopeNear   scope = iota // the own failure domain
	scopeRegion              // the other failure domains of the region
	scopeFar                 // other regions
	scopes
)

// partner picks the host for an exchange: usually one of the own domain, sometimes one of another
// domain or region. In a large scope it is usually one of this host's neighbours.
func (r *Router) partner(round uint64, now time.Time) (blackboard.Host, bool) {
	samples := r.sampleScopes(now)
	for _, c := range scopesOf(round, regionInterval(1+samples[scopeNear].seen+samples[scopeRegion].seen)) {
		if samples[c].seen > 0 {
			return samples[c].pick(), true
		}
	}
	return blackboard.Host{}, false
}

// regionInterval returns how often a host of a region with some hosts exchanges with other regions, in rounds: a power of two
// that divides otherRegionEvery.
func regionInterval(hosts int) uint64 {
	interval := uint64(otherRegionEvery)
	for interval > 2 && interval > uint64(hosts) {
		interval /= 2
	}
	return interval
}

// scopesOf returns the scopes in the order in which a round tries them. Every otherRegion rounds begin with other regions.
func scopesOf(round, otherRegion uint64) []scope {
	switch {
	case round%otherRegion == 0:
		return []scope{scopeFar, scopeNear, scopeRegion}
	case round%otherDomainEvery == 0:
		return []scope{scopeRegion, scopeNear, scopeFar}
	}
	return []scope{scopeNear, scopeRegion, scopeFar}
}

// A host that exchanged with hundreds of others in turn would keep a connection to each and run
// out of file descriptors. So each host has a few neighbours per scope, chosen by rendezvous
// hash, and exchanges with other hosts only now and then. As links work in both directions, state
// spreads through a scope as well as if every host contacted all others.
const (
	neighbours       = 12 // per scope
	strangerInterval = 8  // one in this many exchanges is with a random host of the scope
)

// sampleSize is how many hosts are sampled from a whole scope. The first one that seems reachable
// is picked; if none does, one that counts as gone is, so that a healed partition is noticed.
const sampleSize = 3

// candidates are the hosts sampled from one scope.
type candidates struct {
	seen    int
	sampled [sampleSize]blackboard.Host // uniform sample
	healthy [sampleSize]bool            // live and not unconfirmed

	kept   [neighbours]blackboard.Host // healthy neighbours of this host
	weight [neighbours]uint64          // their rendezvous weights
	n      int                         // number of them
}

// add adds a host of the scope.
func (c *candidates) add(self uint32, h *blackboard.Host, live bool) {
	c.seen++
	isHealthy := live && !h.Unconfirmed
	for i := range sampleSize {
		if rand.IntN(c.seen) == 0 {
			c.sampled[i], c.healthy[i] = *h, isHealthy
		}
	}
	if isHealthy {
		c.keepNeighbour(h, blackboard.Rendezvous(uint64(self), h.Number))
	}
}

// keepNeighbour makes a host a neighbour if its weight is high enough.
func (c *candidates) keepNeighbour(h *blackboard.Host, weight uint64) {
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
	if c.n > 0 && rand.IntN(strangerInterval) > 0 {
		return c.kept[rand.IntN(c.n)]
	}
	for i := range sampleSize {
		if c.healthy[i] {
			return c.sampled[i]
		}
	}
	return c.sampled[sampleSize-1]
}

// sampleScopes samples hosts of each scope in one pass over the table.
func (r *Router) sampleScopes(now time.Time) (samples [scopes]candidates) {
	self := r.board.Hosts.Self()
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		switch {
		case h.Number == self.Number || h.Peers == "":
		case h.Domain == self.Domain:
			samples[scopeNear].add(self.Number, h, live)
		case h.Region == self.Region:
			samples[scopeRegion].add(self.Number, h, live)
		default:
			samples[scopeFar].add(self.Number, h, live)
		}
	})
	return samples
}
