package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/embercove/embercove/config"
)

// fleetDocument returns a document with one or two pools and a route with selectors.
func fleetDocument(slots int, second bool) string {
	pools := fmt.Sprintf(`{"name": "p", "memory_tokens": 9000, "slots": %d, "link_bytes_per_second": 1, "cold_start_ms": 3000, "cold_per_s": 2}`, slots)
	if second {
		pools += `, {"name": "q", "slots": 4}`
	}
	return `{"failure_domains": [{"name": "a", "region": "r"}, {"name": "b", "region": "s"}], "targets": {"ttft_ms": 1, "tpot_ms": 1},
	"models": [{"name": "m", "version": "1", "max_tokens": 9, "kv_bytes_per_token": 1}], "pools": [` + pools + `],
	"routes": [{"name": "all", "requests": "*", "prefill": "*", "decode": "*"}, {"name": "p", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}],
	"endpoints": [{"name": "own", "address": "127.0.1.1:1", "failure_domain": "a", "role": "prefill", "model": "m", "tokens_per_second": 10000}]}`
}

// TestFitDifferences applies random documents and rosters to a fleet one after the other, and
// compares it with a fleet built from the last view alone. It guards against incremental
// updates that leave stale states or list entries.
func TestFitDifferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		roster := &config.Roster{}
		view := func(revision uint64) *config.View {
			src := fleetDocument(rapid.IntRange(1, 2).Draw(t, "slots"), rapid.Bool().Draw(t, "second pool"))
			v, err := config.NewView(revision, []byte(src))
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
		v := view(1)
		f := NewFleet(v)
		for revision := uint64(2); revision < 40; revision++ {
			next := *roster
			next.Revision = config.Position(revision)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				v = view(revision).WithRosterOf(v)
			case 1:
				next.Evacuated = nil
				for _, d := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b"}), rapid.ID).Draw(t, "emptied") {
					next.Evacuated = append(next.Evacuated, config.Evacuation{Domain: d, Revision: config.Position(revision)})
				}
			case 2:
				next.Endpoints = config.Remove(next.Endpoints, drawName(t))
			default:
				for range rapid.IntRange(1, 3).Draw(t, "changes") {
					next.Endpoints = config.Put(next.Endpoints, drawEndpoint(t))
				}
			}
			roster = &next
			v = v.WithRoster(roster)
			if rapid.Bool().Draw(t, "apply now") {
				f.SetView(v, now)
			}
		}
		f.SetView(v, now)
		rebuilt, err := config.NewView(v.Revision, v.Source)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := describeFleet(f), describeFleet(NewFleet(rebuilt.WithRoster(roster))); !slices.Equal(got, want) {
			t.Fatalf("updated incrementally\n%q\nbuilt anew\n%q", got, want)
		}
	})
}

func drawName(t *rapid.T) string { return fmt.Sprint("e", rapid.IntRange(0, 12).Draw(t, "name")) }

func drawEndpoint(t *rapid.T) *config.Endpoint {
	return &config.Endpoint{Name: drawName(t), Address: "10.0.0.1:1", Domain: rapid.SampledFrom([]string{"a", "b", "unknown"}).Draw(t, "domain"),
		Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"), Role: rapid.SampledFrom([]config.Role{config.Prefill, config.Decode, config.Service}).Draw(t, "role"),
		Leaving: rapid.Bool().Draw(t, "leaving")}
}

// describeFleet returns all that a fleet derives from its view, sorted.
func describeFleet(f *Fleet) (out []string) {
	for s := range f.All() {
		out = append(out, fmt.Sprintf("%d %+v %d %d %v %v", s.Number, *s.Spec, s.Domain, s.Region, s.Leaving, s.Evacuated))
		if f.View.Endpoints.Get(s.Number) != s.Spec || f.View.InDomain(s.Spec.Domain).Get(s.Number) != s.Spec {
			out = append(out, "not in the view: "+s.Spec.Name)
		}
	}
	groups := map[string]*Group{"route all": f.routes["all"]}
	for name, g := range f.pools {
		groups[name] = g
	}
	for name, g := range groups {
		for _, r := range []config.Role{config.Prefill, config.Decode, config.Service} {
			l := g.ForRole(r)
			rows := [][]*State{l.All(), l.InFailureDomain(0), l.InFailureDomain(1)}
			for i, row := range rows {
				names := make([]string, 0, len(row))
				for _, s := range row {
					if f.Find(s.Number) != s {
						names = append(names, "not in the fleet: ")
					}
					names = append(names, s.Spec.Name)
				}
				slices.Sort(names)
				out = append(out, fmt.Sprintf("%s %s %d: %v", name, r, i, names))
			}
		}
	}
	slices.Sort(out)
	return out
}

// TestTakenBack evacuates a failure domain and ends the evacuation while the registrations stay
// the same. The endpoints must then count as cold for the length of a cold start.
func TestTakenBack(t *testing.T) {
	base, err := config.NewView(1, []byte(fleetDocument(1, false)))
	if err != nil {
		t.Fatal(err)
	}
	e := &config.Endpoint{Name: "e", Address: "10.0.0.1:1", Domain: "a", Pool: "p", Role: config.Decode}
	roster := &config.Roster{Revision: 1, Endpoints: config.EndpointsOf([]*config.Endpoint{e})}
	v := base.WithRoster(roster)
	f := NewFleet(v)
	evacuated := *roster
	evacuated.Revision, evacuated.Evacuated = 2, []config.Evacuation{{Domain: "a", Revision: 2}}
	v = v.WithRoster(&evacuated)
	f.SetView(v, now)
	s := f.Find(Number("e"))
	if !s.Evacuated || s.IsCold(now) {
		t.Errorf("evacuated %v, cold %v", s.Evacuated, s.IsCold(now))
	}
	ended := *roster
	ended.Revision = 3
	f.SetView(v.WithRoster(&ended), now)
	if s := f.Find(Number("e")); s.Evacuated || !s.IsCold(now) || s.IsCold(now.Add(3*time.Second)) {
		t.Errorf("evacuation ended: evacuated %v, cold %v, three seconds later %v", s.Evacuated, s.IsCold(now), s.IsCold(now.Add(3*time.Second)))
	}
}

// TestNothingYet calls a fleet before its first view, as another host's exchange may do while
// the first revision is being loaded.
func TestNothingYet(t *testing.T) {
	f := NewFleet(nil)
	f.SetOwned(7, true)
	f.SetCutOff("a", now, now)
	for s := range f.InFailureDomain("a") {
		t.Errorf("%+v before the first view", s)
	}
	for s := range f.Owned() {
		t.Errorf("%+v is owned before the first view", s)
	}
	if f.Find(7) != nil || f.UpdateDigest(Digest{Number: 7}, now) {
		t.Error("an endpoint is known before the first view")
	}
}
