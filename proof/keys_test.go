package proof

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/result"
)

// duplicate sends each arrival twice under one idempotency key, the second time up to
// 4 s later and at another host, as a caller does that lost its answer.
func duplicate(as []load.Arrival) []load.Arrival {
	r := rand.New(rand.NewPCG(1, 1))
	var out []load.Arrival
	for i, a := range as {
		a.Key = fmt.Sprintf("k%d", i)
		a.LeaveAfter = 0
		b := a
		b.At += time.Duration(r.IntN(4000)) * time.Millisecond
		b.Host++
		out = append(out, a, b)
	}
	return out
}

// TestKeys sends every request twice under one idempotency key. No key may be answered
// twice, whatever happens to the hosts that hold the key's record.
func TestKeys(t *testing.T) {
	cases := []struct {
		name   string
		inject func(s *harness)
	}{
		{"no fault", func(*harness) {}},
		{"a holder killed", func(s *harness) { time.Sleep(2 * time.Second); s.kill(0) }},
		{"a holder killed and restarted", func(s *harness) {
			time.Sleep(2 * time.Second)
			s.kill(4)
			time.Sleep(time.Second)
			if err := s.Restart(4); err != nil {
				s.fail(err.Error())
			}
		}},
		{"a holder stopped as planned", func(s *harness) {
			time.Sleep(2 * time.Second)
			s.mu.Lock()
			s.stopped[2] = true
			s.mu.Unlock()
			s.Nodes[2].Drain()
		}},
		{"domains cut apart", func(s *harness) {
			time.Sleep(2 * time.Second)
			s.net.Cut("is-a", "is-b", true)
			s.net.Cut("is-a", "is-c", true)
			time.Sleep(3 * time.Second)
			s.net.Cut("is-a", "is-b", false)
			s.net.Cut("is-a", "is-c", false)
		}},
		{"streams die", func(s *harness) {
			for range 6 {
				time.Sleep(time.Second)
				s.setFaults(fake.Faults{BreakStreams: 2, BreakAfter: 2, CutAfter: 1})
			}
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var all []load.Arrival
			p := runScenario(t, options{seed: uint64(400 + i), rate: 9, edit: func(as *[]load.Arrival) {
				*as = duplicate(*as)
				sortByTime(*as)
				all = *as
			}}, func(s *harness) {
				tc.inject(s)
			})
			p.report(t)
			answered := map[string]int{}
			for i, r := range p.results {
				if r.Code == result.OK {
					answered[all[i].Key]++
				}
			}
			for k, n := range answered {
				if n > 1 {
					t.Errorf("key %s was answered %d times", k, n)
				}
			}
		})
	}
}

// TestOldKeys sends keys that were first used before any host became their holder. No host
// can tell whether the requests under them ran, so none may run them again.
func TestOldKeys(t *testing.T) {
	p := runScenario(t, options{seed: 450, rate: 5, span: 3 * time.Second, edit: func(as *[]load.Arrival) {
		for i := range *as {
			a := &(*as)[i]
			a.Key, a.KeyAge, a.LeaveAfter = fmt.Sprintf("old%d", i), time.Hour, 0
		}
	}}, func(*harness) {})
	for _, b := range p.violations {
		t.Error(b)
	}
	if p.codes[result.OutcomeUnknown] != p.sent || p.sent == 0 {
		t.Errorf("codes %v of %d, want %s for all", p.codes, p.sent, result.OutcomeUnknown)
	}
}
