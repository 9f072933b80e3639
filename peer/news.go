package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// News is what must be in force everywhere soon: a revision of the configuration,
// the endpoints that registered themselves, a host that is gone. It is told around
// at once, besides the exchanges.

// OfferRoster offers the endpoints that registered themselves to the board and
// lays the tables out for them. What changed is told around, because another
// host's own watch may be cut off or say nothing.
func (r *Router) OfferRoster(ro *config.Roster, from string) {
	in, err := r.board.Config.OfferRoster(ro, time.Now())
	if err != nil {
		r.log.Warn("endpoints left out of the roster", zap.Stringer("roster", ro.Revision), zap.String("from", from), zap.Error(err))
	}
	if !in {
		r.noteLeftOut(ro, from)
		return
	}
	r.layOut(from)
	r.log.Info("roster in force", zap.Stringer("roster", ro.Revision), zap.Int("endpoints", ro.Endpoints.Len()), zap.String("from", from))
	r.tellRoster()
}

// noteLeftOut logs that a roster isn't taken over, as it is of an earlier revision than the one
// in force.
func (r *Router) noteLeftOut(ro *config.Roster, from string) {
	if now := r.board.Config.RosterRevision(); ro.Revision < now {
		r.log.Info("earlier roster left out", zap.Stringer("roster", ro.Revision), zap.Stringer("in_force", now), zap.String("from", from))
	}
}

// rosterShare is the least time between two rounds of news of rosters, as a share of the time
// within which a change has to be in force. In a large fleet the roster changes all the time,
// and news of a host that is gone must not wait behind it.
const rosterShare = 0.2

// tellRoster tells around that the roster has changed, now or once that is due again.
func (r *Router) tellRoster() {
	every := time.Duration(rosterShare * float64(config.FractionMillis(r.board.Settings.ChangeMillis)))
	now := time.Now()
	r.mu.Lock()
	wait := r.rosterAt.Add(every).Sub(now)
	pending := r.rosterAt.After(now)
	if !pending {
		r.rosterAt = now.Add(max(0, wait))
	}
	r.mu.Unlock()
	switch {
	case pending: // it will be told with that
	case wait <= 0:
		r.tellAround()
	default:
		time.AfterFunc(wait, r.tellAround)
	}
}

// lapseTick is how often lapsed registrations are looked at.
const lapseTick = 250 * time.Millisecond

// Lapser returns the controller that stops using endpoints which have been
// without a registration for too long. Nothing is told around: each host comes to it by
// itself.
func (r *Router) Lapser() blackboard.Controller {
	return blackboard.Every(lapseTick, func(context.Context) {
		endpoints, evacuations := r.board.Config.DropLapsed(time.Now())
		if endpoints+evacuations == 0 {
			return
		}
		r.layOut("what was known")
		r.log.Info("lapsed registrations dropped", zap.Stringer("roster", r.board.Config.RosterRevision()), zap.Int("endpoints", endpoints),
			zap.Int("evacuations", evacuations))
	})
}

// Offer offers a revision to the board and lays the tables out for it.
func (r *Router) Offer(revision uint64, src []byte, from string) {
	came := time.Now()
	behind := r.board.Config.Behind(came)
	heard, _ := r.board.Config.HeardFor(came)
	in, err := r.board.Config.Offer(revision, src)
	if err != nil {
		r.log.Warn("revision not accepted", zap.Uint64("revision", revision), zap.String("from", from), zap.Error(err))
		return
	}
	if !in {
		return
	}
	r.layOut(from)
	if r.Accepted != nil {
		r.Accepted(r.board.Config.View())
	}
	r.log.Info("revision in force", zap.Uint64("revision", revision), zap.String("from", from), zap.Int("bytes", len(src)),
		zap.Duration("behind", behind), zap.Duration("store_heard_ago", heard), zap.Duration("taken_over_in", time.Since(came)))
	r.tellAround()
}

// layOut lays the tables out for the view in use, and says which failure domains are
// being emptied since. Two that came at once would else lay the tables out for the older
// one last, and requests went by it until the next news.
func (r *Router) layOut(from string) {
	defer r.board.Wake.All()
	r.layMu.Lock()
	defer r.layMu.Unlock()
	v := r.board.Config.View()
	if v == nil {
		return
	}
	r.board.Endpoints.Fit(v)
	began, ended := r.board.Emptied.Note(v, from, time.Now())
	for _, e := range began {
		r.log.Info("failure domain is being emptied", zap.String("domain", e.Domain), zap.Stringer("revision", e.Revision), zap.String("from", from))
	}
	for _, e := range ended {
		r.log.Info("failure domain is no longer emptied", zap.String("domain", e.Domain), zap.Stringer("revision", e.Revision),
			zap.Stringer("roster", v.Roster), zap.Duration("after", time.Since(e.Since)), zap.String("from", from))
	}
	if len(began) > 0 && r.Emptied != nil {
		r.Emptied(v)
	}
}

// tellAround tells news to some peers now, and for a while to others. News that
// comes soon after other news goes with what comes till then: where hundreds of
// hosts start at once, each has news of all others.
func (r *Router) tellAround() {
	r.mu.Lock()
	now := time.Now()
	r.hot = now.Add(hotFor)
	wait := r.spreadAt.Add(spreadEvery).Sub(now)
	if wait > spreadEvery { // it will be told anyway
		r.mu.Unlock()
		return
	}
	r.spreadAt = now.Add(max(0, wait))
	r.mu.Unlock()
	if wait <= 0 {
		r.spread()
		return
	}
	time.AfterFunc(wait, r.spread)
}

// spreadEvery is the least time between two rounds of news.
const spreadEvery = 250 * time.Millisecond

// hotFor is how long news is told around every watchEvery. Telling it once leaves
// out some hosts of many: if each tells four others, one in e^4 hears nothing.
const hotFor = 3500 * time.Millisecond

// spread tells some peers of a new revision or a host that is gone at once, besides the platform's
// watch and the ordinary exchange: two of the own domain, one of another, and
// one of another region.
func (r *Router) spread() {
	now := time.Now()
	digests := r.tellsDigests(now)
	joining := r.board.Joining(now) && !r.overLarge() // whole exchanges tell more heartbeats, by which hosts meet
	for _, round := range []uint64{1, 2, otherDomainEvery, otherRegionEvery} {
		if h, ok := r.partner(round, now); ok {
			go r.exchange(context.Background(), h, !digests && !joining)
		}
		digests = false
	}
}

// tellsDigests reports whether the first to hear of news is told digests as well: in small
// regions, if nobody was in this round. Where endpoints come and go all the time there is
// news several times a second.
func (r *Router) tellsDigests(now time.Time) bool {
	if r.large() {
		return false
	}
	every := r.every()
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.digestsAt) >= every
}
