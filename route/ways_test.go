package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
)

// The model of TestWaysToLook: hosts of one failure domain send prompts to its prefill engines.
// Each decides by digests that are some time old.
const (
	modelHosts       = 12
	modelEngines     = 600
	modelTicks       = 400                   // simulated
	modelTick        = 10 * time.Millisecond // each host gets one prompt per tick
	modelTokens      = 5000                  // of a prompt
	modelHeads       = 40                    // number of different first blocks
	modelReports     = 160                   // digests that a host receives every modelReportTicks
	modelReportTicks = 50                    // between two batches of digests
)

// modelEngine is the true state of an engine.
type modelEngine struct {
	freeAt time.Duration // when it has finished all prompts that it was sent
	cached []HeadDigest
}

// modelResult is what callers measured.
type modelResult struct {
	mean     time.Duration // from arrival to the end of prefill
	worst    time.Duration
	hitShare float64 // share of prompts that went to an engine that had cached their head
}

// runModel runs the model with one sampling. The first block is half of a prompt, and engines cache
// the last four.
func runModel(v *config.View, sizes sampleSizes) (out modelResult) {
	random := rand.New(rand.NewPCG(7, 11))
	var fleets []*Fleet
	for range modelHosts {
		f := NewFleet(v)
		f.sampling = sizes
		fleets = append(fleets, f)
	}
	engines := map[string]*modelEngine{}
	var names []string
	for _, e := range v.Endpoints.All() {
		if e.Role != config.Prefill {
			continue
		}
		engines[e.Name] = new(modelEngine)
		names = append(names, e.Name)
		fleets[len(names)%modelHosts].SetOwned(Number(e.Name), true)
	}
	at, sum, hits, n := time.Duration(0), time.Duration(0), 0, 0
	report := func(f *Fleet, name string) {
		e := engines[name]
		d := Digest{Number: Number(name), TrustPct: 100, Heads: append([]HeadDigest{}, e.cached...), QueueMillis: uint32(max(0, e.freeAt-at).Milliseconds())}
		f.UpdateDigest(d, now.Add(at))
	}
	for tick := range modelTicks {
		at = time.Duration(tick) * modelTick
		for h, f := range fleets {
			for s := range f.Owned() {
				report(f, s.Spec.Name)
			}
			if (tick+h)%modelReportTicks == 0 {
				for range modelReports {
					report(f, names[random.IntN(len(names))])
				}
			}
			head := uint32(1 + random.IntN(modelHeads))
			r := &Request{Group: f.routes["all"], Model: "m", Tokens: modelTokens, MaxAnswer: 100, Region: v.RegionSet("r"), Now: now.Add(at),
				Head: head, HasHead: true, Seed: random.Uint64()}
			c := f.Pick(r)
			e := engines[c.Prefill.Name]
			tokens := modelTokens
			for i := range e.cached {
				if e.cached[i].Head == head {
					tokens /= 2
					hits++
					break
				}
			}
			e.cached = append([]HeadDigest{{head, modelTokens / 2}}, e.cached[:min(3, len(e.cached))]...)
			e.freeAt = max(e.freeAt, at) + time.Duration(float64(tokens)/c.Prefill.TokensPerSecond*float64(time.Second))
			took := e.freeAt - at
			sum, n, out.worst = sum+took, n+1, max(out.worst, took)
		}
	}
	out.mean, out.hitShare = sum/time.Duration(n), float64(hits)/float64(n)
	return out
}

// TestWaysToLook compares samplings of a large pool on one model with the same prompts. With the
// default sampling callers must not wait notably longer than if all engines are scanned.
func TestWaysToLook(t *testing.T) {
	v := oneDomain(t, modelEngines)
	whole := runModel(v, sampleSizes{scanAll: 2 * modelEngines})
	t.Logf("all: %+v", whole)
	variants := []struct { // "standing" is the default
		name    string
		sizes   sampleSizes
		bounded bool
	}{
		{"standing", defaultSampling, true},
		{"few drawn", sampleSizes{scanAll: 128, inDomain: 4, anywhere: 2}, false},
		{"many drawn", sampleSizes{scanAll: 128, inDomain: 200, anywhere: 50}, false},
	}
	for _, w := range variants {
		got := runModel(v, w.sizes)
		t.Logf("%s: %+v", w.name, got)
		const maxFactor = 1.03 // of the mean wait with all engines scanned
		if w.bounded && float64(got.mean) > maxFactor*float64(whole.mean) {
			t.Errorf("%s: mean wait %s, want about the %s with all engines scanned", w.name, got.mean, whole.mean)
		}
	}
}

// oneDomain returns a view of prefill engines in one failure domain, with three decode engines.
func oneDomain(t testing.TB, prefills int) *config.View { return poolView(t, prefills, 3) }

// poolView returns a view with these numbers of engines of each role in one failure domain.
func poolView(t testing.TB, prefills, decodes int) *config.View {
	t.Helper()
	v, err := config.NewView(1, []byte(`{"failure_domains": [{"name": "a", "region": "r"}], "targets": {"ttft_ms": 1000, "tpot_ms": 30},
	"models": [{"name": "m", "version": "v1", "max_tokens": 100000, "kv_bytes_per_token": 50000}], "teams": [{"name": "t"}],
	"pools": [{"name": "p", "memory_tokens": 50000, "slots": 10, "tokens_per_second": 10000, "link_bytes_per_second": 5000000000}],
	"routes": [{"name": "all", "requests": "*", "prefill": "*", "decode": "*"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	list := &config.RosterList{Revision: 1}
	add := func(name string, role config.Role) {
		list.Endpoints = append(list.Endpoints, config.Endpoint{Name: name, Address: "10.0.0.1:1", Domain: "a", Pool: "p", Role: role, Model: "m"})
	}
	for i := range prefills {
		add(fmt.Sprint("p", i), config.Prefill)
	}
	for i := range decodes {
		add(fmt.Sprint("d", i), config.Decode)
	}
	return v.WithRoster(list.Roster())
}
