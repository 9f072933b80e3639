package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
)

// testView returns a view of three failure domains, with prefill engines p0.. and decode engines
// d0.. distributed round robin.
func testView(t testing.TB, prefills, decodes int) *config.View {
	t.Helper()
	src := `{"failure_domains": [{"name": "a", "region": "r", "link_bytes_per_second": 1000000000}, {"name": "b", "region": "r"}, {"name": "c", "region": "far"}],
	"models": [{"name": "m", "version": "v1", "max_tokens": 100000, "kv_bytes_per_token": 50000}, {"name": "other", "version": "v1", "max_tokens": 100, "kv_bytes_per_token": 1}],
	"routes": [{"name": "all", "requests": "*", "prefill": "*", "decode": "*"}], "teams": [{"name": "t"}],
	"targets": {"ttft_ms": 1000, "tpot_ms": 30}, "endpoints": [`
	domains := []string{"a", "b", "c"}
	for i := range prefills {
		src += fmt.Sprintf(`{"name": "p%d", "address": "127.0.1.%d:%d", "failure_domain": "%s", "role": "prefill", "model": "m", "tokens_per_second": 10000},`,
			i, i%250+1, 1000+i, domains[i%3])
	}
	for i := range decodes {
		src += fmt.Sprintf(`{"name": "d%d", "address": "127.0.2.%d:%d", "failure_domain": "%s", "role": "decode", "model": "m", "memory_tokens": 50000, "slots": 10,
		"step_micros": 10000, "link_bytes_per_second": 5000000000},`, i, i%250+1, 1000+i, domains[i%3])
	}
	v, err := config.NewView(1, []byte(src+"]}"))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fresh returns the fleet of a view and its states, with recent digests of idle endpoints.
func fresh(v *config.View) (*Fleet, []*State) {
	f := NewFleet(v)
	var states []*State
	for _, e := range v.Doc.Endpoints {
		s := f.Find(Number(e.Name))
		states = append(states, s)
		s.DigestAt = now.Add(-100 * time.Millisecond)
		s.Digest.TrustPct, s.Digest.FreeTokens, s.Digest.FreeSlots = 100, 50000, 10
	}
	return f, states
}

// TestPick changes one property of an otherwise idle pool and checks the chosen pair. p0, p3, d0
// and d3 are in a, the entry host's failure domain. p1, p4, d1 and d4 are in b, which no link
// leads into. p2, p5, d2 and d5 are in another region.
func TestPick(t *testing.T) {
	const (
		p0, p1, p2, p3, p4, p5 = 0, 1, 2, 3, 4, 5
		d0, d1, d2, d3, d4, d5 = 6, 7, 8, 9, 10, 11
	)
	cases := []struct {
		name    string
		change  func(s []*State, r *Request)
		pre     []int // any of these
		dec     []int
		nothing bool
	}{
		{name: "idle: the own domain", change: func([]*State, *Request) {}, pre: []int{p0, p3}, dec: []int{d0, d3}},
		{name: "a queue at one", change: func(s []*State, _ *Request) { s[p0].Digest.QueueMillis = 300 }, pre: []int{p3}, dec: []int{d0, d3}},
		{name: "the own domain is full", change: func(s []*State, _ *Request) {
			s[p0].Digest.QueueMillis, s[p3].Digest.QueueMillis = 900, 900
		}, pre: []int{p1, p4}, dec: []int{d1, d4}},
		{name: "no link into b", change: func(s []*State, _ *Request) {
			s[d0].Digest.WaitMillis, s[d3].Digest.WaitMillis = 2000, 2000
		}, pre: []int{p1, p4}, dec: []int{d1, d4}},
		{name: "cached at the other engine of the domain", change: func(s []*State, r *Request) {
			s[p3].Digest.Heads, r.Head, r.HasHead = []HeadDigest{{77, 3000}}, 77, true
			s[p3].Digest.QueueMillis = 100
		}, pre: []int{p3}, dec: []int{d0, d3}},
		{name: "a cache that is not trusted", change: func(s []*State, r *Request) {
			s[p3].Digest.Heads, r.Head, r.HasHead = []HeadDigest{{77, 3000}}, 77, true
			s[p3].Digest.QueueMillis, s[p3].Digest.TrustPct = 150, 5
		}, pre: []int{p0}, dec: []int{d0, d3}},
		{name: "a probe: where fewest are in progress", change: func(s []*State, r *Request) {
			s[d0].Digest.FreeSlots -= 2
			s[d3].Digest.FreeSlots -= 2
			r.Probe = true
		}, pre: []int{p0, p1, p3, p4}, dec: []int{d1, d4}},
		{name: "not a probe", change: func(s []*State, _ *Request) {
			s[d0].Digest.FreeSlots -= 2
			s[d3].Digest.FreeSlots -= 2
		}, pre: []int{p0, p3}, dec: []int{d0, d3}},
		{name: "leaving", change: func(s []*State, _ *Request) { s[p0].Digest.Flags = FlagLeaving; s[d0].Leaving = true }, pre: []int{p3}, dec: []int{d3}},
		{name: "down", change: func(s []*State, _ *Request) { s[p0].Digest.Flags = FlagDown; s[p3].Digest.Flags = FlagWrongState }, pre: []int{p1, p4}, dec: []int{d1, d4}},
		{name: "failing a little, busy elsewhere", change: func(s []*State, _ *Request) {
			s[p0].Digest.FailPct, s[p3].Digest.QueueMillis = 2, 400
		}, pre: []int{p0}, dec: []int{d0, d3}},
		{name: "failing much", change: func(s []*State, _ *Request) { s[p0].Digest.FailPct = 80 }, pre: []int{p3}, dec: []int{d0, d3}},
		{name: "all fail: one is still chosen", change: func(s []*State, _ *Request) {
			for i := range s {
				s[i].Digest.FailPct = 100
			}
		}, pre: []int{p0, p1, p3, p4}, dec: []int{d0, d1, d3, d4}},
		{name: "slow", change: func(s []*State, _ *Request) { s[p0].Digest.SlowPct = 300 }, pre: []int{p3}, dec: []int{d0, d3}},
		{name: "refused before", change: func(_ []*State, r *Request) { r.AddExcluded(Number("p0")); r.AddExcluded(Number("d3")) }, pre: []int{p3}, dec: []int{d0}},
		{name: "admitted already", change: func(_ []*State, r *Request) { r.FixedPrefill = Number("p3") }, pre: []int{p3}, dec: []int{d0, d3}},
		{name: "cold", change: func(s []*State, _ *Request) {
			for _, i := range []int{p0, d0} {
				cold := *s[i].Spec
				cold.ColdPerSecond = 21
				s[i].Spec, s[i].ColdUntil = &cold, now.Add(time.Second)
			}
		}, pre: []int{p3}, dec: []int{d3}},
		{name: "cold, and busy elsewhere", change: func(s []*State, _ *Request) {
			cold := *s[p0].Spec
			cold.ColdPerSecond = 21
			s[p0].Spec, s[p0].ColdUntil, s[p3].Digest.QueueMillis = &cold, now.Add(time.Second), 800
			s[p1].Digest.QueueMillis, s[p4].Digest.QueueMillis = 800, 800
		}, pre: []int{p0}, dec: []int{d0, d3}},
		{name: "an old digest", change: func(s []*State, _ *Request) { s[d0].DigestAt = now.Add(-time.Minute) }, pre: []int{p0, p3}, dec: []int{d3}},
		{name: "a model that none serves", change: func(_ []*State, r *Request) { r.Model = "other" }, nothing: true},
		{name: "nothing in the region", change: func(_ []*State, r *Request) { r.Region = 0 }, nothing: true},
		{name: "all are leaving", change: func(s []*State, _ *Request) {
			for i := range s {
				s[i].Leaving = true
			}
		}, nothing: true},
	}
	_, _, _, _, _, _ = p2, p5, d2, d5, d1, d4
	v := testView(t, 6, 6)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				f, s := fresh(v)
				r := &Request{Group: f.routes["all"], Model: "m", Tokens: 3000, MaxAnswer: 100, Region: v.RegionSet("r"), Now: now, Seed: seed}
				tc.change(s, r)
				c := f.Pick(r)
				if tc.nothing {
					if c.Prefill != nil {
						t.Fatalf("chose %s and %s, want nothing", c.Prefill.Name, c.Decode.Name)
					}
					continue
				}
				if !isOneOf(c.Prefill, s, tc.pre) || !isOneOf(c.Decode, s, tc.dec) {
					t.Fatalf("seed %d: chose %s and %s, want one of %v and of %v", seed, c.Prefill.Name, c.Decode.Name, tc.pre, tc.dec)
				}
			}
		})
	}
}

