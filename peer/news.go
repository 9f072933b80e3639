package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// Change notices are for what must take effect everywhere soon: a revision of the configuration,
// the roster of registered endpoints, a host that is gone. They are sent at once, in addition to
// the regular exchanges.

// OfferRoster offers a roster of registered endpoints to the board, and applies and announces it
// if it is newer. It is announced because another host's own watch may be cut off or silent.
func (r *Router) OfferRoster(ro *config.Roster, from string) {
	accepted, err := r.board.Config.OfferRoster(ro, time.Now())
	if err != nil {
		r.log.Warn("endpoints left out of the roster", zap.Stringer("roster", ro.Revision), zap.String("from", from), zap.Error(err))
	}
	if !accepted {
		r.logStaleRoster(ro, from)
		return
	}
	r.applyView(from)
	r.log.Info("roster in force", zap.Stringer("roster", ro.Revision), zap.Int("endpoints", ro.Endpoints.Len()), zap.String("from", from))
	r.announceRoster()
}

// logStaleRoster logs that a roster was ignored because it is older than the one in force.
func (r *Router) logStaleRoster(ro *config.Roster, from string) {
	if now := r.board.Config.RosterRevision(); ro.Revision < now {
		r.log.Info("earlier roster left out", zap.Stringer("roster", ro.Revision), zap.Stringer("in_force", now), zap.String("from", from))
	}
}

// rosterSpreadShare is the minimum time between two announcements of rosters, as a share of the
// time within which a change has to take effect. In a large fleet the roster changes all the
// time, and notices of hosts that are gone must not queue behind it.
const rosterSpreadShare = 0.2

// announceRoster announces that the roster has changed, now or once the minimum interval is over.
func (r *Router) announceRoster() {
	every := time.Duration(rosterSpreadShare * float64(config.FractionMillis(r.board.Settings.ChangeMillis)))
	now := time.Now()
	r.mu.Lock()
	wait := r.rosterSpreadAt.Add(every).Sub(now)
	pending := r.rosterSpreadAt.After(now)
	if !pending {
		r.rosterSpreadAt = now.Add(max(0, wait))
	}
	r.mu.Unlock()
	switch {
	case pending: // the scheduled announcement includes this change
	case wait <= 0:
		r.announceChanges()
	default:
		time.AfterFunc(wait, r.announceChanges)
	}
}

// expiryCheckInterval is how often endpoints with expired registrations are checked.
const expiryCheckInterval = 250 * time.Millisecond

// RegistrationExpirer returns the controller that drops endpoints whose registrations expired too long
// ago. It announces nothing, since each host finds out by itself.
func (r *Router) RegistrationExpirer() blackboard.Controller {
	return blackboard.Every(expiryCheckInterval, func(context.Context) {
		endpoints, evacuations := r.board.Config.DropExpired(time.Now())
		if endpoints+evacuations == 0 {
			return
		}
		r.applyView("what was known")
		r.log.Info("lapsed registrations dropped", zap.Stringer("roster", r.board.Config.RosterRevision()), zap.Int("endpoints", endpoints),
			zap.Int("evacuations", evacuations))
	})
}

// Offer offers a configuration revision to the board, and applies and announces it if it is
// newer.
func (r *Router) Offer(revision uint64, src []byte, from string) {
	received := time.Now()
	behind := r.board.Config.Behind(received)
	storeAge, _ := r.board.Config.PlatformSilence(received)
	accepted, err := r.board.Config.Offer(revision, src)
	if err != nil {
		r.log.Warn("revision not accepted", zap.Uint64("revision", revision), zap.String("from", from), zap.Error(err))
		return
	}
	if !accepted {
		return
	}
	r.applyView(from)
	if r.OnAccepted != nil {
		r.OnAccepted(r.board.Config.View())
	}
	r.log.Info("revision in force", zap.Uint64("revision", revision), zap.String("from", from), zap.Int("bytes", len(src)),
		zap.Duration("behind", behind), zap.Duration("store_heard_ago", storeAge), zap.Duration("taken_over_in", time.Since(received)))
	r.announceChanges()
}

// applyView updates the tables for the current view, and logs which failure domains began or
// ceased to be evacuated. The lock and the fresh read of the view ensure that two concurrent
// changes can't leave the tables at the older one, which requests would then use until the next
// change.
func (r *Router) applyView(from string) {
	defer r.board.Wake.All()
	r.viewMu.Lock()
	defer r.viewMu.Unlock()
	v := r.board.Config.View()
	if v == nil {
		return
	}
	for _, address := range r.board.Endpoints.ApplyView(v) {
		r.board.Paths.RecordStart(address, time.Now())
	}
	began, ended := r.board.Evacuations.Note(v, from, time.Now())
	for _, e := range began {
		r.log.Info("failure domain is being emptied", zap.String("domain", e.Domain), zap.Stringer("revision", e.Revision), zap.String("from", from))
	}
	for _, e := range ended {
		r.log.Info("failure domain is no longer emptied", zap.String("domain", e.Domain), zap.Stringer("revision", e.Revision),
			zap.Stringer("roster", v.RosterRevision), zap.Duration("after", time.Since(e.Since)), zap.String("from", from))
	}
	if len(began) > 0 && r.OnEvacuated != nil {
		r.OnEvacuated(v)
	}
}

// announceChanges sends a change notice to some peers now, and to others for a while. Notices
// that come soon after another one are merged into the next: when hundreds of hosts start at
// once, each has changes of all others to announce.
func (r *Router) announceChanges() {
	r.mu.Lock()
	now := time.Now()
	r.announceUntil = now.Add(announceFor)
	wait := r.spreadAt.Add(spreadInterval).Sub(now)
	if wait > spreadInterval { // already scheduled
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

// spreadInterval is the minimum time between two rounds of change notices.
const spreadInterval = 250 * time.Millisecond

// announceFor is how long a change is announced again every watchInterval. A single announcement
// misses some hosts of a large fleet: if each host informs four others, one in e^4 gets nothing.
const announceFor = 3500 * time.Millisecond

// spread sends a change notice to up to four peers: two of the own domain, one of another domain
// and one of another region. It supplements the platform's watch and the regular exchanges.
func (r *Router) spread() {
	now := time.Now()
	digests := r.shouldSendDigests(now)
	// Full exchanges carry more heartbeats, by which hosts get to know each other.
	joining := r.board.Joining(now) && !r.exchangesTooLarge()
	for _, round := range []uint64{1, 2, otherDomainEvery, otherRegionEvery} {
		if h, ok := r.partner(round, now); ok {
			go r.exchange(context.Background(), h, !digests && !joining)
		}
		digests = false
	}
}

// shouldSendDigests reports whether the first peer of a change notice gets digests too: in small
// regions, if no digests were sent in this round. Where endpoints come and go all the time there
// are several notices a second.
func (r *Router) shouldSendDigests(now time.Time) bool {
	if r.omitDigests() {
		return false
	}
	every := r.roundInterval()
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.digestsSentAt) >= every
}
