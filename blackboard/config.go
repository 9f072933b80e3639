package blackboard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/trie"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/result"
)

// ConfigTable holds the configuration and the roster in force. Their revisions only rise.
type ConfigTable struct {
	inv   *invariant.Set
	inUse atomic.Pointer[config.View]

	mu                 sync.Mutex
	roster             *config.Roster          // nil before the first
	expired            config.ExpiredEndpoints // of the roster
	kept               keptEvacuations
	log                rosterLog
	rejected           uint64 // highest revision that was rejected
	rejectedCause      string
	inForceSince       time.Time // when the revision in force was accepted
	platformAnsweredAt time.Time // time of the platform's last answer known here, to this or another host
	reportedAnswerAt   time.Time // the same for answers reported by other hosts only
	latestKnown        knownRevisions
	sources            []Source // documents that are or were in force, the newest last
}

func newConfigTable(inv *invariant.Set) *ConfigTable { return &ConfigTable{inv: inv} }

// View returns the revision in force, or nil before the first.
func (t *ConfigTable) View() *config.View { return t.inUse.Load() }

// Revision returns the number in force; 0 before the first.
func (t *ConfigTable) Revision() uint64 {
	if v := t.View(); v != nil {
		return v.Revision
	}
	return 0
}

// Rejected returns the highest revision that was rejected, or 0 if none was.
func (t *ConfigTable) Rejected() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejected
}

// Offer puts a published document in force if it is valid and newer than the one in force, and
// reports whether it did. The error says why a newer document was rejected.
func (t *ConfigTable) Offer(revision uint64, src []byte) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur := t.inUse.Load()
	if cur != nil && revision <= cur.Revision {
		if revision == cur.Revision && string(src) != string(cur.Source) {
			return false, result.Errorf(result.RevisionClash, "revision %d was published with two contents", revision)
		}
		return false, nil
	}
	if revision == t.rejected {
		return false, nil
	}
	v, err := config.NewView(revision, src)
	if err != nil {
		if revision > t.rejected {
			t.rejected, t.rejectedCause = revision, err.Error()
		}
		return false, result.Errorf(result.RevisionInvalid, "revision %d: %v", revision, err)
	}
	t.keepSource(v)
	if cur == nil {
		v = v.WithRoster(t.withKeptEvacuations(t.roster))
	} else {
		v = v.WithRosterOf(cur)
	}
	old := t.inUse.Swap(v)
	t.inv.Check(old == nil || old.Revision < revision, invariant.RevisionRises, "from %v to %d", old, revision)
	t.inForceSince = time.Now()
	return true, nil
}

// OfferRoster puts a roster of self-registered endpoints in force if its revision is newer than
// that of the roster in force, and reports whether it did. Invalid endpoints are left out; the
// error names one of them. Endpoints with an expired registration that this host knows to be
// gone are left out as well.
func (t *ConfigTable) OfferRoster(r *config.Roster, now time.Time) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.roster != nil && r.Revision <= t.roster.Revision {
		return false, nil
	}
	if t.roster != nil && r.Revision.Era() > t.roster.Revision.Era() {
		r = t.mergeRestored(r, now)
	}
	merged := map[uint32]*config.Endpoint{}
	var faults error
	trie.Diff(t.knownEndpoints(), r.Endpoints, func(number uint32, known, offered *config.Endpoint) {
		if offered == nil {
			return
		}
		e, err := t.mergeEndpoint(known, offered, now)
		if err != nil {
			faults = errors.Wrapf(err, "endpoint %q", offered.Name)
		}
		merged[number] = e
	})
	t.useRoster(&config.Roster{Revision: r.Revision, Endpoints: config.Apply(r.Endpoints, merged), Evacuated: r.Evacuated})
	return true, faults
}

// knownEndpoints returns the endpoints of the roster. The caller holds the lock.
func (t *ConfigTable) knownEndpoints() config.Endpoints {
	if t.roster == nil {
		return config.Endpoints{}
	}
	return t.roster.Endpoints
}

// mergeEndpoint merges an endpoint of an offered roster with the known endpoint of the same
// number, and returns the endpoint to use, or nil if it is not to be used. The caller holds the
// lock.
func (t *ConfigTable) mergeEndpoint(known, offered *config.Endpoint, now time.Time) (*config.Endpoint, error) {
	if known != nil && known.Name != offered.Name {
		known = nil
	}
	e := *offered
	if known != nil && e.StartedBefore(known) {
		e = *known
	}
	if known != nil && known.Leaving && !known.StartedBefore(&e) {
		e.Leaving = true // until its process ends, even if the store has lost its leaving mark
	}
	if err := config.CheckRegistered(&e); err != nil {
		return nil, err
	}
	if !e.Lapsed.IsZero() {
		e.Lapsed = t.expiredSince(known, now)
	}
	if e.ColdUntil.IsZero() { // sent by another host
		e = e.WithLocalColdTime(now)
	}
	if e.PastGrace(now) {
		return nil, nil
	}
	return &e, nil
}

// useRoster puts a roster in force. The caller holds the lock.
func (t *ConfigTable) useRoster(r *config.Roster) {
	trie.Diff(t.knownEndpoints(), r.Endpoints, func(number uint32, _, now *config.Endpoint) { t.expired.Note(number, now) })
	t.log.record(t.roster, r)
	t.roster = r
	if v := t.inUse.Load(); v != nil {
		t.inUse.Store(v.WithRoster(t.withKeptEvacuations(r)))
	}
}

// Roster returns the roster in force, or nil before the first.
func (t *ConfigTable) Roster() *config.Roster {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.roster
}

// RosterRevision returns the revision of the roster; 0 before the first.
func (t *ConfigTable) RosterRevision() config.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rosterRevision()
}
