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
// and then one of another domain or region. It is one that counts as gone only
// where three draws in a row name such a host, so that a healed cut is noticed.
func (r *Router) partner(round uint64, now time.Time) (blackboard.Host, bool) {
	drawn := r.draw(now)
	for _, c := range order(round) {
		if d := drawn[c]; d.seen > 0 {
			return d.best(), true
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

// draws is how many hosts are drawn of a circle, of which the first that
// answers, as far as is known, is picked.
const draws = 3

// lot is what was drawn of a circle, each host with the same chance.
type lot struct {
	seen  int
	hosts [draws]blackboard.Host
	sound [draws]bool // live and not doubted
}

// add has a host take part in each of the draws.
func (l *lot) add(h *blackboard.Host, live bool) {
	l.seen++
	for i := range draws {
		if rand.IntN(l.seen) == 0 {
			l.hosts[i], l.sound[i] = *h, live && !h.Doubted
		}
	}
}

// best returns the first host drawn that is sound, or else the last.
func (l *lot) best() blackboard.Host {
	for i := range draws {
		if l.sound[i] {
			return l.hosts[i]
		}
	}
	return l.hosts[draws-1]
}

// draw draws hosts of each circle in one pass over the table.
func (r *Router) draw(now time.Time) (lots [circles]lot) {
	self := r.board.Hosts.Self()
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		switch {
		case h.Number == self.Number || h.Peers == "":
		case h.Domain == self.Domain:
			lots[circleNear].add(h, live)
		case h.Region == self.Region:
			lots[circleRegion].add(h, live)
		default:
			lots[circleFar].add(h, live)
		}
	})
	return lots
}
