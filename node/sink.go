package node

import (
	"context"
	"time"

	"github.com/embercove/embercove/config"
)

// feedSink passes what a feed delivers to the node's router and tables.
type feedSink struct {
	n   *Node
	ctx context.Context // of the feed
}

func (s feedSink) Offer(revision uint64, src []byte, from string) {
	s.n.Router.Offer(revision, src, from)
}

func (s feedSink) OfferRoster(r *config.Roster, from string) { s.n.Router.OfferRoster(r, from) }

func (s feedSink) Roster() *config.Roster { return s.n.Board.Config.Roster() }

// eagerHosts is how many hosts of a failure domain poll the platform eagerly, so
// that changes are detected soon even if the platform's watches are silent.
const eagerHosts = 2

func (s feedSink) Eager() bool {
	if s.n.Board.Discovering(time.Now()) {
		return false
	}
	return s.n.Board.Hosts.CountAhead(eagerKey, s.n.settings.Domain, time.Now()) < eagerHosts
}

// eagerKey is the hash key that selects the eager hosts of a failure domain.
const eagerKey = 0x6561676572

func (s feedSink) Confirmed(asked, at time.Time) {
	if !s.n.Board.Pause.RanSince(asked) {
		at = asked
	}
	s.n.Board.Config.RecordPlatformAnswer(at)
	if s.Eager() {
		s.n.Router.AnnounceToDomain(s.ctx)
	}
}

func (s feedSink) ConfirmedAge() (time.Duration, bool) {
	return s.n.Board.Config.PlatformSilence(time.Now())
}

func (s feedSink) ReliesOnPeers() bool { return s.n.Router.ReliesOnPeers(time.Now()) }
