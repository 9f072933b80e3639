package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/route"
)

const regionDocument = `{"failure_domains": [{"name": "a", "region": "north"}, {"name": "b", "region": "south"}, {"name": "c", "region": "west"}],
"targets": {"ttft_ms": 300, "tpot_ms": 10}, "teams": [{"name": "t", "regions": ["north", "west"]}],
"pools": [{"name": "web", "takes_not_repeatable": true}],
"routes": [{"name": "page", "host": "h", "path_prefix": "/", "pools": [{"pool": "web", "weight": 1}]}]}`

// TestCallLeaves sets what a host in the north observed of its own two endpoints of a
// service and received about the south and the west, and checks where a call goes.
func TestCallLeaves(t *testing.T) {
	const ms = time.Millisecond
	south, west := config.NameNumber("south"), config.NameNumber("west")
	type scene struct {
		b      *blackboard.Board
		states []*route.State // n0, n1, s, w
		j      *job
	}
	all := func(s *scene, f func(s *route.State)) {
		f(s.states[0])
		f(s.states[1])
	}
	slow := func(took time.Duration) func(s *scene) {
		return func(s *scene) { all(s, func(st *route.State) { st.Calls.MeanSeconds = took.Seconds() }) }
	}
	leave := func(s *scene) { all(s, func(st *route.State) { st.Leaving = true }) }
	cases := []struct {
		name  string
		setup func(s *scene)
		want  string // region of the endpoint; empty: none
	}{
		{"fast locally", slow(60 * ms), "north"},
		{"too slow locally", slow(400 * ms), "south"},
		{"much slower than elsewhere", slow(220 * ms), "south"},
		{"slower, but the round trips cost more", slow(130 * ms), "north"},
		{"full locally", func(s *scene) {
			all(s, func(st *route.State) { st.Calls.FullUntil = time.Now().Add(time.Second) })
		}, "south"},
		{"both refused it, and it is fast elsewhere", func(s *scene) {
			slow(60 * ms)(s)
			all(s, func(st *route.State) { s.j.criteria.AddExcluded(st.Number) })
		}, "south"},
		{"both refused it, and it is slow elsewhere", func(s *scene) {
			all(s, func(st *route.State) { s.j.criteria.AddExcluded(st.Number) })
			s.b.Regions.Learn(region.Summary{Region: south, Pool: region.PoolNumber("web", ""), Capacity: 5, WaitMillis: 180}, time.Now().Add(time.Second))
		}, ""},
		{"no local endpoint", leave, "south"},
		{"no local endpoint, nothing reported", func(s *scene) { leave(s); s.b.Regions.Drop() }, "south"},
		{"too slow locally, nothing reported", func(s *scene) { slow(400 * ms)(s); s.b.Regions.Drop() }, "north"},
		{"too slow everywhere", func(s *scene) {
			slow(400 * ms)(s)
			s.b.Regions.Learn(region.Summary{Region: south, Pool: region.PoolNumber("web", ""), Capacity: 5, WaitMillis: 350}, time.Now().Add(time.Second))
		}, "north"},
		{"too slow locally, little time left", func(s *scene) { slow(400 * ms)(s); s.j.arrived = time.Now().Add(-220 * ms) }, "north"},
		{"no local endpoint, too late in any case", func(s *scene) { leave(s); s.j.arrived, s.j.deadline = time.Now().Add(-time.Second), 3*time.Second }, "south"},
		{"no local endpoint, the owner in the south is unreachable", func(s *scene) { leave(s); s.b.Regions.RecordMiss(south, time.Now()) }, ""},
		{"no local endpoint, its allowed regions are elsewhere", func(s *scene) { leave(s); s.j.headers.team = s.j.view.Teams["t"] }, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &config.Settings{Host: "h", Domain: "a", Region: "north"}
			s.SetDefaults()
			b := blackboard.New(s)
			if _, err := b.Config.Offer(1, []byte(regionDocument)); err != nil {
				t.Fatal(err)
			}
			roster := &config.RosterList{Revision: 1}
			for i, d := range []string{"a", "a", "b"} {
				roster.Endpoints = append(roster.Endpoints, config.Endpoint{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i),
					Domain: d, Pool: "web", Role: config.Service})
			}
			if _, err := b.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
				t.Fatal(err)
			}
			v, now := b.Config.View(), time.Now()
			b.Endpoints.ApplyView(v)
			for _, d := range v.Doc.Domains {
				b.Hosts.Learn(blackboard.Host{Name: d.Name, Number: request.HostNumber(d.Name), Domain: d.Name, Region: d.Region, Incarnation: 1, Heartbeat: 1}, now)
			}
			pool := region.PoolNumber("web", "")
			b.Regions.Learn(region.Summary{Region: south, Pool: pool, Capacity: 5, WaitMillis: 60}, now)
			b.Regions.Learn(region.Summary{Region: west, Pool: pool, Capacity: 50, WaitMillis: 10}, now) // it has no endpoints any more
			b.Regions.RecordRoundTrip(south, 16*ms)
			e := &Entry{board: b}
			j := &job{headers: headers{team: defaultTeam}, view: v, route: v.RouteFor("h", "/x"), pool: "web", tries: 1, arrived: now,
				criteria: route.Request{EntryDomain: v.DomainIndex("a"), Region: v.RegionSet("north")}}
			b.Endpoints.Read(func(fleet *route.Fleet) { tc.setup(&scene{b, statesOf(fleet), j}) })
			got := ""
			if spec := e.chooseService(j); spec != nil {
				got = v.Region[spec.Domain]
			}
			if got != tc.want {
				t.Errorf("called in %q, want %q; %s", got, tc.want, j.regionLog)
			}
			if left := strings.Contains(j.regionLog, "left for"); left != (got == "south") || left != j.redirected() {
				t.Errorf("the log says %q of a call in %q", j.regionLog, got)
			}
		})
	}
}
