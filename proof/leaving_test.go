package proof

import (
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
)

// leavingGrace is the time after which a leaving endpoint gets no new work.
const leavingGrace = 3 * time.Second

// TestLeaving has endpoints leave, by the configuration or by their own
// report, while parts of the system are cut off or gone.
func TestLeaving(t *testing.T) {
	byReport := func(s *scene, names ...string) {
		for _, n := range names {
			if r := s.Runners[n]; r != nil {
				r.SetFaults(fake.Faults{Leaving: true})
			} else {
				s.Apps[n].SetFaults(fake.Faults{Leaving: true})
			}
		}
	}
	cases := []struct {
		name string
		who  []string
		f    func(s *scene, who []string)
	}{
		{"by its own report", []string{"docket-decode-3", "docket-prefill-1", "listings-2"}, func(s *scene, who []string) { byReport(s, who...) }},
		{"by its own report, platform down", []string{"docket-decode-1"}, func(s *scene, who []string) {
			s.Platform.SetDown(true)
			byReport(s, who...)
		}},
		{"by the configuration", []string{"docket-prefill-2", "docket-decode-2"}, func(s *scene, who []string) {
			s.publish(func(d *config.Document) {
				for i := range d.Endpoints {
					e := &d.Endpoints[i]
					e.Leaving = e.Name == who[0] || e.Name == who[1]
				}
			})
		}},
		{"by its own report, its hosts killed", []string{"docket-decode-3"}, func(s *scene, who []string) {
			byReport(s, who...)
			s.kill(1) // one of the two hosts of is-b
		}},
		{"by the configuration, its domain cut off from the others", []string{"docket-decode-3"}, func(s *scene, who []string) {
			s.net.Cut("is-b", "is-a", true)
			s.net.Cut("is-b", "is-c", true)
			s.publish(func(d *config.Document) {
				for i := range d.Endpoints {
					d.Endpoints[i].Leaving = d.Endpoints[i].Name == who[0]
				}
			})
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			play(t, options{seed: uint64(200 + i)}, func(s *scene) {
				time.Sleep(2 * time.Second)
				tc.f(s, tc.who)
				limit := time.Now().Add(leavingGrace).UnixMilli()
				time.Sleep(6 * time.Second)
				for _, name := range tc.who {
					for _, rec := range s.truthOf(name) {
						if rec.StartedMS > limit {
							s.fail(name + " got new work after it was leaving: " + rec.ID)
						}
					}
				}
			}).report(t)
		})
	}
}

func (s *scene) truthOf(name string) []fake.Record {
	if r := s.Runners[name]; r != nil {
		return r.Truth()
	}
	return s.Apps[name].Truth()
}

// TestRollingRestart stops every host as planned, one after the other, under
// load: no request in progress is cut off.
func TestRollingRestart(t *testing.T) {
	p := play(t, options{seed: 300, span: 24 * time.Second}, func(s *scene) {
		for i, n := range s.Nodes {
			if left := n.Drain(); left > 0 {
				s.fail("requests were cut off")
			}
			if err := s.Restart(i); err != nil {
				s.fail(err.Error())
			}
		}
	})
	// A host that is down between its stop and its start can't be reached;
	// the balancer knows that, the sender doesn't.
	kept := p.broken[:0]
	for _, b := range p.broken {
		if !isRefusedConnection(b) {
			kept = append(kept, b)
		}
	}
	p.broken = kept
	p.report(t)
}
