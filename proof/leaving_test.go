package proof

import (
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
)

// leavingGrace is the time within which a leaving endpoint must stop getting new work.
const leavingGrace = 3 * time.Second

// TestLeaving has endpoints leave, by the configuration or by their own report, while
// the platform or hosts are down or a failure domain is cut off. Hosts must learn of it
// and send those endpoints no new work after leavingGrace.
func TestLeaving(t *testing.T) {
	reportLeaving := func(s *harness, names ...string) {
		for _, n := range names {
			if r := s.Runners[n]; r != nil {
				r.SetFaults(fake.Faults{Leaving: true})
			} else {
				s.Apps[n].SetFaults(fake.Faults{Leaving: true})
			}
		}
	}
	cases := []struct {
		name      string
		endpoints []string
		inject    func(s *harness, endpoints []string)
	}{
		{"by its own report", []string{"docket-decode-3", "docket-prefill-1", "listings-2"}, func(s *harness, endpoints []string) { reportLeaving(s, endpoints...) }},
		{"by its own report, platform down", []string{"docket-decode-1"}, func(s *harness, endpoints []string) {
			s.Platform.SetDown(true)
			reportLeaving(s, endpoints...)
		}},
		{"by the configuration", []string{"docket-prefill-2", "docket-decode-2"}, func(s *harness, endpoints []string) {
			s.publish(func(d *config.Document) {
				for i := range d.Endpoints {
					e := &d.Endpoints[i]
					e.Leaving = e.Name == endpoints[0] || e.Name == endpoints[1]
				}
			})
		}},
		{"by its own report, its hosts killed", []string{"docket-decode-3"}, func(s *harness, endpoints []string) {
			reportLeaving(s, endpoints...)
			s.kill(1) // one of the two hosts of is-b
		}},
		{"by the configuration, its domain cut off from the others", []string{"docket-decode-3"}, func(s *harness, endpoints []string) {
			s.net.Cut("is-b", "is-a", true)
			s.net.Cut("is-b", "is-c", true)
			s.publish(func(d *config.Document) {
				for i := range d.Endpoints {
					d.Endpoints[i].Leaving = d.Endpoints[i].Name == endpoints[0]
				}
			})
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runScenario(t, options{seed: uint64(200 + i)}, func(s *harness) {
				time.Sleep(2 * time.Second)
				tc.inject(s, tc.endpoints)
				limit := time.Now().Add(leavingGrace).UnixMilli()
				time.Sleep(6 * time.Second)
				for _, name := range tc.endpoints {
					for _, rec := range s.recordsOf(name) {
						if rec.StartedMS > limit {
							s.fail(name + " got new work after it was leaving: " + rec.ID)
						}
					}
				}
			}).report(t)
		})
	}
}

// recordsOf returns what an endpoint itself recorded of its calls.
func (s *harness) recordsOf(name string) []fake.Record {
	if r := s.Runners[name]; r != nil {
		return r.Records()
	}
	return s.Apps[name].Records()
}

// TestRollingRestart drains and restarts the hosts one after the other under load.
// Draining must wait for the requests in progress: none may be cut off.
func TestRollingRestart(t *testing.T) {
	p := runScenario(t, options{seed: 300, span: 24 * time.Second}, func(s *harness) {
		for i, n := range s.Nodes {
			if left := n.Drain(); left > 0 {
				s.fail("requests were cut off")
			}
			if err := s.Restart(i); err != nil {
				s.fail(err.Error())
			}
		}
	})
	// A host refuses connections between its stop and its start. A load balancer
	// would avoid it, the test's sender doesn't, so these failures don't count.
	kept := p.violations[:0]
	for _, b := range p.violations {
		if !isRefusedConnection(b) {
			kept = append(kept, b)
		}
	}
	p.violations = kept
	p.report(t)
}
