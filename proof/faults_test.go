package proof

import (
	"testing"
	"time"

	"github.com/embercove/embercove/internal/fake"
)

// TestFaults injects one kind of fault at a time into a deployment under load and checks
// every promise to callers afterwards.
func TestFaults(t *testing.T) {
	pause := func(d time.Duration) { time.Sleep(d) }
	// repeatedly sets f once a second, as faults that apply to a number of calls get used up.
	repeatedly := func(f fake.Faults) func(*harness) {
		return func(s *harness) {
			for range 5 {
				pause(time.Second)
				s.setFaults(f)
			}
			pause(time.Second)
			s.setFaults(fake.Faults{})
		}
	}
	cases := []struct {
		name   string
		inject func(s *harness)
	}{
		{"none", func(*harness) {}},
		{"connections cut before the work", repeatedly(fake.Faults{CutBefore: 2})},
		{"connections cut after the work", repeatedly(fake.Faults{CutAfter: 2})},
		{"refused as not run", repeatedly(fake.Faults{RefuseShare: 0.3})},
		{"refused without vouching", repeatedly(fake.Faults{RefuseUnconfirmed: 2})},
		{"streams die after 3 tokens", repeatedly(fake.Faults{BreakStreams: 2, BreakAfter: 3})},
		{"streams die, resumed ones begin anew", repeatedly(fake.Faults{BreakStreams: 2, BreakAfter: 3, IgnoreResume: true})},
		{"streams end early but cleanly", repeatedly(fake.Faults{BreakStreams: 2, BreakAfter: 2, CleanBreak: true})},
		{"answers crossed", repeatedly(fake.Faults{CrossAnswers: 3})},
		{"answers late", repeatedly(fake.Faults{DelayMillis: 400})},
		{"transfers stall", repeatedly(fake.Faults{StallTransfers: 2})},
		{"cancels lost", repeatedly(fake.Faults{LoseCancels: true})},
		{"cancels lost and streams die", repeatedly(fake.Faults{LoseCancels: true, BreakStreams: 2, BreakAfter: 1})},
		{"engines slow", repeatedly(fake.Faults{Slow: 4})},
		{"reports lag by 2 s", repeatedly(fake.Faults{LagMillis: 2000})},
		{"cache events lost", repeatedly(fake.Faults{LoseEvents: 0.5})},
		{"a host killed", func(s *harness) { pause(2 * time.Second); s.kill(0) }},
		{"a host killed while cancels are lost", func(s *harness) {
			pause(2 * time.Second)
			s.setFaults(fake.Faults{LoseCancels: true})
			s.kill(0)
			pause(500 * time.Millisecond)
			s.setFaults(fake.Faults{})
		}},
		{"two hosts of a domain killed", func(s *harness) { pause(2 * time.Second); s.kill(1); s.kill(4) }},
		{"a host killed and restarted", func(s *harness) {
			pause(2 * time.Second)
			s.kill(2)
			pause(time.Second)
			if err := s.Restart(2); err != nil {
				s.fail(err.Error())
			}
		}},
		{"domains cut apart", func(s *harness) {
			pause(2 * time.Second)
			s.net.Cut("is-a", "is-b", true)
			s.net.Cut("is-a", "is-c", true)
			pause(4 * time.Second)
			s.net.Cut("is-a", "is-b", false)
			s.net.Cut("is-a", "is-c", false)
		}},
		{"every domain cut off from all, and the platform", func(s *harness) {
			cut := func(on bool) {
				for _, p := range [][2]string{{"is-a", "is-b"}, {"is-a", "is-c"}, {"is-b", "is-c"}, {"is-a", "platform"}, {"is-b", "platform"}, {"is-c", "platform"}} {
					s.net.Cut(p[0], p[1], on)
				}
			}
			pause(2 * time.Second)
			cut(true)
			pause(5 * time.Second)
			cut(false)
		}},
		{"platform down", func(s *harness) { pause(time.Second); s.Platform.SetDown(true) }},
		{"a cut and a killed host, twice", func(s *harness) {
			for i := range 2 {
				pause(1500 * time.Millisecond)
				s.net.Cut("is-b", "is-c", true)
				s.kill(i)
				pause(1500 * time.Millisecond)
				s.net.Cut("is-b", "is-c", false)
				if err := s.Restart(i); err != nil {
					s.fail(err.Error())
				}
			}
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runScenario(t, options{seed: uint64(i + 1)}, tc.inject).report(t)
		})
	}
}
