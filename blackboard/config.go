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

// knownEndpoints returns the endpoints of the roster by name; the caller holds the lock.
func (t *ConfigTable) knownEndpoints() map[string]*config.Endpoint {
	if t.roster == nil {
		return nil
	}
	known := make(map[string]*config.Endpoint, len(t.roster.Endpoints))
	for i := range t.roster.Endpoints {
		known[t.roster.Endpoints[i].Name] = &t.roster.Endpoints[i]
	}
	return known
}

// lapsedAt returns since when, by this process's clock, an endpoint is without its
// registration: from now on if it had one, and for too long if it wasn't known, unless
// nothing was. The caller holds the lock.
func (t *ConfigTable) lapsedAt(was *config.Endpoint, now time.Time) time.Time {
	switch {
	case was == nil && t.roster != nil:
		return now.Add(-2 * config.LapsedKept)
	case was == nil || was.Lapsed.IsZero():
		return now
	}
	return was.Lapsed
}

// DropLapsed drops endpoints that have been without a registration for too
// long, and reports how many.
func (t *ConfigTable) DropLapsed(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.roster == nil || !t.roster.AnyExpired(now) {
		return 0
	}
	kept := &config.Roster{Revision: t.roster.Revision, Evacuated: t.roster.Evacuated}
	for _, e := range t.roster.Endpoints {
		if !e.Expired(now) {
			kept.Endpoints = append(kept.Endpoints, e)
		}
	}
	dropped := len(t.roster.Endpoints) - len(kept.Endpoints)
	if dropped > 0 {
		t.useRoster(kept, now)
	}
	return dropped
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

// Heard notes that what is known here is what the platform answered at a moment.
func (t *ConfigTable) Heard(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.heard) {
		t.heard = at
	}
}

// Older notes that what is known is older than it seems by some time, in which the machine
// was suspended. Without it a host that woke relied on others' word as if it were fresh.
func (t *ConfigTable) Older(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range []*time.Time{&t.heard, &t.told} {
		if !at.IsZero() {
			*at = at.Add(-d)
		}
	}
}

// Told notes that another host, whose knowledge this one has, told of an answer that the
// platform gave at a moment, to it or to one that it heard of it from.
func (t *ConfigTable) Told(at time.Time) {
	t.Heard(at)
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.told) {
		t.told = at
	}
}

// ToldWithin reports whether other hosts told of an answer of the platform that is no
// older than d.
func (t *ConfigTable) ToldWithin(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.told) < d
}

// HeardFor returns how long ago the platform last answered, and whether it ever did.
func (t *ConfigTable) HeardFor(now time.Time) (ago time.Duration, ever bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.heard), !t.heard.IsZero()
}

// HeardWithin reports whether the platform answered within d.
func (t *ConfigTable) HeardWithin(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.heard.IsZero() && now.Sub(t.heard) < d
}

// ConfigStatus is what operators see of the configuration of one host.
type ConfigStatus struct {
	Revision       uint64    `json:"revision"`
	Since          time.Time `json:"since"`
	Rejected       uint64    `json:"rejected_revision,omitempty"`
	Cause          string    `json:"rejected_cause,omitempty"`
	PlatformHeard  time.Time `json:"platform_heard"`
	PlatformSilent float64   `json:"platform_silent_s"`
}

// Status returns what operators see.
func (t *ConfigTable) Status(now time.Time) ConfigStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := ConfigStatus{Revision: t.Revision(), Since: t.since, Rejected: t.rejected, Cause: t.cause, PlatformHeard: t.heard, PlatformSilent: -1}
	if !t.heard.IsZero() {
		s.PlatformSilent = now.Sub(t.heard).Seconds()
	}
	return s
}