func isOneOf(x *config.Endpoint, states []*State, list []int) bool {
	for _, i := range list {
		if states[i].Spec == x {
			return true
		}
	}
	return false
}

// TestPickOne checks that each baseline policy spreads requests over four idle engines.
func TestPickOne(t *testing.T) {
	v := testView(t, 6, 0)
	for _, mode := range []config.PolicyMode{config.ModeRandom, config.ModeRoundRobin, config.ModeTwoChoices} {
		t.Run(string(mode), func(t *testing.T) {
			f, _ := fresh(v)
			hits := map[*State]int{}
			for n := range uint64(400) {
				r := &Request{Group: f.routes["all"], Model: "m", Region: v.RegionSet("r"), Now: now, Seed: n * 0x9e3779b97f4a7c15}
				hits[PickBaseline(f.routes["all"].Prefill.All(), mode, n, r)]++
			}
			if len(hits) != 4 {
				t.Errorf("spread %v: want the four engines of the region", hits)
			}
		})
	}
}

// TestPickAllocates checks that a decision allocates nothing, regardless of the number of
// candidates.
func TestPickAllocates(t *testing.T) {
	v := testView(t, 100, 100)
	f, _ := fresh(v)
	r := &Request{Group: f.routes["all"], Model: "m", Tokens: 3000, MaxAnswer: 100, Region: v.RegionSet("r"), Now: now}
	if n := testing.AllocsPerRun(100, func() { f.Pick(r) }); n > 0 {
		t.Errorf("%v allocations for a decision, want none", n)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{200, 770, 3000, 12000} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			v := poolView(b, n/2, n/2)
			f := NewFleet(v)
			for s := range f.All() {
				s.DigestAt = now.Add(-100 * time.Millisecond)
				s.Digest.TrustPct, s.Digest.FreeTokens, s.Digest.FreeSlots = 100, 50000, 10
				s.Digest.Heads = make([]HeadDigest, 24)
			}
			r := &Request{Group: f.routes["all"], Model: "m", Tokens: 3000, MaxAnswer: 100, Region: v.RegionSet("r"), Now: now, Head: 7, HasHead: true}
			b.ReportAllocs()
			for b.Loop() {
				r.Seed++
				f.Pick(r)
			}
		})
	}
}
