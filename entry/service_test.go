package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

const serviceDocument = `{"failure_domains": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "web", "takes_not_repeatable": true}],
"routes": [{"name": "page", "host": "h", "path_prefix": "/", "pools": [{"pool": "web", "weight": 1}]}]}`

// TestChooseService sets what a host in domain a observed of three plain endpoints, s0 in
// a, s1 and s2 in b, and checks which one is called.
func TestChooseService(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		observe func(s []*route.State)
		tries   int
		want    string // empty: none
	}{
		{"the own domain", func([]*route.State) {}, 1, "s0"},
		{"the own is busy", func(s []*route.State) { s[0].InFlight = 6 }, 1, "s1"},
		{"the own fails", func(s []*route.State) { s[0].Calls.FailedShare, s[0].Calls.LastCall = 0.9, now }, 1, "s1"},
		{"the own was full just now", func(s []*route.State) { s[0].Calls.FullUntil = now.Add(time.Second) }, 1, "s1"},
		{"the own was unreachable", func(s []*route.State) { s[0].Calls.UnreachableUntil = now.Add(time.Second) }, 1, "s1"},
		{"all were unreachable, at first", func(s []*route.State) {
			for i := range s {
				s[i].Calls.UnreachableUntil = now.Add(time.Second)
			}
		}, 1, "s0"},
		{"all were unreachable, and one was tried", func(s []*route.State) {
			for i := range s {
				s[i].Calls.UnreachableUntil = now.Add(time.Second)
			}
		}, 2, ""},
		{"the own leaves", func(s []*route.State) { s[0].Leaving = true }, 1, "s1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &config.Settings{Host: "h", Domain: "a", Region: "r"}
			s.SetDefaults()
			b := blackboard.New(s)
			if _, err := b.Config.Offer(1, []byte(serviceDocument)); err != nil {
				t.Fatal(err)
			}
			roster := &config.RosterList{Revision: 1}
			for i, d := range []string{"a", "b", "b"} {
				roster.Endpoints = append(roster.Endpoints, config.Endpoint{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i),
					Domain: d, Pool: "web", Role: config.Service})
			}
			if _, err := b.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
				t.Fatal(err)
			}
			v := b.Config.View()
			b.Endpoints.ApplyView(v)
			b.Endpoints.Read(func(fleet *route.Fleet) { tc.observe(statesOf(fleet)) })
			e := &Entry{board: b}
			j := &job{headers: headers{team: defaultTeam}, view: v, route: v.RouteFor("h", "/x"), pool: "web", tries: tc.tries,
				criteria: route.Request{EntryDomain: v.DomainIndex("a"), Region: v.RegionSet("r")}}
			got := ""
			if spec := e.chooseService(j); spec != nil {
				got = spec.Name
			}
			if got != tc.want {
				t.Errorf("called %q, want %q", got, tc.want)
			}
		})
	}
}
