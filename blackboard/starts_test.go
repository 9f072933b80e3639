package blackboard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
)

// registered returns the registration of an endpoint that started at some moment.
func registered(name string, born int64) config.Endpoint {
	return config.Endpoint{Name: name, Address: "127.0.0.1:1", Domain: "a", Pool: "p", Role: config.Service, Slots: 4, Registered: true, Born: born}
}

// TestStartsAnyOrder has endpoints start again and again under their names while rosters tell
// of it, some of them with the word of an earlier start that comes late, and the rosters reach
// each host in any order and more than once. No host goes back to an earlier start, and in the
// end none has an earlier one than the last roster tells.
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
				told := born[name]
				if told > 0 && rapid.IntRange(0, 4).Draw(t, "word") == 0 {
					told = int64(rapid.IntRange(1, int(told)).Draw(t, "earlier start"))
				}
				ro.Endpoints = append(ro.Endpoints, registered(name, told))
			}
			rosters = append(rosters, ro)
		}
		last := rosters[len(rosters)-1]
		var hosts []map[string]int64
		for range 3 {
			table := newConfigTable(new(invariant.Set))
			knows := map[string]int64{}
			order := append(rapid.Permutation(append(append([]*config.RosterList{}, rosters...), rosters...)).Draw(t, "order"), last)
			for _, ro := range order {
				if _, err := table.OfferRoster(ro.Roster(), now); err != nil {
					t.Fatal(err)
				}
				for _, e := range table.Roster().Endpoints.All() {
					if e.Born < knows[e.Name] {
						t.Fatalf("%s: back from start %d to %d", e.Name, knows[e.Name], e.Born)
					}
					knows[e.Name] = e.Born
				}
			}
			if got := table.RosterRevision(); got != last.Revision {
				t.Fatalf("roster %d in the end, want %d", got, last.Revision)
			}
			hosts = append(hosts, knows)
		}
		for _, e := range last.Endpoints {
			for i, knows := range hosts {
				if knows[e.Name] < e.Born {
					t.Fatalf("host %d knows start %d of %s, want %d at the least: %s", i, knows[e.Name], e.Name, e.Born, fmt.Sprint(hosts))
				}
			}
		}
	})
}
