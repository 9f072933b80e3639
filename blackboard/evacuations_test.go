package blackboard

import (
	"fmt"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/route"
)

// evacuatedRoster returns a roster of endpoints, alternating between domains d and e, with some failure
// domains evacuated.
func evacuatedRoster(revision uint64, endpoints int, domains ...string) *config.RosterList {
	r := &config.RosterList{Revision: config.Position(revision)}
	for i := range endpoints {
		r.Endpoints = append(r.Endpoints, config.Endpoint{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.8.%d.%d:80", i/250, i%250+1),
			Domain: "de"[i%2 : i%2+1], Pool: "p", Role: config.Service, Registered: true})
	}
	for _, d := range domains {
		r.Evacuated = append(r.Evacuated, config.Evacuation{Domain: d, Revision: config.Position(revision)})
	}
	return r
}

const twoDomains = `{"failure_domains": [{"name": "d", "region": "r"}, {"name": "e", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "p", "slots": 4}], "routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

// TestEvacuationAtOnce checks that the beginning and the end of an evacuation come into force at
// once, also with a large roster whose changes might be batched.
func TestEvacuationAtOnce(t *testing.T) {
	const endpoints = 3000
	table, now := newConfigTable(new(invariant.Set)), time.Now()
	if _, err := table.Offer(1, []byte(twoDomains)); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		roster *config.RosterList
		want   string
	}{
		{evacuatedRoster(5, endpoints), "map[]"},
		{evacuatedRoster(6, endpoints, "d"), "map[d:{d 6}]"},
		{evacuatedRoster(7, endpoints), "map[]"},
		{evacuatedRoster(8, endpoints, "d", "e"), "map[d:{d 8} e:{e 8}]"},
		{evacuatedRoster(9, endpoints, "e"), "map[e:{e 9}]"},
		{evacuatedRoster(4, endpoints), "map[e:{e 9}]"}, // an older revision
	}
	for i, s := range steps {
		now = now.Add(time.Millisecond)
		if _, err := table.OfferRoster(s.roster.Roster(), now); err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(table.View().Evacuated); got != s.want {
			t.Errorf("step %d: %s in force, want %s", i, got, s.want)
		}
	}
}

// TestEvacuationKept checks that evacuations stay in force and are sent to peers while other parts
// of the configuration and the roster change.
func TestEvacuationKept(t *testing.T) {
	now := time.Now()
	expired := evacuatedRoster(6, 6, "d")
	expired.Endpoints[3].Lapsed = now
	cases := []struct {
		name string
		f    func(t *ConfigTable)
	}{
		{"nothing", func(*ConfigTable) {}},
		{"a registration expires and is dropped", func(t *ConfigTable) {
			t.OfferRoster(expired.Roster(), now)
			t.DropExpired(now.Add(config.ExpiryGrace + time.Second))
		}},
		{"a new document", func(t *ConfigTable) { t.Offer(2, []byte(twoDomains)) }},
		{"an endpoint leaves", func(t *ConfigTable) { t.OfferRoster(evacuatedRoster(6, 5, "d").Roster(), now) }},
		{"an older roster comes", func(t *ConfigTable) { t.OfferRoster(evacuatedRoster(4, 6).Roster(), now) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := newConfigTable(new(invariant.Set))
			table.Offer(1, []byte(rosterDocument)) // has only domain d
			table.OfferRoster(evacuatedRoster(3, 6).Roster(), now)
			table.OfferRoster(evacuatedRoster(5, 6, "d", "unknown").Roster(), now)
			tc.f(table)
			for s := range route.NewFleet(table.View()).All() {
				if s.Evacuated != (s.Spec.Domain == "d") {
					t.Errorf("endpoint %s of %s: evacuated %v", s.Spec.Name, s.Spec.Domain, s.Evacuated)
				}
			}
			whole, _ := table.RosterSince(1, now)
			_, change := table.RosterSince(4, now)
			if whole == nil || change == nil || !names(whole.Evacuated)["d"] || !names(change.Evacuated)["d"] {
				t.Fatalf("sent to peers: %+v, %+v", whole, change)
			}
			peer := newConfigTable(new(invariant.Set))
			peer.OfferRoster(evacuatedRoster(4, 6).Roster(), now)
			if in, err := peer.OfferRoster(peer.ApplyChange(change), now); !in || err != nil {
				t.Fatal(in, err)
			}
			peer.Offer(1, []byte(rosterDocument))
			if _, on := peer.View().Evacuated["d"]; !on {
				t.Errorf("a peer has %+v in force", peer.View().Evacuated)
			}
		})
	}
}

func names(list []config.Evacuation) map[string]bool {
	out := map[string]bool{}
	for _, e := range list {
		out[e.Domain] = true
	}
	return out
}

// TestEvacuationRows applies a sequence of views and checks which evacuations are reported as
// begun, ended and in force.
func TestEvacuationRows(t *testing.T) {
	table, start := new(EvacuationTable), time.Now()
	steps := []struct {
		evacuated []config.Evacuation
		from      string
		want      string // begun, ended, listed
	}{
		{nil, "store", "[] [] []"},
		{[]config.Evacuation{{Domain: "d", Revision: 5}}, "store", "[d@5 of store] [] [d@5 of store]"},
		{[]config.Evacuation{{Domain: "d", Revision: 5}, {Domain: "e", Revision: 7}}, "peer h", "[e@7 of peer h] [] [d@5 of store e@7 of peer h]"},
		{[]config.Evacuation{{Domain: "d", Revision: 9}}, "peer h", "[d@9 of peer h] [e@7 of peer h] [d@9 of peer h]"},
		{nil, "store", "[] [d@9 of peer h] []"},
	}
	format := func(rows []EvacuationRow) []string {
		out := []string{}
		for _, r := range rows {
			out = append(out, fmt.Sprintf("%s@%d of %s", r.Domain, r.Revision, r.From))
		}
		return out
	}
	for i, s := range steps {
		v := &config.View{Evacuated: config.EvacuationsByDomain(s.evacuated)}
		began, ended := table.Note(v, s.from, start.Add(time.Duration(i)*time.Second))
		if got := fmt.Sprint(format(began), format(ended), format(table.List())); got != s.want {
			t.Errorf("step %d: %s, want %s", i, got, s.want)
		}
	}
}
