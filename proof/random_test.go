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

// steps is the number of faults that are injected in one random run.
var steps = flag.Int("proof.steps", 6, "faults in each random run")

// fixedSeed and fixedChecks make a default run of the random test the same every
// time. If -rapid.seed or -rapid.checks is given on the command line, neither applies.
const (
	fixedSeed   = "20261202"
	fixedChecks = "6"
)

func setRapidDefaults() {
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if !given["rapid.seed"] && !given["rapid.checks"] {
		flag.Set("rapid.seed", fixedSeed)
		flag.Set("rapid.checks", fixedChecks)
	}
}

// timedFault is a fault with a function that ends it.
type timedFault struct {
	name     string
	do, undo func(s *harness)
}

var zones = []string{"is-a", "is-b", "is-c", "platform"}

// drawFault draws a fault and the host, endpoint or zones that it affects.
func drawFault(rt *rapid.T) timedFault {
	host := rapid.IntRange(0, defaultHosts-1).Draw(rt, "host")
	a := rapid.IntRange(0, 2).Draw(rt, "zone")
	b := rapid.IntRange(a+1, 3).Draw(rt, "other zone")
	n := rapid.IntRange(1, 3).Draw(rt, "times")
	runner := rapid.SampledFrom([]string{"docket-prefill-1", "docket-prefill-4", "docket-decode-1", "docket-decode-3"}).Draw(rt, "runner")
	runnerFault := func(f fake.Faults) timedFault {
		return timedFault{fmt.Sprintf("%s %+v", runner, f), func(s *harness) { s.Runners[runner].SetFaults(f) },
			func(s *harness) { s.Runners[runner].SetFaults(fake.Faults{}) }}
	}
	return rapid.SampledFrom([]timedFault{
		{fmt.Sprintf("cut %s from %s", zones[a], zones[b]), func(s *harness) { s.net.Cut(zones[a], zones[b], true) },
			func(s *harness) { s.net.Cut(zones[a], zones[b], false) }},
		{fmt.Sprintf("kill host %d", host), func(s *harness) { s.killIfUp(host) }, func(s *harness) { s.restartIfDown(host) }},
		{"platform down", func(s *harness) { s.Platform.SetDown(true) }, func(s *harness) { s.Platform.SetDown(false) }},
		{"platform stale", func(s *harness) { s.Platform.SetStale(1) }, func(s *harness) { s.Platform.SetStale(0) }},
		{"two operators publish", func(s *harness) { s.publish(setWeight(n)); s.publish(setWeight(n + 1)) }, func(*harness) {}},
		{"an operator publishes nonsense", func(s *harness) { s.Platform.Publish([]byte(`{"models": 1}`)) }, func(s *harness) { s.publish(nil) }},
		{"a new version", func(s *harness) {
			s.publish(func(d *config.Document) { d.Models[0].Version = fmt.Sprintf("r%d", n) })
		}, func(*harness) {}},
		runnerFault(fake.Faults{CutBefore: n}),
		runnerFault(fake.Faults{CutAfter: n}),
		runnerFault(fake.Faults{RefuseShare: 0.5}),
		runnerFault(fake.Faults{RefuseUnconfirmed: n}),
		runnerFault(fake.Faults{BreakStreams: n, BreakAfter: n, CleanBreak: n == 2}),
		runnerFault(fake.Faults{CrossAnswers: n}),
		runnerFault(fake.Faults{StallTransfers: n}),
		runnerFault(fake.Faults{LoseCancels: true, BreakStreams: n}),
		runnerFault(fake.Faults{DelayMillis: 300 * n}),
		runnerFault(fake.Faults{Slow: 3}),
		runnerFault(fake.Faults{Leaving: true}),
		runnerFault(fake.Faults{DropOrders: n, IgnoreFences: true}),
	}).Draw(rt, "event")
}

// killIfUp kills a host unless it is down already.
func (s *harness) killIfUp(i int) {
	if s.down == nil {
		s.down = map[int]bool{}
	}
	if !s.down[i] {
		s.down[i] = true
		s.kill(i)
	}
}

// restartIfDown restarts a host that killIfUp killed.
func (s *harness) restartIfDown(i int) {
	if s.down[i] {
		s.down[i] = false
		if err := s.Restart(i); err != nil {
			s.fail(err.Error())
		}
	}
}

// TestRandom mixes kills, network cuts, outages, racing operators and faulty engines,
// up to three at a time and some of them repeatedly, and checks every promise to callers.
// A longer run:
//
//	go test ./proof -run TestRandom -rapid.checks 500 -proof.steps 12 -timeout 2h
func TestRandom(t *testing.T) {
	setRapidDefaults()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<32).Draw(rt, "seed")
		var faults []timedFault
		var gaps []time.Duration
		for range *steps {
			faults = append(faults, drawFault(rt))
			gaps = append(gaps, time.Duration(rapid.IntRange(0, 1500).Draw(rt, "gap"))*time.Millisecond)
		}
		span := defaultSpan + time.Duration(*steps)*500*time.Millisecond
		p := runScenario(t, options{seed: seed, span: span}, func(s *harness) {
			for i, e := range faults {
				time.Sleep(gaps[i])
				e.do(s)
				if i > 1 {
					faults[i-2].undo(s) // up to three overlap
				}
			}
			time.Sleep(2 * time.Second)
			for _, e := range faults {
				e.undo(s)
			}
		})
		if len(p.violations) > 0 {
			for _, e := range faults {
				rt.Log(e.name)
			}
			rt.Fatalf("%d violations, first: %s", len(p.violations), p.violations[0])
		}
	})
}
