package copies

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

const document = `{"targets": {"ttft_ms": 1000, "tpot_ms": 100, "objective": 0.9}, "models": [{"name": "m", "version": "1", "max_tokens": 9000, "kv_bytes_per_token": 1000}],
 "failure_domains": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}, {"name": "c", "region": "s"}],
 "routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}],
 "pools": [{"name": "p", "memory_tokens": 10000, "slots": 8, "link_bytes_per_second": 1000000, "copies": true}]}`

// fleet returns a view with an idle decode engine per given domain, their states and a request.
func fleet(t *testing.T, domains ...string) (*config.View, []*route.State, *route.Request) {
	t.Helper()
	v, err := config.NewView(1, []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	roster := &config.RosterList{Revision: 1}
	for i, d := range domains {
		roster.Endpoints = append(roster.Endpoints, config.Endpoint{Name: fmt.Sprint("e", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: d,
			Pool: "p", Role: config.Decode, Model: "m", Version: "1"})
	}
	v = v.WithRoster(roster.Roster())
	f := route.NewFleet(v)
	now := time.Now()
	var states []*route.State
	for i := range roster.Endpoints {
		states = append(states, f.Find(route.Number(roster.Endpoints[i].Name)))
		states[i].DigestAt, states[i].Digest.FreeTokens, states[i].Digest.FreeSlots = now, 10_000, 8
	}
	all := v.RegionSet("r")
	return v, states, &route.Request{Model: "m", Tokens: 1000, Region: all, Now: now}
}

// TestPlace checks which engine keeps the replica of a request that decodes at engine 0, in domain a.
func TestPlace(t *testing.T) {
	cases := []struct {
		name   string
		change func(s []*route.State)
		want   int // -1: nowhere
	}{
		{"another domain of the region", func([]*route.State) {}, 2},
		{"the own domain, as the other has no capacity", func(s []*route.State) { s[2].Digest.FreeTokens = 3000 }, 1},
		{"none: only an engine of another region has capacity", func(s []*route.State) { s[1].Digest.FreeTokens, s[2].Digest.FreeTokens = 0, 0 }, -1},
		{"not where the domain is being evacuated", func(s []*route.State) { s[2].Evacuated = true }, 1},
		{"not at a cold engine", func(s []*route.State) {
			cold := *s[2].Spec
			cold.ColdPerSecond = 21
			s[2].Spec, s[2].ColdUntil = &cold, s[2].DigestAt.Add(time.Minute)
		}, 1},
		{"not at a leaving engine", func(s []*route.State) { s[2].Leaving = true }, 1},
		{"not at an engine without a digest", func(s []*route.State) { s[2].DigestAt = time.Time{} }, 1},
		{"not where requests queue", func(s []*route.State) { s[2].Digest.WaitMillis = 100 }, 1},
		{"not at a failing engine", func(s []*route.State) { s[2].Digest.FailPct = 90 }, 1},
		{"not at an engine that was just unreachable", func(s []*route.State) { s[2].Calls.Record(s[2].DigestAt, route.OutcomeUnreachable, 0) }, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, states, r := fleet(t, "a", "a", "b", "c")
			tc.change(states)
			selected := SelectEndpoint(states, r, Run{PromptTokens: 1000, AnswerTokens: 500, Engine: states[0]})
			if got := slices.Index(states, selected); got != tc.want {
				t.Errorf("engine %d, want %d", got, tc.want)
			}
		})
	}
}

// TestWants checks which requests get a replica, by the recent failures in the pool.
func TestWants(t *testing.T) {
	cases := []struct {
		name       string
		change     func(s []*route.State)
		policy     Policy
		repeatable bool
		want       bool
	}{
		{"all", func([]*route.State) {}, Policy{}, false, true},
		{"all, a repeatable one", func([]*route.State) {}, Policy{}, true, false},
		{"by risk, no failures", func([]*route.State) {}, Policy{MinRisk: 0.02}, false, false},
		{"by risk, another engine is down", func(s []*route.State) { s[1].Digest.Flags = route.FlagDown }, Policy{MinRisk: 0.02}, false, true},
		{"by risk, its own engine fails a little", func(s []*route.State) { s[0].Digest.FailPct = 3 }, Policy{MinRisk: 0.02}, false, true},
		{"by risk, another engine fails a little", func(s []*route.State) { s[1].Digest.FailPct = 3 }, Policy{MinRisk: 0.02}, false, false},
		{"none", func(s []*route.State) { s[0].Digest.FailPct = 100 }, Policy{MinRisk: 2}, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, states, r := fleet(t, "a", "a", "b", "b")
			tc.change(states)
			if got := tc.policy.Wants(Run{Repeatable: tc.repeatable}, FailureRisk(states, states[0], r.Now)); got != tc.want {
				t.Errorf("wants a replica: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestAffords checks how full a region's engines may be to start a replica.
func TestAffords(t *testing.T) {
	cases := []struct {
		name   string
		change func(s []*route.State)
		want   bool
	}{
		{"idle", func([]*route.State) {}, true},
		{"nearly full", func(s []*route.State) {
			s[0].Digest.FreeTokens, s[1].Digest.FreeTokens, s[2].Digest.FreeTokens = 0, 2000, 2000
		}, false},
		{"others are overfull", func(s []*route.State) { s[0].Digest.FreeTokens, s[1].Digest.FreeTokens = -5000, -5000 }, false},
		{"the region is full, another is not", func(s []*route.State) {
			s[0].Digest.FreeTokens, s[1].Digest.FreeTokens, s[2].Digest.FreeTokens = 0, 0, 0
		}, false},
		{"engines that are down don't count", func(s []*route.State) {
			s[1].Digest.Flags, s[2].Digest.Flags, s[0].Digest.FreeTokens = route.FlagDown, route.FlagDown, 1000
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, states, _ := fleet(t, "a", "a", "b", "c")
			tc.change(states)
			if got := (Policy{MinPoolFree: 0.4}).HasFreeMemory(states, states[0]); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// TestQuiet checks how long an engine may be silent before it is probed.
func TestQuiet(t *testing.T) {
	for pause, want := range map[time.Duration]time.Duration{0: minSilence, 50 * time.Millisecond: 150 * time.Millisecond, time.Hour: maxSilence} {
		if got := SilenceLimit(pause); got != want {
			t.Errorf("%s after pauses of %s, want %s", got, pause, want)
		}
	}
}
