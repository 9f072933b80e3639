package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The ways to keep to the limit that an endpoint names that were weighed, on the model of
// TestWays, with five times as much asked as the endpoint takes. What each host may do that
// reaches no owner is a part of a way.

// limitWays are the ways for a limit; the first is the one that is kept.
func limitWays(limit float64) []way {
	even := func(f *fleet) float64 { return 1 / float64(len(f.hosts)) }
	byOwner := func(voted bool, alone func(f *fleet, i int, at time.Duration) (time.Duration, bool)) func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
		return func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			o, part := f.owner(i, at), 1.0
			if o != i {
				f.messages += 2
			}
			if !f.reaches(i, o, at) || f.owner(o, at) != o {
				return alone(f, i, at)
			}
			if voted {
				part = f.hosts[o].right.Part(begin.Add(at))
			}
			return f.hosts[o].pace.Ask(begin.Add(at), LimitTerms(limit, part), MostWait)
		}
	}
	lone := func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
		in, given := f.hosts[i].lone.Ask(begin.Add(at), limit, even(f))
		return 0 * in, given
	}
	nothing := func(*fleet, int, time.Duration) (time.Duration, bool) { return 0, false }
	all := func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
		return f.hosts[i].pace.Ask(begin.Add(at), LimitTerms(limit, 1), MostWait)
	}
	none := func(*fleet, int, time.Duration) {}
	return []way{
		{"owner with votes, alone half of an even part", rounds(false), byOwner(true, lone)},
		{"the same, votes kept as for cold ones", rounds(true), byOwner(true, lone)},
		{"owner with votes, alone nothing", rounds(false), byOwner(true, nothing)},
		{"owner without votes, alone half of an even part", none, byOwner(false, lone)},
		{"each host its even part", none, func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			return f.hosts[i].pace.Ask(begin.Add(at), Terms{1, limit * even(f)}, MostWait)
		}},
		{"each host the limit", none, all},
	}
}

// playLimit plays a load a way, and returns the most in a window and how much was used of what
// the endpoint takes.
func playLimit(l *wayLoad, w way, limit float64, hosts int, oneHost bool) (f *fleet, most int, used float64) {
	f = &fleet{load: l}
	rng := rand.New(rand.NewPCG(1, 2))
	for range hosts {
		f.hosts = append(f.hosts, &wayHost{votes: NewVotes(begin.Add(-time.Hour)), incarnation: 1, lone: Lone{Phase: rng.Float64()},
			apart: make([]time.Duration, (hosts+domains-1)/domains)})
	}
	for at := time.Duration(0); at < wayPlayed; at += wayStep {
		if at%wayLook == 0 {
			f.tick(at)
		}
		if at%wayRound == 0 {
			for i := range f.hosts {
				if !l.dead(i, at) {
					w.round(f, i, at)
				}
			}
		}
		for range int(5*limit*wayStep.Seconds() + rng.Float64()) {
			i := rng.IntN(hosts)
			if oneHost {
				i = hosts - 1
			}
			if l.dead(i, at) {
				continue
			}
			late := time.Duration(rng.Int64N(int64(Lag)))
			if in, ok := w.start(f, i, at); ok {
				f.used = append(f.used, at+in+late)
			}
		}
	}
	slices.Sort(f.used)
	return f, fullestIn(f.used, limitWindow), float64(len(f.used)) / limit / wayPlayed.Seconds()
}

// TestLimitWays checks that the way that was kept keeps to a limit where nothing happens and
// uses it, and stays below one and a half times it, and five, whatever happens; and prints what
// the others come to (-v).
func TestLimitWays(t *testing.T) {
	for _, hosts := range []int{8, 60, 300} {
		for _, limit := range []float64{0.5, 5.7, 200} {
			for _, l := range wayLoads() {
				calm := l.name == "five times what is borne"
				if l.name == "calm" || l.name == "a burst" {
					continue // these differ by what is asked alone
				}
				for k, w := range limitWays(limit) {
					if k > 0 && !testing.Verbose() {
						break
					}
					f, most, used := playLimit(&l, w, limit, hosts, false)
					t.Logf("%d hosts, %v a second, %s, %s: %d in the fullest window, %.2f used, %d messages", hosts, limit, l.name, w.name, most, used, f.messages)
					if k > 0 {
						continue
					}
					allowed, least := 1.5*limit*limitWindow.Seconds()+5, 0.0
					if calm {
						allowed, least = 1.1*limit*limitWindow.Seconds()+1, 0.9
					}
					if float64(most) > allowed || used < least {
						t.Errorf("%d hosts, %v a second, %s: %d in a window, %.1f allowed; %.2f used, want %.2f", hosts, limit, l.name, most, allowed, used, least)
					}
				}
			}
			l := wayLoads()[2]
			if _, most, used := playLimit(&l, limitWays(limit)[0], limit, hosts, true); float64(most) > 1.1*limit*limitWindow.Seconds()+1 || used < 0.9 {
				t.Errorf("%d hosts, %v a second, all callers at one: %d in a window, %.2f used", hosts, limit, most, used)
			}
		}
	}
}
