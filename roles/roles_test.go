package roles

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/embercove/embercove/config"
)

// rosterOf returns a roster with a runner per letter: p for prefill, d for decode, upper case for
// one that is leaving. The failure domains are d, e and f in turn.
func rosterOf(revision uint64, roles string) *config.RosterList {
	r := &config.RosterList{Revision: config.Position(revision)}
	for i, c := range roles {
		e := config.Endpoint{Name: fmt.Sprintf("r%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: string("def"[i%3]),
			Pool: "p", Role: config.Decode, Leaving: c == 'P' || c == 'D'}
		if c == 'p' || c == 'P' {
			e.Role = config.Prefill
		}
		r.Endpoints = append(r.Endpoints, e)
	}
	return r
}

const balanceDocument = `{"failure_domains": [{"name": "d", "region": "r"}, {"name": "e", "region": "r"}, {"name": "f", "region": "r"}],
"targets": {"ttft_ms": 900, "tpot_ms": 10}, "models": [{"name": "m", "version": "1", "max_tokens": 90000, "kv_bytes_per_token": 1}],
"pools": [{"name": "p", "memory_tokens": 90000, "slots": 64, "link_bytes_per_second": 1000000000, "role_switch_ms": 6000}],
"routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

// TestSurplus checks which runners should change their role, also while failure domains are being
// evacuated.
func TestSurplus(t *testing.T) {
	cases := []struct {
		name, roles string
		change      string
		to          config.Role
		changing    []string
		evacuated   []string // failure domains
		starved     bool
	}{
		{"balanced", "pdd" + "pdd" + "pdd", "[]", config.Decode, nil, nil, false},
		{"one prefill engine too many", "ppd" + "pdd" + "pdd", "[r00]", config.Decode, nil, nil, false},
		{"the most crowded domain gives one", "ppd" + "dpd" + "dpd", "[r01]", config.Decode, nil, nil, false},
		{"too few prefill", "pdd" + "ddd" + "ddd", "[r01 r02]", config.Prefill, nil, nil, false},
		{"a leaving prefill engine doesn't count", "Pdd" + "pdd" + "pdd" + "d", "[r01]", config.Prefill, nil, nil, false},
		{"two of eight prefill", "pdd" + "pdd" + "dd", "[]", config.Decode, nil, nil, false},
		{"too few prefill, and one is changing", "pdd" + "ddd" + "ddd", "[r02]", config.Prefill, []string{"r01"}, nil, false},
		{"too few prefill, and all needed are changing", "pdd" + "ddd" + "ddd", "[]", config.Decode, []string{"r01", "r05"}, nil, false},
		{"one prefill engine too many, and one is changing", "ppd" + "pdd" + "pdd", "[]", config.Decode, []string{"r03"}, nil, false},
		{"too few runners for any change", "ppp", "[]", config.Decode, nil, nil, false},
		{"all prefill engines are evacuated", "pdd" + "pdd" + "pdd", "[r01 r02]", config.Prefill, nil, []string{"d"}, true},
		{"an evacuated domain had its share of prefill engines", "ppd" + "ddd" + "ddd", "[r02]", config.Prefill, nil, []string{"d"}, false},
		{"an evacuated domain had no prefill engine", "dpp" + "ddd" + "ddd", "[]", config.Decode, nil, []string{"d"}, false},
		{"all prefill engines are evacuated, and one is changing", "pdd" + "pdd" + "pdd", "[r02]", config.Prefill, []string{"r01"}, []string{"d"}, false},
		{"an evacuated domain had most prefill engines", "pdd" + "ppd" + "pdd", "[r02]", config.Prefill, nil, []string{"d"}, false},
		{"its evacuation ended, and others prefill meanwhile", "ppp" + "pdd" + "pdd", "[r00 r03]", config.Decode, nil, nil, false},
		{"two decode engines are left", "pdd" + "pd", "[r01]", config.Prefill, nil, []string{"d", "f"}, true},
		{"two prefill engines are left", "dpp" + "dp", "[r01]", config.Decode, nil, []string{"d", "f"}, true},
		{"one is left", "pdd", "[]", config.Decode, nil, []string{"d", "f"}, true},
		{"none is left", "pdd" + "pdd", "[]", config.Decode, nil, []string{"d", "e", "f"}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			v, err := config.NewView(1, []byte(balanceDocument))
			if err != nil {
				t.Fatal(err)
			}
			roster := rosterOf(1, tc.roles)
			for _, d := range tc.evacuated {
				roster.Evacuated = append(roster.Evacuated, config.Evacuation{Domain: d, Revision: 1})
			}
			v = v.WithRoster(roster.Roster())
			changing := func(e *config.Endpoint) bool { return slices.Contains(tc.changing, e.Name) }
			list, to := Surplus(v, "p", changing)
			if got := Starved(v, "p", changing); got != tc.starved {
				t.Errorf("starved: %v, want %v", got, tc.starved)
			}
			names := []string{}
			for _, e := range list {
				names = append(names, e.Name)
			}
			if got := fmt.Sprint(names); got != tc.change || to != tc.to {
				t.Errorf("%s should become %s, want %s and %s", got, to, tc.change, tc.to)
			}
		})
	}
}

// TestStarved evacuates engines of a pool and has others lose their registration, which may be
// brief. A pool is starved only if the role it lacks is that of evacuated engines.
func TestStarved(t *testing.T) {
	cases := []struct {
		name      string
		roles     string
		evacuated string
		lapsed    []int
		want      bool
	}{
		{"prefill engines are evacuated", "pdd" + "pdd", "d", nil, true},
		{"decode engines are evacuated", "dpp" + "dpp", "d", nil, true},
		{"prefill engines are evacuated, and a decode engine is lost", "pdd" + "pdd", "d", []int{1}, true},
		{"some decode engines are evacuated, and all prefill engines are lost", "dpd" + "dpd", "d", []int{1, 4}, false},
		{"some prefill engines are evacuated, and all decode engines are lost", "pdp" + "pdp", "d", []int{1, 4}, false},
		{"all prefill engines are lost", "pdd" + "pdd", "", []int{0, 3}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			v, err := config.NewView(1, []byte(balanceDocument))
			if err != nil {
				t.Fatal(err)
			}
			roster := rosterOf(1, tc.roles)
			if tc.evacuated != "" {
				roster.Evacuated = []config.Evacuation{{Domain: tc.evacuated, Revision: 1}}
			}
			for _, i := range tc.lapsed {
				roster.Endpoints[i].Lapsed = time.Now()
			}
			if got := Starved(v.WithRoster(roster.Roster()), "p", func(*config.Endpoint) bool { return false }); got != tc.want {
				t.Errorf("starved: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestSettles starts and ends evacuations of failure domains in random pools. Once the surplus has
// changed its role, no further change may be due, both roles must exist if two engines are left,
// and no evacuated engine may be in the surplus. Else orders would go back and forth.
func TestSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := rapid.StringOfN(rapid.SampledFrom([]rune("pd")), 0, 40, -1).Draw(t, "roles")
		base, err := config.NewView(1, []byte(balanceDocument))
		if err != nil {
			t.Fatal(err)
		}
		none := func(*config.Endpoint) bool { return false }
		roster := rosterOf(1, initial)
		for range 4 {
			roster.Evacuated = nil
			for _, d := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"d", "e", "f"}), rapid.ID).Draw(t, "emptied") {
				roster.Evacuated = append(roster.Evacuated, config.Evacuation{Domain: d, Revision: 1})
			}
			v := base.WithRoster(roster.Roster())
			surplus, to := Surplus(v, "p", none)
			for _, e := range surplus {
				if v.IsEvacuated(e) {
					t.Fatalf("%s is in the surplus, but its domain is being evacuated", e.Name)
				}
				i := slices.IndexFunc(roster.Endpoints, func(o config.Endpoint) bool { return o.Name == e.Name })
				roster.Endpoints[i].Role = to
			}
			v = base.WithRoster(roster.Roster())
			if again, to := Surplus(v, "p", none); len(again) > 0 {
				t.Fatalf("%d more should become %s", len(again), to)
			}
			left := 0
			for _, e := range v.Endpoints.All() {
				if !v.IsEvacuated(e) {
					left++
				}
			}
			if left > 1 && Starved(v, "p", none) {
				t.Fatalf("all %d engines that are left have the same role", left)
			}
		}
	})
}

// TestLasting samples a pool every half second. A sample is the number of runners out of balance,
// negative in the other direction. It checks how many count as lasting after the last sample.
func TestLasting(t *testing.T) {
	cases := []struct {
		name    string
		samples []int
		want    int
	}{
		{"just now", []int{2}, 0},
		{"for a while", []int{2, 2, 2, 2, 2, 2, 2}, 2},
		{"not for long enough", []int{2, 2, 2, 2, 2, 2}, 0},
		{"balanced meanwhile", []int{2, 2, 2, 0, 2, 2, 2}, 0},
		{"more and more", []int{1, 2, 3, 4, 5, 6, 7}, 1},
		{"a varying number", []int{3, 5, 2, 4, 3, 6, 5}, 2},
		{"the other direction before", []int{-1, 2, 2, 2, 2, 2, 2}, 0},
		{"the other direction long ago", []int{-1, 2, 2, 2, 2, 2, 2, 3}, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			history, got := new(History), 0
			for i, n := range tc.samples {
				to := config.Prefill
				if n < 0 {
					n, to = -n, config.Decode
				}
				got = history.Record(n, to, start.Add(time.Duration(i)*500*time.Millisecond))
			}
			if got != tc.want {
				t.Errorf("%d, want %d", got, tc.want)
			}
		})
	}
}

// TestPrefills checks the number of prefill engines for the pool sizes that users run and plan.
func TestPrefills(t *testing.T) {
	for engines, want := range map[int]int{4: 2, 7: 2, 8: 2, 9: 3, 10: 3, 12: 3, 36: 9, 44: 10, 100: 21, 770: 143} {
		if got := PrefillCount(engines); got != want {
			t.Errorf("%d of %d engines prefill, want %d", got, engines, want)
		}
	}
}

// TestFullestDomainFirst compares the choice with a naive one that scans all endpoints for each
// pick.
func TestFullestDomainFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list, plain []*config.Endpoint
		for i := range rapid.IntRange(0, 30).Draw(t, "endpoints") {
			e := &config.Endpoint{Name: fmt.Sprintf("e%d", i*7%31), Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")}
			list, plain = append(list, e), append(plain, e)
		}
		n := rapid.IntRange(0, 31).Draw(t, "n")
		got := fullestDomainFirst(list, n)
		byDomain := map[string]int{}
		for _, e := range plain {
			byDomain[e.Domain]++
		}
		slices.SortFunc(plain, byName)
		for i := 0; i < n && len(plain) > 0; i++ {
			most := 0
			for k, e := range plain {
				if byDomain[e.Domain] > byDomain[plain[most].Domain] {
					most = k
				}
			}
			if i >= len(got) || got[i] != plain[most] {
				t.Fatalf("choice %d of %d differs", i, len(got))
			}
			byDomain[plain[most].Domain]--
			plain = slices.Delete(plain, most, most+1)
		}
		if len(got) > n {
			t.Fatalf("%d chosen, want %d", len(got), n)
		}
	})
}
