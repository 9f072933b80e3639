package config

import (
	"strings"
	"testing"
)

// TestFit guards against a valid document that Fit changes, and an invalid one of which more than the invalid rows is lost.
func TestFit(t *testing.T) {
	base := func() *Document {
		return &Document{Domains: []Domain{{Name: "a", Region: "r"}}, Targets: Targets{TTFTMillis: 900, TPOTMillis: 30},
			Pools:  []Pool{{Name: "web"}, {Name: "api"}},
			Routes: []Route{{Name: "one", Host: "h", PathPrefix: "/one/", Pools: []PoolShare{{"web", 1}}}, {Name: "two", Host: "h", PathPrefix: "/two/", Pools: []PoolShare{{"api", 1}}}},
			Teams:  []Team{{Name: "red", KeysSHA256: []string{KeyDigest("red")}}, {Name: "blue", KeysSHA256: []string{KeyDigest("blue")}}}}
	}
	cases := []struct {
		name    string
		change  func(d *Document)
		want    string // names of the routes and teams that are kept
		omitted Omitted
		changes int // rows and numbers that Fit has changed
	}{
		{"valid", func(*Document) {}, "one two red blue", Omitted{}, 0},
		{"a number out of range", func(d *Document) { d.Routes[0].MaxAttempts = 99 }, "one two red blue", Omitted{}, 1},
		{"a route of an unknown pool", func(d *Document) { d.Routes[0].Pools[0].Pool = "no" }, "two red blue", Omitted{Routes: 1}, 1},
		{"an unknown pool beside a known one", func(d *Document) { d.Routes[0].Pools = []PoolShare{{"no", 1}, {"web", 1}} }, "one two red blue", Omitted{}, 1},
		{"a pool without a name, and with it its route", func(d *Document) { d.Pools[1].Name = "" }, "one red blue", Omitted{Pools: 1, Routes: 1}, 2},
		{"two routes of a name", func(d *Document) { d.Routes[1].Name = "one" }, "one red blue", Omitted{Routes: 1}, 1},
		{"a key of two teams", func(d *Document) { d.Teams[1].KeysSHA256 = []string{KeyDigest("red")} }, "one two red blue", Omitted{}, 1},
		{"all teams without a name", func(d *Document) { d.Teams[0].Name, d.Teams[1].Name = "", "" }, "one two", Omitted{Teams: 2}, 3},
		{"regions of which one is unknown", func(d *Document) { d.Routes[0].Regions = []string{"r", "s"} }, "one two red blue", Omitted{}, 1},
		{"regions that are all unknown", func(d *Document) { d.Routes[0].Regions = []string{"s"} }, "two red blue", Omitted{Routes: 1}, 1},
	}
	for _, tc := range cases {
		d := base()
		tc.change(d)
		changes, err := d.Fit()
		if err != nil {
			t.Errorf("%s: %v", tc.name, err)
			continue
		}
		var kept []string
		for _, r := range d.Routes {
			kept = append(kept, r.Name)
		}
		for _, team := range d.Teams {
			kept = append(kept, team.Name)
		}
		if got := strings.Join(kept, " "); got != tc.want || d.Omitted != tc.omitted || len(changes) != tc.changes {
			t.Errorf("%s: kept %q, omitted %+v, %d changes; want %q, %+v, %d", tc.name, got, d.Omitted, len(changes), tc.want, tc.omitted, tc.changes)
		}
		if errs := d.withDefaults().check(); len(errs) > 0 {
			t.Errorf("%s: still invalid: %v", tc.name, errs)
		}
		v := &View{Doc: d}
		v.index()
		if !v.HasKeys() {
			t.Errorf("%s: callers need no key", tc.name)
		}
	}
	if _, err := new(Document).Fit(); err == nil {
		t.Error("a document without failure domains is taken for valid")
	}
}
