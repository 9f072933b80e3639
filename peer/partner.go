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

// circle is a group of hosts of which one is picked.
type circle int

// The circles, as a host sees them.
const (
	circleNear   circle = iota // the own failure domain
	circleRegion               // the other failure domains of the region
	circleFar                  // other regions
	circles
)

// partner picks whom to exchange with: mostly a host of the own domain, now
// and then one of another domain or region. Of many hosts it is mostly one of
// the few that this host keeps to.
func (r *Router) partner(round uint64, now time.Time) (blackboard.Host, bool) {
	lots := r.draw(now)
	for _, c := range order(round) {
		if lots[c].seen > 0 {
			return lots[c].pick(), true
		}
	}
	return blackboard.Host{}, false
}

// order returns the circles in the order in which a round tries them.
func order(round uint64) []circle {
	switch {
	case round%otherRegionEvery == 0:
		return []circle{circleFar, circleNear, circleRegion}
	case round%otherDomainEvery == 0:
		return []circle{circleRegion, circleNear, circleFar}
	}
	return []circle{circleNear, circleRegion, circleFar}
}

// A host that exchanged with each of hundreds in turn would keep a connection to
// each: 1.5 KB for the first call on it, some 30 KB of memory at both ends. So it
// keeps to some of a circle, chosen by rendezvous hash, and meets others now and
// then. Both ways together they join a circle as well as if all were met.
const (
	neighbours = 12 // of a circle
	strangerIn = 8  // exchanges, one is with any host of the circle
)

// draws is how many hosts are drawn of a whole circle, of which the first that
// answers, as far as is known, is picked. Only where none does it is one that
// counts as gone, so that a healed cut is noticed.
const draws = 3

// lot is what was drawn of a circle.
type lot struct {
	seen  int
	any   [draws]blackboard.Host // each host with the same chance
	sound [draws]bool            // live and not doubted

	kept   [neighbours]blackboard.Host // the sound ones that this host keeps to
	weight [neighbours]uint64
	n      int
}

// add has a host take part.
func (l *lot) add(self uint32, h *blackboard.Host, live bool) {
	l.seen++
	sound := live && !h.Doubted
	for i := range draws {
		if rand.IntN(l.seen) == 0 {
			l.any[i], l.sound[i] = *h, sound
		}
	}
	if sound {
		l.keep(h, blackboard.Rendezvous(uint64(self), h.Number))
	}
}

// keep enters a host among the neighbours if it weighs enough.
func (l *lot) keep(h *blackboard.Host, weight uint64) {
	if l.n < neighbours {
		l.kept[l.n], l.weight[l.n] = *h, weight
		l.n++
		return
	}
	least := 0
	for i := range l.n {
		if l.weight[i] < l.weight[least] {
			least = i
		}
	}
	if weight > l.weight[least] {
		l.kept[least], l.weight[least] = *h, weight
	}
}

// pick returns one of the hosts.
func (l *lot) pick() blackboard.Host {
	if l.n > 0 && rand.IntN(strangerIn) > 0 {
		return l.kept[rand.IntN(l.n)]
	}
	for i := range draws {
		if l.sound[i] {
			return l.any[i]
		}
	}
	return l.any[draws-1]
}

// draw draws hosts of each circle in one pass over the table.
func (r *Router) draw(now time.Time) (lots [circles]lot) {
	self := r.board.Hosts.Self()
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		switch {
		case h.Number == self.Number || h.Peers == "":
		case h.Domain == self.Domain:
			lots[circleNear].add(self.Number, h, live)
		case h.Region == self.Region:
			lots[circleRegion].add(self.Number, h, live)
		default:
			lots[circleFar].add(self.Number, h, live)
		}
	})
	return lots
}
