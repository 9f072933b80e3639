package proof

import (
	"testing"
	"time"

	"github.com/embercove/embercove/internal/fake"
)

// TestFaults strikes a loaded deployment with one kind of fault after the
// other; every promise is judged after each.
func TestFaults(t *testing.T) {
	pause := func(d time.Duration) { time.Sleep(d) }
	some := func(f fake.Faults) func(*scene) {
		return func(s *scene) {
			for range 5 {
				pause(time.Second)
				s.faults(f)
			}
			pause(time.Second)
			s.faults(fake.Faults{})
		}
	}
	cases := []struct {
		name string
		f    func(s *scene)
	}{
		{"none", func(*scene) {}},
		{"connections cut before the work", some(fake.Faults{CutBefore: 2})},
		{"connections cut after the work", some(fake.Faults{CutAfter: 2})},
		{"refused as not run", some(fake.Faults{RefuseShare: 0.3})},
		{"refused without vouching", some(fake.Faults{RefuseUnvouch: 2})},
		{"streams die after 3 tokens", some(fake.Faults{BreakStreams: 2, BreakAfter: 3})},
		{"streams die, resumed ones begin anew", some(fake.Faults{BreakStreams: 2, BreakAfter: 3, IgnoreResume: true})},
		{"streams end early but cleanly", some(fake.Faults{BreakStreams: 2, BreakAfter: 2, CleanBreak: true})},
		{"answers crossed", some(fake.Faults{CrossAnswers: 3})},
		{"answers late", some(fake.Faults{LateMillis: 400})},
		{"transfers stall", some(fake.Faults{StallTransfers: 2})},
		{"cancels lost", some(fake.Faults{LoseCancels: true})},
		{"cancels lost and streams die", some(fake.Faults{LoseCancels: true, BreakStreams: 2, BreakAfter: 1})},
		{"engines slow", some(fake.Faults{Slow: 4})},
		{"reports lag by 2 s", some(fake.Faults{LagMillis: 2000})},
		{"cache events lost", some(fake.Faults{LoseEvents: 0.5})},
		{"a host killed", func(s *scene) { pause(2 * time.Second); s.kill(0) }},
		{"a host killed while cancels are lost", func(s *scene) {
			pause(2 * time.Second)
			s.faults(fake.Faults{LoseCancels: true})
			s.kill(0)
			pause(500 * time.Millisecond)
			s.faults(fake.Faults{})
		}},
		{"two hosts of a domain killed", func(s *scene) { pause(2 * time.Second); s.kill(1); s.kill(4) }},
		{"a host killed and restarted", func(s *scene) {
			pause(2 * time.Second)
			s.kill(2)
			pause(time.Second)
			if err := s.Restart(2); err != nil {
				s.fail(err.Error())
			}
		}},
		{"domains cut apart", func(s *scene) {
			pause(2 * time.Second)
			s.net.Cut("is-a", "is-b", true)
			s.net.Cut("is-a", "is-c", true)
			pause(4 * time.Second)
			s.net.Cut("is-a", "is-b", false)
			s.net.Cut("is-a", "is-c", false)
		}},
		{"every domain cut off from all, and the platform", func(s *scene) {
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
		{"platform down", func(s *scene) { pause(time.Second); s.Platform.SetDown(true) }},
		{"a cut and a killed host, twice", func(s *scene) {
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
			play(t, options{seed: uint64(i + 1)}, tc.f).report(t)
		})
	}
}
