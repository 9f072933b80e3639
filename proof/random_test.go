package proof

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
)

// steps is how many faults befall a deployment in one random run.
var steps = flag.Int("proof.steps", 6, "faults in each random run")

// fixedSeed and fixedChecks make the ordinary run of the random test the same
// every time; -rapid.seed and -rapid.checks given on the command line go
// before them.
const (
	fixedSeed   = "20261202"
	fixedChecks = "6"
)

func presets() {
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if !given["rapid.seed"] && !given["rapid.checks"] {
		flag.Set("rapid.seed", fixedSeed)
		flag.Set("rapid.checks", fixedChecks)
	}
}

// event is one fault, and what ends it.
type event struct {
	name     string
	do, undo func(s *scene)
}

var zones = []string{"is-a", "is-b", "is-c", "platform"}

// draw picks an event.
func draw(rt *rapid.T) event {
	host := rapid.IntRange(0, sceneHosts-1).Draw(rt, "host")
	a := rapid.IntRange(0, 2).Draw(rt, "zone")
	b := rapid.IntRange(a+1, 3).Draw(rt, "other zone")
	n := rapid.IntRange(1, 3).Draw(rt, "times")
	runner := rapid.SampledFrom([]string{"docket-prefill-1", "docket-prefill-4", "docket-decode-1", "docket-decode-3"}).Draw(rt, "runner")
	one := func(f fake.Faults) event {
		return event{fmt.Sprintf("%s %+v", runner, f), func(s *scene) { s.Runners[runner].SetFaults(f) },
			func(s *scene) { s.Runners[runner].SetFaults(fake.Faults{}) }}
	}
	return rapid.SampledFrom([]event{
		{fmt.Sprintf("cut %s from %s", zones[a], zones[b]), func(s *scene) { s.net.Cut(zones[a], zones[b], true) },
			func(s *scene) { s.net.Cut(zones[a], zones[b], false) }},
		{fmt.Sprintf("kill host %d", host), func(s *scene) { s.killOnce(host) }, func(s *scene) { s.revive(host) }},
		{"platform down", func(s *scene) { s.Platform.SetDown(true) }, func(s *scene) { s.Platform.SetDown(false) }},
		{"platform stale", func(s *scene) { s.Platform.SetStale(1) }, func(s *scene) { s.Platform.SetStale(0) }},
		{"two operators publish", func(s *scene) { s.publish(weigh(n)); s.publish(weigh(n + 1)) }, func(*scene) {}},
		{"an operator publishes nonsense", func(s *scene) { s.Platform.Publish([]byte(`{"models": 1}`)) }, func(s *scene) { s.publish(nil) }},
		{"a new version", func(s *scene) {
			s.publish(func(d *config.Document) { d.Models[0].Version = fmt.Sprintf("r%d", n) })
		}, func(*scene) {}},
		one(fake.Faults{CutBefore: n}),
		one(fake.Faults{CutAfter: n}),
		one(fake.Faults{RefuseShare: 0.5}),
		one(fake.Faults{RefuseUnvouch: n}),
		one(fake.Faults{BreakStreams: n, BreakAfter: n, CleanBreak: n == 2}),
		one(fake.Faults{CrossAnswers: n}),
		one(fake.Faults{StallTransfers: n}),
		one(fake.Faults{LoseCancels: true, BreakStreams: n}),
		one(fake.Faults{LateMillis: 300 * n}),
		one(fake.Faults{Slow: 3}),
		one(fake.Faults{Leaving: true}),
		one(fake.Faults{DropOrders: n, IgnoreFences: true}),
	}).Draw(rt, "event")
}

// killOnce kills a host unless it is down already.
func (s *scene) killOnce(i int) {
	if s.down == nil {
		s.down = map[int]bool{}
	}
	if !s.down[i] {
		s.down[i] = true
		s.kill(i)
	}
}

func (s *scene) revive(i int) {
	if s.down[i] {
		s.down[i] = false
		if err := s.Restart(i); err != nil {
			s.fail(err.Error())
		}
	}
}

// TestRandom mixes kills, cuts, outages, races of operators and faulty
// engines, together and twice, and judges every promise. To run it longer:
//
//	go test ./proof -run TestRandom -rapid.checks 500 -proof.steps 12 -timeout 2h
func TestRandom(t *testing.T) {
	presets()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<32).Draw(rt, "seed")
		var events []event
		var gaps []time.Duration
		for range *steps {
			events = append(events, draw(rt))
			gaps = append(gaps, time.Duration(rapid.IntRange(0, 1500).Draw(rt, "gap"))*time.Millisecond)
		}
		span := sceneSpan + time.Duration(*steps)*500*time.Millisecond
		p := play(t, options{seed: seed, span: span}, func(s *scene) {
			for i, e := range events {
				time.Sleep(gaps[i])
				e.do(s)
				if i > 1 {
					events[i-2].undo(s) // up to three overlap
				}
			}
			time.Sleep(2 * time.Second)
			for _, e := range events {
				e.undo(s)
			}
		})
		if len(p.broken) > 0 {
			for _, e := range events {
				rt.Log(e.name)
			}
			rt.Fatalf("%d broken, first: %s", len(p.broken), p.broken[0])
		}
	})
}
