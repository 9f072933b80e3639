package blackboard

import (
	"maps"
	"slices"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/trie"
)

// A store that came back from a copy lacks what was written since, until it is written again, and
// has again what was taken back since. What this host had acknowledged of it before holds on:
//
//   - an endpoint that leaves goes on leaving (judge);
//   - an endpoint that the copy lacks stays in use for config.LapsedKept, as after an outage;
//   - an endpoint that had gone and is in the copy isn't used for some time (route.Fleet);
//   - a failure domain that was being emptied stays so for evacuationsKept.

// evacuationsKept is how long a failure domain goes on being emptied that a copy of the store
// doesn't tell of. Operators publish again what was lost.
const evacuationsKept = 10 * time.Second

// keptEvacuations are evacuations that the roster doesn't tell, by failure domain.
type keptEvacuations map[string]keptEvacuation

type keptEvacuation struct {
	config.Evacuation
	until time.Time
}

// expire drops evacuations that were kept for long, and returns how many.
func (k keptEvacuations) expire(now time.Time) (dropped int) {
	for domain, e := range k {
		if now.After(e.until) {
			delete(k, domain)
			dropped++
		}
	}
	return dropped
}

// restored returns the first roster of a later era with the endpoints that it lacks, and keeps
// the evacuations that it lacks. The caller holds the lock.
func (t *ConfigTable) restored(r *config.Roster, now time.Time) *config.Roster {
	t.keepEvacuations(r, now)
	taken := map[string]bool{}
	for _, e := range r.Endpoints.All() {
		taken[e.Address] = true
	}
	missing := map[uint32]*config.Endpoint{}
	trie.Diff(t.known(), r.Endpoints, func(number uint32, was, told *config.Endpoint) {
		if told != nil || was.Leaving || taken[was.Address] {
			return
		}
		lapsed := *was
		if lapsed.Lapsed.IsZero() {
			lapsed.Lapsed = now
		}
		missing[number] = &lapsed
	})
	return &config.Roster{Revision: r.Revision, Endpoints: config.Apply(r.Endpoints, missing), Evacuated: r.Evacuated}
}

// keepEvacuations keeps those in force that a roster lacks. The caller holds the lock.
func (t *ConfigTable) keepEvacuations(r *config.Roster, now time.Time) {
	told := config.EvacuationsByDomain(r.Evacuated)
	for _, e := range t.roster.Evacuated {
		if _, still := told[e.Domain]; still {
			continue
		}
		if t.kept == nil {
			t.kept = keptEvacuations{}
		}
		t.kept[e.Domain] = keptEvacuation{e, now.Add(evacuationsKept)}
	}
}

// withKept returns a roster with the evacuations that are kept though it doesn't tell them. One
// that it tells is kept no longer. The caller holds the lock.
func (t *ConfigTable) withKept(r *config.Roster) *config.Roster {
	if r == nil || len(t.kept) == 0 {
		return r
	}
	for _, e := range r.Evacuated {
		delete(t.kept, e.Domain)
	}
	out := *r
	out.Evacuated = slices.Clone(r.Evacuated)
	for _, domain := range slices.Sorted(maps.Keys(t.kept)) {
		out.Evacuated = append(out.Evacuated, t.kept[domain].Evacuation)
	}
	return &out
}
