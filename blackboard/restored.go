package blackboard

import (
	"maps"
	"slices"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/trie"
)

// A store restored from a backup lacks what was written after the backup until it is written
// again, and contains what was deleted after the backup. This host keeps some of the lost state:
//
//   - an endpoint that was leaving is still leaving (mergeEndpoint);
//   - an endpoint that the backup lacks stays in use for config.ExpiryGrace, as after an outage;
//   - an endpoint that was gone and is in the backup isn't used for some time (route.Fleet);
//   - a failure domain that was evacuated stays so for evacuationsKept.

// evacuationsKept is how long an evacuation that a restored store lacks stays in force. In this
// time operators publish again what was lost.
const evacuationsKept = 10 * time.Second

// keptEvacuations are evacuations in force that the roster lacks, by failure domain.
type keptEvacuations map[string]keptEvacuation

type keptEvacuation struct {
	config.Evacuation
	until time.Time
}

// expire drops evacuations whose time is over and returns their number.
func (k keptEvacuations) expire(now time.Time) (dropped int) {
	for domain, e := range k {
		if now.After(e.until) {
			delete(k, domain)
			dropped++
		}
	}
	return dropped
}

// mergeRestored adds the endpoints that the first roster of a later era lacks, and keeps the
// evacuations that it lacks. The caller holds the lock.
func (t *ConfigTable) mergeRestored(r *config.Roster, now time.Time) *config.Roster {
	t.keepEvacuations(r, now)
	usedAddresses := map[string]bool{}
	for _, e := range r.Endpoints.All() {
		usedAddresses[e.Address] = true
	}
	missing := map[uint32]*config.Endpoint{}
	trie.Diff(t.knownEndpoints(), r.Endpoints, func(number uint32, known, offered *config.Endpoint) {
		if offered != nil || known.Leaving || usedAddresses[known.Address] {
			return
		}
		expired := *known
		if expired.Lapsed.IsZero() {
			expired.Lapsed = now
		}
		missing[number] = &expired
	})
	return &config.Roster{Revision: r.Revision, Endpoints: config.Apply(r.Endpoints, missing), Evacuated: r.Evacuated}
}

// keepEvacuations keeps the evacuations in force that a roster lacks. The caller holds the lock.
func (t *ConfigTable) keepEvacuations(r *config.Roster, now time.Time) {
	listed := config.EvacuationsByDomain(r.Evacuated)
	for _, e := range t.roster.Evacuated {
		if _, still := listed[e.Domain]; still {
			continue
		}
		if t.kept == nil {
			t.kept = keptEvacuations{}
		}
		t.kept[e.Domain] = keptEvacuation{e, now.Add(evacuationsKept)}
	}
}

// withKeptEvacuations returns a roster with the kept evacuations added. Evacuations that the
// roster contains itself are no longer kept. The caller holds the lock.
func (t *ConfigTable) withKeptEvacuations(r *config.Roster) *config.Roster {
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
