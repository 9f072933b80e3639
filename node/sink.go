package node

import (
	"context"
	"time"

	"github.com/embercove/embercove/config"
)

// sink takes in what a feed brings.
type sink struct {
	n   *Node
	ctx context.Context // of the feed
}

func (s sink) Offer(revision uint64, src []byte, from string) { s.n.Router.Offer(revision, src, from) }

func (s sink) OfferRoster(r *config.Roster, from string) { s.n.Router.OfferRoster(r, from) }

func (s sink) Roster() *config.Roster { return s.n.Board.Config.Roster() }

// eagerHosts is how many hosts of a failure domain find out soon when the
// platform's watches say nothing.
const eagerHosts = 2

func (s sink) Eager() bool {
	if s.n.Board.Meeting(time.Now()) {
		return false
	}
	return s.n.Board.Hosts.Ahead(eagerKey, s.n.settings.Domain, time.Now()) < eagerHosts
}

// eagerKey is what the eager hosts of a domain are chosen by.
const eagerKey = 0x6561676572

func (s sink) Heard(asked, at time.Time) {
	if !s.n.Board.Pause.RanSince(asked) {
		at = asked
	}
	s.n.Board.Config.Heard(at)
	if s.Eager() {
		s.n.Router.TellDomain(s.ctx)
	}
}

func (s sink) HeardFor() (time.Duration, bool) { return s.n.Board.Config.HeardFor(time.Now()) }

func (s sink) Relies() bool { return s.n.Router.Relies(time.Now()) }
