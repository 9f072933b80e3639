package proof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
)

// inForceBound is the time within which a revision must be in force on every host.
const inForceBound = 5 * time.Second

// expectInForce reports a violation unless the revision is in force on every host,
// apart from the exceptions, within inForceBound.
func (s *harness) expectInForce(rev uint64, except ...int) {
	deadline := time.Now().Add(inForceBound)
	for {
		behind := ""
		for i, n := range s.Nodes {
			if got := n.Board.Config.Revision(); got != rev && !slices.Contains(except, i) {
				behind += fmt.Sprintf(" host %d has %d", i, got)
			}
		}
		if behind == "" {
			return
		}
		if time.Now().After(deadline) {
			s.fail(fmt.Sprintf("revision %d is not in force everywhere:%s", rev, behind))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *harness) publish(f func(d *config.Document)) uint64 {
	rev, err := s.Publish(f)
	if err != nil {
		s.fail(err.Error())
	}
	return rev
}

func setWeight(w int) func(d *config.Document) {
	return func(d *config.Document) { d.Teams[0].Weight = w }
}

// TestRevisions publishes configurations under faults: every host has to apply an
// accepted revision within seconds and must never go back to an earlier one. The
// latter is an invariant that the program checks itself; here a violation fails the
// test.
func TestRevisions(t *testing.T) {
	cases := []struct {
		name string
		run  func(s *harness)
	}{
		{"one after the other", func(s *harness) {
			for w := range 10 {
				s.publish(setWeight(w + 1))
			}
			s.expectInForce(11)
		}},
		{"two operators at once", func(s *harness) {
			done := make(chan uint64, 2)
			for w := range 2 {
				go func() { done <- s.Platform.Publish(documentJSON(s, setWeight(50+w))) }()
			}
			s.expectInForce(max(<-done, <-done))
		}},
		{"an invalid revision stays out, the next is taken", func(s *harness) {
			s.Platform.Publish([]byte(`{"endpoints": 3}`))
			time.Sleep(time.Second)
			s.expectInForce(1)
			rev := s.publish(setWeight(7))
			s.expectInForce(rev)
		}},
		{"a stale replica answers", func(s *harness) {
			s.expectInForce(s.publish(setWeight(3)))
			s.Platform.SetStale(1)
			time.Sleep(3 * time.Second)
			s.expectInForce(2)
			s.Platform.SetStale(0)
			s.expectInForce(s.publish(setWeight(4)))
		}},
		{"platform reached by one domain only", func(s *harness) {
			s.net.Cut("is-b", "platform", true)
			s.net.Cut("is-c", "platform", true)
			s.expectInForce(s.publish(setWeight(5)))
		}},
		{"a host restarted while the platform is down", func(s *harness) {
			rev := s.publish(setWeight(6))
			s.expectInForce(rev)
			s.Platform.SetDown(true)
			s.kill(3)
			time.Sleep(500 * time.Millisecond)
			if err := s.Restart(3); err != nil {
				s.fail(err.Error())
			}
			s.expectInForce(rev)
		}},
		{"a host restarted while the platform is stale", func(s *harness) {
			rev := s.publish(setWeight(8))
			s.expectInForce(rev)
			s.Platform.SetStale(1)
			s.kill(3)
			if err := s.Restart(3); err != nil {
				s.fail(err.Error())
			}
			s.expectInForce(rev)
		}},
		{"a domain cut off from all learns it after the cut", func(s *harness) {
			for _, z := range []string{"is-b", "is-c", "platform"} {
				s.net.Cut("is-a", z, true)
			}
			rev := s.publish(setWeight(9))
			s.expectInForce(rev, 0, 3)
			for _, z := range []string{"is-b", "is-c", "platform"} {
				s.net.Cut("is-a", z, false)
			}
			time.Sleep(2 * time.Second) // until connections that hung have timed out
			s.expectInForce(rev)
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runScenario(t, options{seed: uint64(100 + i), rate: 8, span: 6 * time.Second}, tc.run).report(t)
		})
	}
}

func documentJSON(s *harness, f func(d *config.Document)) []byte {
	src, err := s.DocumentJSON(f)
	if err != nil {
		s.fail(err.Error())
	}
	return src
}

// TestOrders publishes a new model version under load. Every runner must reach it, whether
// or not it checks fences and although its first order is lost, and must have it after a
// runner that checks no fences reported an old version for a second, as it does when an
// order of an old revision comes late.
func TestOrders(t *testing.T) {
	runScenario(t, options{seed: 7, rate: 8, span: 8 * time.Second}, func(s *harness) {
		s.setFaults(fake.Faults{DropOrders: 1})
		s.expectInForce(s.publish(func(d *config.Document) { d.Models[0].Version = "v5" }))
		s.expectVersions("v5")
		late := s.Runners["docket-decode-2"] // checks no fences
		late.SetFaults(fake.Faults{WrongVersion: "v4"})
		time.Sleep(time.Second)
		late.SetFaults(fake.Faults{})
		s.expectVersions("v5")
	}).report(t)
}

// expectVersions reports a violation unless every runner has the version within inForceBound.
func (s *harness) expectVersions(want string) {
	deadline := time.Now().Add(inForceBound)
	for name, r := range s.Runners {
		for r.Version() != want {
			if time.Now().After(deadline) {
				s.fail(name + " is at version " + r.Version())
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
