package blackboard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
)

const rosterDocument = `{"failure_domains": [{"name": "d", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "p", "slots": 4}], "routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

// rosterOf returns a roster of endpoints by name; the registration of a name in upper case
// expired at the given time.
func rosterOf(revision config.Position, names string, since time.Time) *config.RosterList {
	r := &config.RosterList{Revision: revision}
	for i, name := range strings.Fields(names) {
		e := config.Endpoint{Name: strings.ToLower(name), Address: "127.0.0.1:" + string("123456789"[i]), Domain: "d", Pool: "p", Role: config.Service}
		if name != e.Name {
			e.Lapsed = since
		}
		r.Endpoints = append(r.Endpoints, e)
	}
	return r
}

// TestLapsed checks how long endpoints with an expired registration are used, and that a peer's
// older roster doesn't bring one back. The clocks of peers may be wrong.
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
		{"used for the grace period", []step{{roster: "a b"}, {roster: "a B"}, {after: config.ExpiryGrace}}, "a b"},
		{"then considered gone", []step{{roster: "a b"}, {roster: "a B"}, {after: config.ExpiryGrace + 1}}, "a"},
		{"registered again in time", []step{{roster: "a b"}, {roster: "a B"}, {after: time.Second, roster: "a b"}, {after: time.Minute}}, "a b"},
		{"a peer's clock is behind", []step{{roster: "a b"}, {roster: "a B", since: -time.Hour}, {after: time.Second}}, "a b"},
		{"a peer's clock is ahead", []step{{roster: "a b"}, {roster: "a B", since: time.Hour}, {after: config.ExpiryGrace + 1}}, "a"},
		{"a second offer doesn't prolong it", []step{{roster: "a b"}, {roster: "a B"}, {after: 2 * time.Second, roster: "a B"}, {after: time.Second}}, "a"},
		{"a peer that noticed later", []step{{roster: "a b"}, {roster: "a B"}, {after: config.ExpiryGrace + 1}, {roster: "a B"}}, "a"},
		{"known to have left before a peer reports it as expired", []step{{roster: "a b"}, {roster: "a"}, {roster: "a B"}}, "a"},
		{"a host without a roster accepts them", []step{{roster: "a B"}}, "a b"},
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
				table.DropExpired(now)
				if s.roster == "" {
					continue
				}
				if _, err := table.OfferRoster(rosterOf(config.Position(i+1), s.roster, now.Add(s.since)).Roster(), now); err != nil {
					t.Fatal(err)
				}
			}
			var names []string
			for _, e := range table.View().Endpoints.All() {
				names = append(names, e.Name)
			}
			slices.Sort(names)
			if got := strings.Join(names, " "); got != tc.want {
				t.Errorf("in use: %s, want %s", got, tc.want)
			}
		})
	}
}

// TestRosterSince offers random rosters to a host and checks that a second host, which is sent
// changes from time to time, ends up with the same roster.
func TestRosterSince(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one, other := newConfigTable(new(invariant.Set)), newConfigTable(new(invariant.Set))
	whole, changes, rows := 0, 0, 0
	for revision := uint64(1); revision < 400; revision++ {
		r := &config.RosterList{Revision: config.Position(revision)}
		if before := one.Roster(); before != nil {
			r.Endpoints = before.List(now).Endpoints
		}
		switch i := random.IntN(len(r.Endpoints) + 1); {
		case i == len(r.Endpoints) || len(r.Endpoints) < 20:
			r.Endpoints = append(r.Endpoints, config.Endpoint{Name: fmt.Sprint("e", revision), Address: "127.0.0.1:1", Domain: "d", Pool: "p", Role: config.Service})
		case random.IntN(3) == 0:
			r.Endpoints = append(r.Endpoints[:i:i], r.Endpoints[i+1:]...)
		default:
			r.Endpoints[i].Leaving = !r.Endpoints[i].Leaving
		}
		if _, err := one.OfferRoster(r.Roster(), now); err != nil {
			t.Fatal(err)
		}
		if random.IntN(4) > 0 {
			continue
		}
		list, change := one.RosterSince(other.RosterRevision(), now)
		var full *config.Roster
		if change != nil {
			changes++
			rows += len(change.Changed) + len(change.Gone)
			full = other.ApplyChange(change)
		} else {
			whole++
			full = list.Roster()
		}
		if _, err := other.OfferRoster(full, now); err != nil {
			t.Fatal(err)
		}
		if got, want := listed(other.Roster()), listed(one.Roster()); got != want {
			t.Fatalf("revision %d: %s, want %s", revision, got, want)
		}
	}
	if whole != 1 || rows > 8*changes {
		t.Errorf("%d whole rosters and %d rows in %d changes", whole, rows, changes)
	}
	if full, change := one.RosterSince(one.RosterRevision(), now); full != nil || change != nil {
		t.Error("something is sent to a host that is up to date")
	}
}

// listed formats a roster's endpoints, ordered by name.
func listed(r *config.Roster) string {
	var out []string
	for _, e := range r.Endpoints.All() {
		out = append(out, fmt.Sprintf("%s%v", e.Name, e.Leaving))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// TestBehind checks for how long a host reports itself as behind as revisions become known and
// arrive.
func TestBehind(t *testing.T) {
	table := newConfigTable(new(invariant.Set))
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	steps := []struct {
		name  string
		do    func() bool
		isNew bool
		after int // seconds since the start
		want  time.Duration
	}{
		{"another has the first", func() bool { return table.ObserveRevisions(3, 0, at(0)) }, true, 2, 2 * time.Second},
		{"reported again", func() bool { return table.ObserveRevisions(3, 0, at(3)) }, false, 4, 4 * time.Second},
		{"a later one", func() bool { return table.ObserveRevisions(5, 0, at(5)) }, true, 6, 6 * time.Second},
		{"an earlier one", func() bool { return table.ObserveRevisions(4, 0, at(6)) }, false, 7, 7 * time.Second},
		{"the later one arrives", func() bool { _, err := table.Offer(5, []byte(rosterDocument)); return err != nil }, false, 8, 0},
		{"a report of the one in force", func() bool { return table.ObserveRevisions(5, 0, at(9)) }, false, 10, 0},
		{"and of the next", func() bool { return table.ObserveRevisions(6, 0, at(11)) }, true, 12, time.Second},
		{"which arrives", func() bool { _, err := table.Offer(6, []byte(rosterDocument)); return err != nil }, false, 13, 0},
		{"another has a later roster only", func() bool { return table.ObserveRevisions(6, 4, at(14)) }, false, 16, 2 * time.Second},
		{"and a configuration", func() bool { return table.ObserveRevisions(7, 4, at(17)) }, true, 18, 4 * time.Second},
		{"the roster arrives", func() bool {
			in, err := table.OfferRoster((&config.RosterList{Revision: 4}).Roster(), at(18))
			return !in || err != nil
		}, false, 19, 5 * time.Second},
		{"and the configuration", func() bool { _, err := table.Offer(7, []byte(rosterDocument)); return err != nil }, false, 20, 0},
	}
	for _, s := range steps {
		if isNew := s.do(); isNew != s.isNew {
			t.Errorf("%s: new %v, want %v", s.name, isNew, s.isNew)
		}
		if got := table.Behind(at(s.after)); got != s.want {
			t.Errorf("%s: behind for %s, want %s", s.name, got, s.want)
		}
	}
}

// TestLayOut offers a large roster and then a changed one soon after it, and checks that every
// kind of change is in force at once.
func TestLayOut(t *testing.T) {
	cases := []struct {
		name      string
		endpoints int
		change    func(e *config.Endpoint) (keep bool)
	}{
		{"a role, of few", 100, func(e *config.Endpoint) bool { e.Role = config.Prefill; return true }},
		{"a role", 2000, func(e *config.Endpoint) bool { e.Role = config.Prefill; return true }},
		{"leaving", 2000, func(e *config.Endpoint) bool { e.Leaving = true; return true }},
		{"gone", 2000, func(*config.Endpoint) bool { return false }},
		{"another address", 2000, func(e *config.Endpoint) bool { e.Address = "10.9.9.9:80"; return true }},
		{"a registration lapsed", 2000, func(e *config.Endpoint) bool { e.Lapsed = time.Now(); return true }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &config.Settings{Host: "self", Domain: "a", Region: "r"}
			s.SetDefaults()
			board, now := New(s), time.Now()
			doc := `{"failure_domains": [{"name": "a", "region": "r"}], "targets": {"ttft_ms": 1, "tpot_ms": 1},
				"pools": [{"name": "p", "memory_tokens": 9, "slots": 1, "link_bytes_per_second": 1}]}`
			if _, err := board.Config.Offer(1, []byte(doc)); err != nil {
				t.Fatal(err)
			}
			roster := func(revision uint64) *config.RosterList {
				r := &config.RosterList{Revision: config.Position(revision)}
				for i := range tc.endpoints {
					r.Endpoints = append(r.Endpoints, config.Endpoint{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.8.%d.%d:80", i/250, i%250+1),
						Domain: "a", Pool: "p", Role: config.Decode, Slots: 1, Registered: true})
				}
				return r
			}
			offer := func(r *config.RosterList, at time.Time) {
				if in, err := board.Config.OfferRoster(r.Roster(), at); !in || err != nil {
					t.Fatal(in, err)
				}
			}
			offer(roster(5), now)
			next := roster(6)
			if !tc.change(&next.Endpoints[7]) {
				next.Endpoints = append(next.Endpoints[:7], next.Endpoints[8:]...)
			}
			offer(next, now.Add(10*time.Millisecond))
			v := board.Config.View()
			if v.RosterRevision != 6 || v.Endpoints.Len() != len(next.Endpoints) {
				t.Errorf("roster %d of %d endpoints in force, want 6 of %d", v.RosterRevision, v.Endpoints.Len(), len(next.Endpoints))
			}
			for i := range next.Endpoints {
				want := next.Endpoints[i]
				got := *v.Endpoint(want.Name)
				if !config.SameRegistration(&got, &want) {
					t.Errorf("%+v in force, want %+v", got, want)
				}
			}
			if board.Config.RosterRevision() != 6 {
				t.Errorf("revision %d is announced, want 6", board.Config.RosterRevision())
			}
		})
	}
}
