package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Strategies for keeping to the limit that an endpoint names, compared on the model of TestWays
// with five times as many requests as the endpoint takes. What a host may do that reaches no owner
// is part of a strategy.

// limitStrategies returns the strategies for a limit; the package implements the first one.
func limitStrategies(limit float64) []strategy {
	evenShare := func(f *fleet) float64 { return 1 / float64(len(f.hosts)) }
	byOwner := func(voted bool, alone func(f *fleet, i int, at time.Duration) (time.Duration, bool)) func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
		return func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			o, voteShare := f.owner(i, at), 1.0
			if o != i {
				f.messages += 2
			}
			if !f.reaches(i, o, at) || f.owner(o, at) != o {
				return alone(f, i, at)
			}
			if voted {
				voteShare = f.hosts[o].granted.Share(epoch.Add(at))
			}
			return f.hosts[o].bucket.Acquire(epoch.Add(at), LimitParams(limit, voteShare), MaxWait)
		}
	}
	isolated := func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
		in, given := f.hosts[i].isolated.Acquire(epoch.Add(at), limit, evenShare(f))
		return 0 * in, given
	}
	nothing := func(*fleet, int, time.Duration) (time.Duration, bool) { return 0, false }
	all := func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
		return f.hosts[i].bucket.Acquire(epoch.Add(at), LimitParams(limit, 1), MaxWait)
	}
	none := func(*fleet, int, time.Duration) {}
	return []strategy{
		{"owner with votes, isolated hosts half of an even share", voteRounds(false), byOwner(true, isolated)},
		{"the same, votes bind as for cold endpoints", voteRounds(true), byOwner(true, isolated)},
		{"owner with votes, isolated hosts nothing", voteRounds(false), byOwner(true, nothing)},
		{"owner without votes, isolated hosts half of an even share", none, byOwner(false, isolated)},
		{"each host its even share", none, func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			return f.hosts[i].bucket.Acquire(epoch.Add(at), BucketParams{1, limit * evenShare(f)}, MaxWait)
		}},
		{"each host the limit", none, all},
	}
}

// simulateLimit simulates a scenario with a strategy. It returns the largest number of requests in a
// window, and the part of the limit that was used.
func simulateLimit(l *scenario, w strategy, limit float64, hosts int, oneHost bool) (f *fleet, maxCount int, utilization float64) {
	f = &fleet{load: l}
	rng := rand.New(rand.NewPCG(1, 2))
	for range hosts {
		f.hosts = append(f.hosts, &modelHost{votes: NewVotes(epoch.Add(-time.Hour)), incarnation: 1, isolated: IsolatedLimiter{Phase: rng.Float64()},
			unreachableSince: make([]time.Duration, (hosts+modelDomains-1)/modelDomains)})
	}
	for at := time.Duration(0); at < modelTime; at += modelStep {
		if at%modelUpdate == 0 {
			f.tick(at)
		}
		if at%modelRound == 0 {
			for i := range f.hosts {
				if !l.dead(i, at) {
					w.round(f, i, at)
				}
			}
		}
		for range int(5*limit*modelStep.Seconds() + rng.Float64()) {
			i := rng.IntN(hosts)
			if oneHost {
				i = hosts - 1
			}
			if l.dead(i, at) {
				continue
			}
			late := time.Duration(rng.Int64N(int64(Lag)))
			if in, ok := w.acquire(f, i, at); ok {
				f.used = append(f.used, at+in+late)
			}
		}
	}
	slices.Sort(f.used)
	return f, maxWithin(f.used, limitWindow), float64(len(f.used)) / limit / modelTime.Seconds()
}

// TestLimitWays checks that the implemented strategy keeps to a limit and uses it in the calm case,
// and stays below one and a half times the limit plus five whatever happens. With -v it prints the
// figures of the other strategies.
func TestLimitWays(t *testing.T) {
	for _, hosts := range []int{8, 60, 300} {
		for _, limit := range []float64{0.5, 5.7, 200} {
			for _, l := range scenarios() {
				calm := l.name == "five times the capacity"
				if l.name == "calm" || l.name == "a burst" {
					continue // these differ only in the load
				}
				for k, w := range limitStrategies(limit) {
					if k > 0 && !testing.Verbose() {
						break
					}
					f, maxCount, utilization := simulateLimit(&l, w, limit, hosts, false)
					t.Logf("%d hosts, %v a second, %s, %s: %d in the busiest window, %.2f used, %d messages", hosts, limit, l.name, w.name, maxCount, utilization, f.messages)
					if k > 0 {
						continue
					}
					allowed, minUsed := 1.5*limit*limitWindow.Seconds()+5, 0.0
					if calm {
						allowed, minUsed = 1.1*limit*limitWindow.Seconds()+1, 0.9
					}
					if float64(maxCount) > allowed || utilization < minUsed {
						t.Errorf("%d hosts, %v a second, %s: %d in a window, %.1f allowed; %.2f used, want %.2f", hosts, limit, l.name, maxCount, allowed, utilization, minUsed)
					}
				}
			}
			l := scenarios()[2]
			if _, maxCount, utilization := simulateLimit(&l, limitStrategies(limit)[0], limit, hosts, true); float64(maxCount) > 1.1*limit*limitWindow.Seconds()+1 || utilization < 0.9 {
				t.Errorf("%d hosts, %v a second, all callers at one: %d in a window, %.2f used", hosts, limit, maxCount, utilization)
			}
		}
	}
}
