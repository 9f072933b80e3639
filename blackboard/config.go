package blackboard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/result"
)

// ConfigTable holds the revision in force. It only rises.
type ConfigTable struct {
	inv   *invariant.Set
	inUse atomic.Pointer[config.View]

	mu       sync.Mutex
	base     *config.View   // the document in force, without a roster
	roster   *config.Roster // nil before the first
	log      rosterLog
	rejected uint64 // highest revision that was rejected
	cause    string
	since    time.Time // when the revision in force was accepted
	heard    time.Time // when the platform last answered this host, or one that told all it knows
	told     time.Time // the same of what others told alone
	lack     lack
	sources  []Source  // documents that were in force, the newest last
	laidOut  time.Time // when a roster was last put into the view in use
	waiting  bool      // the roster is newer than the view in use
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
	t.base = v
	t.keepSource(v)
	old := t.inUse.Swap(v.WithRoster(t.roster))
	t.waiting = false
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
	kept := &config.Roster{Revision: r.Revision, Evacuated: r.Evacuated}
	known := t.knownEndpoints()
	var faults error
	for _, e := range r.Endpoints {
		if was := known[e.Name]; was != nil && e.StartedBefore(was) {
			e = *was
		}
		if err := config.CheckRegistered(&e); err != nil {
			faults = errors.Wrapf(err, "endpoint %q", e.Name)
			continue
		}
		if !e.Lapsed.IsZero() {
			e.Lapsed = t.lapsedAt(known[e.Name], now)
		}
		if e.ColdUntil.IsZero() { // told by another host
			e = e.Heard(now)
		}
		if !e.Expired(now) {
			kept.Endpoints = append(kept.Endpoints, e)
		}
	}
	t.useRoster(kept, now)
	return true, faults
}

// layOutEach is the least time between two rosters that are put into the view in use
// though nothing urgent changed, for each endpoint. What laying out takes grows with the
// endpoints (BenchmarkRosterChange), and while roles are ordered the roster changes several
// times a second. Rosters of up to layOutFree cost little and are laid out at once.
const (
	layOutEach = 500 * time.Microsecond
	layOutFree = 200 // endpoints
)

// useRoster takes a roster over, and puts it in force if it is due; the caller holds the
// lock.
func (t *ConfigTable) useRoster(r *config.Roster, now time.Time) {
	t.log.note(t.roster, r)
	t.roster, t.waiting = r, true
	if v := t.inUse.Load(); v != nil && v.Roster > 0 && !v.Outdated(r) && now.Sub(t.laidOut) < t.layOutRest() {
		return
	}
	t.layOut(now)
}

func (t *ConfigTable) layOutRest() time.Duration {
	return time.Duration(max(0, len(t.roster.Endpoints)-layOutFree)) * layOutEach
}

// layOut puts the roster into the view in use; the caller holds the lock.
func (t *ConfigTable) layOut(now time.Time) {
	if t.base == nil {
		return
	}
	t.inUse.Store(t.base.WithRoster(t.roster))
	t.laidOut, t.waiting = now, false
}

// LayOutWaiting puts a roster in force that has waited for long enough, and reports
// whether it did.
func (t *ConfigTable) LayOutWaiting(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.waiting || t.base == nil || now.Sub(t.laidOut) < t.layOutRest() {
		return false
	}
	t.layOut(now)
	return true
}

// Roster returns the endpoints that registered themselves, or nil.
func (t *ConfigTable) Roster() *config.Roster {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.roster
}

// RosterRevision returns the revision of the roster; 0 before the first.
func (t *ConfigTable) RosterRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rosterRevision()
}
