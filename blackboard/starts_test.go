package blackboard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
)

// registered returns the registration of an endpoint with a start time.
func registered(name string, born int64) config.Endpoint {
	return config.Endpoint{Name: name, Address: "127.0.0.1:1", Domain: "a", Pool: "p", Role: config.Service, Slots: 4, Registered: true, Born: born}
}

// TestStartsAnyOrder restarts endpoints repeatedly while rosters announce their start times, some
// of them late with an earlier one. The rosters reach each host in any order and more than once.
// No host may go back to an earlier start time, and in the end none may have an earlier one than
// the last roster.
func TestStartsAnyOrder(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"e-0", "e-1", "e-2"}
		born := map[string]int64{}
		var rosters []*config.RosterList
		for revision := range uint64(rapid.IntRange(1, 12).Draw(t, "rosters")) {
			ro := &config.RosterList{Revision: config.Position(revision + 1)}
			for _, name := range names {
				if rapid.Bool().Draw(t, "starts again") {
					born[name] += int64(1 + rapid.IntRange(0, 3).Draw(t, "later"))
				}
				announced := born[name]
				if announced > 0 && rapid.IntRange(0, 4).Draw(t, "late") == 0 {
					announced = int64(rapid.IntRange(1, int(announced)).Draw(t, "earlier start"))
				}
				ro.Endpoints = append(ro.Endpoints, registered(name, announced))
			}
			rosters = append(rosters, ro)
		}
		last := rosters[len(rosters)-1]
		var hosts []map[string]int64
		for range 3 {
			table := newConfigTable(new(invariant.Set))
			known := map[string]int64{}
			order := append(rapid.Permutation(append(append([]*config.RosterList{}, rosters...), rosters...)).Draw(t, "order"), last)
			for _, ro := range order {
				if _, err := table.OfferRoster(ro.Roster(), now); err != nil {
					t.Fatal(err)
				}
				for _, e := range table.Roster().Endpoints.All() {
					if e.Born < known[e.Name] {
						t.Fatalf("%s: back from start %d to %d", e.Name, known[e.Name], e.Born)
					}
					known[e.Name] = e.Born
				}
			}
			if got := table.RosterRevision(); got != last.Revision {
				t.Fatalf("roster %d in the end, want %d", got, last.Revision)
			}
			hosts = append(hosts, known)
		}
		for _, e := range last.Endpoints {
			for i, known := range hosts {
				if known[e.Name] < e.Born {
					t.Fatalf("host %d knows start %d of %s, want at least %d: %s", i, known[e.Name], e.Name, e.Born, fmt.Sprint(hosts))
				}
			}
		}
	})
}
