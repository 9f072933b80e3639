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

// ConfigTable holds the revision in force. It only rises.
type ConfigTable struct {
	inv   *invariant.Set
	inUse atomic.Pointer[config.View]

	mu       sync.Mutex
	roster   *config.Roster // nil before the first
	lapsed   config.Lapsed  // of the roster
	kept     keptEvacuations
	log      rosterLog
	rejected uint64 // highest revision that was rejected
	cause    string
	since    time.Time // when the revision in force was accepted
	heard    time.Time // when the platform last answered this host, or one that told all it knows
	told     time.Time // the same of what others told alone
	lack     lack
	sources  []Source // documents that were in force, the newest last
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

// Rejected returns the highest revision that was rejected; 0: none.
func (t *ConfigTable) Rejected() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejected
}

// Offer accepts a published document if it is valid and newer than the one
// in force, and reports whether it came into force. An error says why a
// newer document was rejected; the one in force stays.
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
			t.rejected, t.cause = revision, err.Error()
		}
		return false, result.Errorf(result.RevisionInvalid, "revision %d: %v", revision, err)
	}
	t.keepSource(v)
	if cur == nil {
		v = v.WithRoster(t.withKept(t.roster))
	} else {
		v = v.WithRosterOf(cur)
	}
	old := t.inUse.Swap(v)
	t.inv.Check(old == nil || old.Revision < revision, invariant.RevisionRises, "from %v to %d", old, revision)
	t.since = time.Now()
	return true, nil
}

// OfferRoster takes in the endpoints that registered themselves, if they are
// of a later revision than those known, and reports whether they were taken.
// Endpoints with faults are left out; the error names them. So are those
// without a registration that this host knows to be gone.
func (t *ConfigTable) OfferRoster(r *config.Roster, now time.Time) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.roster != nil && r.Revision <= t.roster.Revision {
		return false, nil
	}
	if t.roster != nil && r.Revision.Era() > t.roster.Revision.Era() {
		r = t.restored(r, now)
	}
	judged := map[uint32]*config.Endpoint{}
	var faults error
	trie.Diff(t.known(), r.Endpoints, func(number uint32, was, told *config.Endpoint) {
		if told == nil {
			return
		}
		e, err := t.judge(was, told, now)
		if err != nil {
			faults = errors.Wrapf(err, "endpoint %q", told.Name)
		}
		judged[number] = e
	})
	t.useRoster(&config.Roster{Revision: r.Revision, Endpoints: config.Apply(r.Endpoints, judged), Evacuated: r.Evacuated})
	return true, faults
}

// known returns the endpoints of the roster; the caller holds the lock.
func (t *ConfigTable) known() config.Endpoints {
	if t.roster == nil {
		return config.Endpoints{}
	}
	return t.roster.Endpoints
}

// judge returns an endpoint as it is used, of what was known of its number and what is told;
// nil: it isn't. The caller holds the lock.
func (t *ConfigTable) judge(was, told *config.Endpoint, now time.Time) (*config.Endpoint, error) {
	if was != nil && was.Name != told.Name {
		was = nil
	}
	e := *told
	if was != nil && e.StartedBefore(was) {
		e = *was
	}
	if was != nil && was.Leaving && !was.StartedBefore(&e) {
		e.Leaving = true // until its process ends, also where the store has lost its mark
	}
	if err := config.CheckRegistered(&e); err != nil {
		return nil, err
	}
	if !e.Lapsed.IsZero() {
		e.Lapsed = t.lapsedAt(was, now)
	}
	if e.ColdUntil.IsZero() { // told by another host
		e = e.Heard(now)
	}
	if e.Expired(now) {
		return nil, nil
	}
	return &e, nil
}

// useRoster takes a roster over and puts it in force; the caller holds the lock.
func (t *ConfigTable) useRoster(r *config.Roster) {
	trie.Diff(t.known(), r.Endpoints, func(number uint32, _, now *config.Endpoint) { t.lapsed.Note(number, now) })
	t.log.note(t.roster, r)
	t.roster = r
	if v := t.inUse.Load(); v != nil {
		t.inUse.Store(v.WithRoster(t.withKept(r)))
	}
}

// Roster returns the endpoints that registered themselves, or nil.
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
