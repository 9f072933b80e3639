package config

import (
	"fmt"
	"strings"
	"testing"
)

// regionsDocument has three regions; its format verbs are for the regions of a route and of a team.
const regionsDocument = `{"failure_domains": [{"name": "a1", "region": "north"}, {"name": "a2", "region": "north"}, {"name": "b", "region": "south"}, {"name": "c", "region": "west"}],
	"pools": [{"name": "web", "slots": 4}],
	"routes": [{"name": "x", "host": "h", "path_prefix": "/", "pools": [{"pool": "web"}], "regions": [%s]}],
	"teams": [{"name": "t", "regions": [%s]}],
	"targets": {"ttft_ms": 1000, "tpot_ms": 100}}`

// TestHomes checks which regions a request may be served in, given those of its route and its team.
func TestHomes(t *testing.T) {
	for _, tc := range []struct{ route, team, want string }{
		{"", "", ""},
		{`"north"`, "", "north"},
		{"", `"south", "west"`, "south west"},
		{`"north", "south"`, `"south", "west"`, "south"},
		{`"north"`, `"south"`, "nowhere"},
	} {
		t.Run(tc.route+"/"+tc.team, func(t *testing.T) {
			v, err := NewView(1, fmt.Appendf(nil, regionsDocument, tc.route, tc.team))
			if err != nil {
				t.Fatal(err)
			}
			allowed := v.AllowedRegions(&v.Doc.Routes[0], v.Teams["t"])
			if (allowed == 0) != (tc.want == "") {
				t.Fatalf("allowed regions %b, want %q", allowed, tc.want)
			}
			for _, name := range []string{"north", "south", "west"} {
				if allowed.Has(v.RegionSet(name)) != strings.Contains(tc.want, name) {
					t.Errorf("%s is allowed: %v, want %q", name, allowed.Has(v.RegionSet(name)), tc.want)
				}
			}
		})
	}
}

// TestUnknownRegion checks that a region that no failure domain uses is rejected with its position
// and a suggestion.
func TestUnknownRegion(t *testing.T) {
	for _, tc := range []struct{ route, team, want string }{
		{`"noth"`, "", `3:`},
		{`"noth"`, "", `routes[0].regions[0] = "noth": is no region of failure_domains; did you mean "north"?`},
		{"", `"south", "elsewhere"`, `teams[0].regions[1] = "elsewhere": is no region of failure_domains`},
		{`"south", "south"`, "", `routes[0].regions[1] = "south": is used twice`},
	} {
		_, err := NewView(1, fmt.Appendf(nil, regionsDocument, tc.route, tc.team))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("got %v, want %q", err, tc.want)
		}
	}
}
