package proof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
)

// inForce is the time within which a revision has to be in force everywhere.
const inForce = 5 * time.Second

// everywhere fails the scene unless every host but those left out has the
// revision in force in time.
func (s *scene) everywhere(rev uint64, without ...int) {
	deadline := time.Now().Add(inForce)
	for {
		behind := ""
		for i, n := range s.Nodes {
			if got := n.Board.Config.Revision(); got != rev && !slices.Contains(without, i) {
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

func (s *scene) publish(f func(d *config.Document)) uint64 {
	rev, err := s.Publish(f)
	if err != nil {
		s.fail(err.Error())
	}
	return rev
}

func weigh(w int) func(d *config.Document) {
	return func(d *config.Document) { d.Teams[0].Weight = w }
}

// TestRevisions publishes under failures: an accepted revision is in force
// everywhere within seconds and never falls. That it never falls is an
// invariant of the program and fatal here.
func TestRevisions(t *testing.T) {
	cases := []struct {
		name string
		f    func(s *scene)
	}{
		{"one after the other", func(s *scene) {
			for w := range 10 {
				s.publish(weigh(w + 1))
			}
			s.everywhere(11)
		}},
		{"two operators at once", func(s *scene) {
			done := make(chan uint64, 2)
			for w := range 2 {
				go func() { done <- s.Platform.Publish(mustJSON(s, weigh(50+w))) }()
			}
			s.everywhere(max(<-done, <-done))
		}},
		{"an invalid revision stays out, the next is taken", func(s *scene) {
			s.Platform.Publish([]byte(`{"endpoints": 3}`))
			time.Sleep(time.Second)
			s.everywhere(1)
			rev := s.publish(weigh(7))
			s.everywhere(rev)
		}},
		{"a stale replica answers", func(s *scene) {
			s.everywhere(s.publish(weigh(3)))
			s.Platform.SetStale(1)
			time.Sleep(3 * time.Second)
			s.everywhere(2)
			s.Platform.SetStale(0)
			s.everywhere(s.publish(weigh(4)))
		}},
		{"platform reached by one domain only", func(s *scene) {
			s.net.Cut("is-b", "platform", true)
			s.net.Cut("is-c", "platform", true)
			s.everywhere(s.publish(weigh(5)))
		}},
		{"a host restarted while the platform is down", func(s *scene) {
			rev := s.publish(weigh(6))
			s.everywhere(rev)
			s.Platform.SetDown(true)
			s.kill(3)
			time.Sleep(500 * time.Millisecond)
			if err := s.Restart(3); err != nil {
				s.fail(err.Error())
			}
			s.everywhere(rev)
		}},
		{"a host restarted while the platform is stale", func(s *scene) {
			rev := s.publish(weigh(8))
			s.everywhere(rev)
			s.Platform.SetStale(1)
			s.kill(3)
			if err := s.Restart(3); err != nil {
				s.fail(err.Error())
			}
			s.everywhere(rev)
		}},
		{"a domain cut off from all learns it after the cut", func(s *scene) {
			for _, z := range []string{"is-b", "is-c", "platform"} {
				s.net.Cut("is-a", z, true)
			}
			rev := s.publish(weigh(9))
			s.everywhere(rev, 0, 3)
			for _, z := range []string{"is-b", "is-c", "platform"} {
				s.net.Cut("is-a", z, false)
			}
			time.Sleep(2 * time.Second) // connections that hung are given up
			s.everywhere(rev)
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			play(t, options{seed: uint64(100 + i), rate: 8, span: 6 * time.Second}, tc.f).report(t)
		})
	}
}

func mustJSON(s *scene, f func(d *config.Document)) []byte {
	src, err := s.JSON(f)
	if err != nil {
		s.fail(err.Error())
	}
	return src
}

// TestOrders publishes a new model version under load: every runner comes to
// it, fenced or not, with orders lost on the way, and stays there when an
// order of an old revision comes late.
func TestOrders(t *testing.T) {
	play(t, options{seed: 7, rate: 8, span: 8 * time.Second}, func(s *scene) {
		s.faults(fake.Faults{DropOrders: 1})
		s.everywhere(s.publish(func(d *config.Document) { d.Models[0].Version = "v5" }))
		s.versions("v5")
		late := s.Runners["docket-decode-2"] // checks no fences
		late.SetFaults(fake.Faults{WrongState: "v4"})
		time.Sleep(time.Second)
		late.SetFaults(fake.Faults{})
		s.versions("v5")
	}).report(t)
}

// versions fails the scene unless every runner has the version in time.
func (s *scene) versions(want string) {
	deadline := time.Now().Add(inForce)
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
