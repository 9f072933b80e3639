package route

import (
	"testing"
	"time"

	"github.com/embercove/embercove/config"
)

// TestLook checks how many endpoints a choice scans in pools of different sizes, and that it
// scans all of them if few are eligible.
func TestLook(t *testing.T) {
	cases := []struct {
		name                   string
		engines, eligible      int
		minScanned, maxScanned int
	}{
		{"a small pool: all", 100, 100, 100, 100},
		{"a large one", 1000, 1000, 64, 200},
		{"one twelve times as large", 12000, 12000, 64, 200},
		{"few are open: all", 1000, 20, 1000, 1200},
		{"none is open: all", 1000, 0, 1000, 1200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := NewFleet(oneDomain(t, tc.engines))
			r := &Request{Group: f.routes["all"], Seed: 7}
			scanned, eligible := 0, map[*State]bool{}
			for _, s := range r.Group.Prefill.All()[:tc.eligible] {
				eligible[s] = true
			}
			seen := map[*State]bool{}
			f.scan(&r.Group.Prefill, r, func(s *State) bool {
				scanned++
				seen[s] = true
				return eligible[s]
			})
			if scanned < tc.minScanned || scanned > tc.maxScanned {
				t.Errorf("scanned %d of %d, want %d to %d", scanned, tc.engines, tc.minScanned, tc.maxScanned)
			}
			for s := range eligible {
				if tc.minScanned == tc.engines && !seen[s] {
					t.Fatalf("%s is eligible and was not scanned", s.Spec.Name)
				}
			}
		})
	}
}

// TestCachedIsFound checks that a prompt goes to the one engine among thousands that has cached
// its head, and no longer once that engine is removed or has evicted the entry.
func TestCachedIsFound(t *testing.T) {
	v := oneDomain(t, 2000)
	f := NewFleet(v)
	for s := range f.All() {
		s.DigestAt = now.Add(-time.Second)
		s.Digest.FreeTokens, s.Digest.FreeSlots = 50000, 10
	}
	holder := f.Find(Number("p1234"))
	learn := func(heads []HeadDigest) {
		f.UpdateDigest(Digest{Number: holder.Number, Heads: heads, TrustPct: 100}, now)
	}
	picks := func(seed uint64) *config.Endpoint {
		r := &Request{Group: f.routes["all"], Model: "m", Tokens: 3000, MaxAnswer: 100, Region: v.RegionSet("r"), Now: now, Head: 77, HasHead: true, Seed: seed}
		return f.Pick(r).Prefill
	}
	learn([]HeadDigest{{77, 3000}})
	for seed := range uint64(30) {
		if got := picks(seed); got != holder.Spec {
			t.Fatalf("seed %d: prefill at %s, want %s, which has it cached", seed, got.Name, holder.Spec.Name)
		}
	}
	f.UpdateDigest(Digest{Number: holder.Number, Heads: []HeadDigest{{78, 3000}}, TrustPct: 100}, now.Add(1))
	if len(f.heads[77]) > 0 {
		t.Errorf("the engine evicted the prompt, and is still indexed for it: %v", f.heads[77])
	}
	f.replace(holder.Number, nil, now)
	if len(f.heads) > 0 {
		t.Errorf("the engine was removed, and is still indexed for %v", f.heads)
	}
}
