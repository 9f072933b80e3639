package blackboard

import (
	"strings"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
)

const rosterDocument = `{"failure_domains": [{"name": "d", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "p", "slots": 4}], "routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

// rosterOf returns a roster of names; a name in upper case is without a
// registration since the time given.
func rosterOf(revision uint64, names string, since time.Time) *config.Roster {
	r := &config.Roster{Revision: revision}
	for i, name := range strings.Fields(names) {
		e := config.Endpoint{Name: strings.ToLower(name), Address: "127.0.0.1:" + string("123456789"[i]), Domain: "d", Pool: "p", Role: config.Service}
		if name != e.Name {
			e.Lapsed = since
		}
		r.Endpoints = append(r.Endpoints, e)
	}
	return r
}

// TestLapsed checks how long endpoints without a registration are used, and
// that no peer's older belief brings one back. Clocks of peers may be wrong.
func TestLapsed(t *testing.T) {
	type step struct {
		after  time.Duration
		roster string // offered; empty: none
		since  time.Duration
	}
	cases := []struct {
		name  string
		steps []step
		want  string
	}{
		{"used for a while", []step{{roster: "a b"}, {roster: "a B"}, {after: config.LapsedKept}}, "a b"},
		{"then taken as gone", []step{{roster: "a b"}, {roster: "a B"}, {after: config.LapsedKept + 1}}, "a"},
		{"registered again in time", []step{{roster: "a b"}, {roster: "a B"}, {after: time.Second, roster: "a b"}, {after: time.Minute}}, "a b"},
		{"a peer's clock is behind", []step{{roster: "a b"}, {roster: "a B", since: -time.Hour}, {after: time.Second}}, "a b"},
		{"a peer's clock is ahead", []step{{roster: "a b"}, {roster: "a B", since: time.Hour}, {after: config.LapsedKept + 1}}, "a"},
		{"a second offer doesn't prolong it", []step{{roster: "a b"}, {roster: "a B"}, {after: 2 * time.Second, roster: "a B"}, {after: time.Second}}, "a"},
		{"a peer that noticed later", []step{{roster: "a b"}, {roster: "a B"}, {after: config.LapsedKept + 1}, {roster: "a B"}}, "a"},
		{"known to have left before a peer says that it lapsed", []step{{roster: "a b"}, {roster: "a"}, {roster: "a B"}}, "a"},
		{"a host that knows nothing takes them", []step{{roster: "a B"}}, "a b"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := newConfigTable(new(invariant.Set))
			if _, err := table.Offer(1, []byte(rosterDocument)); err != nil {
				t.Fatal(err)
			}
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			for i, s := range tc.steps {
				now = now.Add(s.after)
				table.DropLapsed(now)
				if s.roster == "" {
					continue
				}
				if _, err := table.OfferRoster(rosterOf(uint64(i+1), s.roster, now.Add(s.since)), now); err != nil {
					t.Fatal(err)
				}
			}
			var names []string
			for _, e := range table.View().Doc.Endpoints {
				names = append(names, e.Name)
			}
			if got := strings.Join(names, " "); got != tc.want {
				t.Errorf("in use: %s, want %s", got, tc.want)
			}
		})
	}
}
