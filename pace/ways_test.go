package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Strategies for keeping below the bound of a cold endpoint, compared on a model of a fleet in
// steps of 10 ms. Each strategy gets the same arrivals.

const (
	modelStep      = 10 * time.Millisecond
	modelUpdate    = 50 * time.Millisecond // between updates of who is reachable
	modelTime      = 30 * time.Second
	modelRound     = 250 * time.Millisecond // between rounds of votes, and the time for which permits are lent
	modelGoneAfter = 5 * time.Second        // after which hosts that do not reach each other consider each other gone
	modelCapacity  = 21.0
	modelBound     = 36.5
	modelDomains   = 4 // the endpoint is in the first one
)

// scenario describes the requests for the endpoint and the faults of the hosts.
type scenario struct {
	name      string
	perSecond func(at time.Duration) float64    // requests a second, over all hosts
	group     func(i int, at time.Duration) int // hosts of one group reach each other
	dead      func(i int, at time.Duration) bool
	restarts  func(i int, at time.Duration) bool // restarts or wakes up at this step
	minServed float64                            // part of the capacity that the voting strategy must let in
}

func scenarios() []scenario {
	steady := func(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }
	within := func(at, from, to time.Duration) bool { return at >= from && at < to }
	base := scenario{perSecond: steady(100), group: func(int, time.Duration) int { return 0 }, minServed: 0.95,
		dead: func(int, time.Duration) bool { return false }, restarts: func(int, time.Duration) bool { return false }}
	with := func(name string, f func(l *scenario)) scenario {
		l := base
		l.name = name
		f(&l)
		return l
	}
	cut := func(f func(i int) int) func(i int, at time.Duration) int {
		return func(i int, at time.Duration) int {
			if within(at, 8*time.Second, 20*time.Second) {
				return f(i)
			}
			return 0
		}
	}
	return []scenario{
		with("calm", func(l *scenario) { l.perSecond = steady(15) }),
		with("a burst", func(l *scenario) {
			l.perSecond = func(at time.Duration) float64 {
				if within(at, 8*time.Second, 14*time.Second) {
					return 300
				}
				return 15
			}
		}),
		with("five times the capacity", func(*scenario) {}),
		with("the owner is killed", func(l *scenario) {
			l.dead, l.minServed = func(i int, at time.Duration) bool { return i == 0 && at >= 8*time.Second }, 0.8
		}),
		with("the owner is paused for 3 s", func(l *scenario) {
			l.dead = func(i int, at time.Duration) bool { return i == 0 && within(at, 8*time.Second, 11*time.Second) }
			l.restarts = func(i int, at time.Duration) bool { return i == 0 && at == 11*time.Second }
			l.minServed = 0.8
		}),
		with("the endpoint's domain is cut off", func(l *scenario) {
			l.group = cut(func(i int) int {
				if i%modelDomains == 0 {
					return 1
				}
				return 2
			})
		}),
		with("each domain is cut off", func(l *scenario) { l.group = cut(func(i int) int { return i % modelDomains }) }),
		with("a fifth of the hosts isolated", func(l *scenario) {
			l.minServed = 0.8
			l.group = cut(func(i int) int {
				if i/modelDomains%5 == 1 {
					return i + 1
				}
				return 0
			})
		}),
		with("the owner isolated", func(l *scenario) {
			l.minServed = 0.7
			l.group = cut(func(i int) int { return min(i, 1) })
		}),
		with("two halves of each domain", func(l *scenario) { l.group, l.minServed = cut(func(i int) int { return i / modelDomains % 2 }), 0.8 }),
		with("all killed and restarted", func(l *scenario) {
			l.dead = func(_ int, at time.Duration) bool { return within(at, 8*time.Second, 9*time.Second) }
			l.restarts = func(_ int, at time.Duration) bool { return at == 9*time.Second }
			l.minServed = 0.8
		}),
	}
}

// modelHost is a host of the model.
type modelHost struct {
	votes            *Votes
	granted          GrantedVotes
	bucket           Bucket
	isolated         IsolatedLimiter
	incarnation      uint64
	unreachableSince []time.Duration // since when each host of the endpoint's domain is unreachable; 0: it is reachable
	lent             int
	lentUntil        time.Duration
	requested        int // since the last loan
}

// fleet is the state of a simulated fleet.
type fleet struct {
	load     *scenario
	hosts    []*modelHost
	messages int
	used     []time.Duration
}

// reaches reports whether a host reaches another.
func (f *fleet) reaches(i, j int, at time.Duration) bool {
	return i == j || !f.load.dead(j, at) && f.load.group(i, at) == f.load.group(j, at)
}

// tick updates who considers whom gone.
func (f *fleet) tick(at time.Duration) {
	for i, h := range f.hosts {
		if f.load.restarts(i, at) {
			h.votes, h.granted, h.bucket, h.lent = NewVotes(epoch.Add(at)), GrantedVotes{}, Bucket{}, 0
			h.incarnation++
		}
		for k := range h.unreachableSince {
			if f.reaches(i, k*modelDomains, at) {
				h.unreachableSince[k] = 0
			} else if h.unreachableSince[k] == 0 {
				h.unreachableSince[k] = max(at, 1)
			}
		}
	}
}

// owner returns the host that a host asks for permits: the first of the endpoint's domain that it
// doesn't consider gone. A host considers itself the owner by the same rule.
func (f *fleet) owner(i int, at time.Duration) int {
	for k, since := range f.hosts[i].unreachableSince {
		if since == 0 || at-since < modelGoneAfter {
			return k * modelDomains
		}
	}
	return i
}

// requestPermit requests a permit from a host.
func (f *fleet) requestPermit(i int, at time.Duration, share float64) (time.Duration, bool) {
	return f.hosts[i].bucket.Acquire(epoch.Add(at), ColdParams(share), MaxWait)
}

// strategy decides whether and when a request at a host may be sent.
type strategy struct {
	name    string
	round   func(f *fleet, i int, at time.Duration)
	acquire func(f *fleet, i int, at time.Duration) (time.Duration, bool)
}

// voteRounds returns a function that has an owner request votes.
func voteRounds(canBeCold bool) func(f *fleet, o int, at time.Duration) {
	return func(f *fleet, o int, at time.Duration) {
		if f.owner(o, at) != o || o%modelDomains != 0 {
			return
		}
		h, now := f.hosts[o], epoch.Add(at)
		h.granted.BeginRound(len(h.unreachableSince))
		for k := range h.unreachableSince {
			if j := k * modelDomains; j != o {
				f.messages += 2
			}
			if f.reaches(o, k*modelDomains, at) && f.hosts[k*modelDomains].votes.Grant(now, 7, canBeCold, Holder{uint32(o), h.incarnation}) {
				h.granted.AddVote(uint32(k), now, len(h.unreachableSince))
			}
		}
	}
}

func strategies() []strategy {
	viaOwner := func(share func(f *fleet, o int, at time.Duration) float64) func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
		return func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			o := f.owner(i, at)
			if o != i {
				f.messages += 2
			}
			if !f.reaches(i, o, at) || f.owner(o, at) != o {
				return 0, false
			}
			return f.requestPermit(o, at, share(f, o, at))
		}
	}
	byVotes := func(f *fleet, o int, at time.Duration) float64 {
		return modelBound * f.hosts[o].granted.Share(epoch.Add(at))
	}
	requestVotes := voteRounds(true)
	none := func(*fleet, int, time.Duration) {}
	return []strategy{
		{"owner with votes", requestVotes, viaOwner(byVotes)},
		{"owner without votes", none, viaOwner(func(*fleet, int, time.Duration) float64 { return modelBound })},
		{"lent by the owner with votes", requestVotes, func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			h := f.hosts[i]
			h.requested++
			if at >= h.lentUntil {
				// As many as were requested in the last quarter of a second, and one more.
				o, want := f.owner(i, at), h.requested
				h.lent, h.requested, h.lentUntil = 0, 0, at+modelRound
				f.messages += 2
				if f.reaches(i, o, at) && f.owner(o, at) == o {
					for range want {
						if _, ok := f.hosts[o].bucket.Acquire(epoch.Add(at), ColdParams(byVotes(f, o, at)), 0); ok {
							h.lent++
						}
					}
				}
			}
			if h.lent == 0 {
				return 0, false
			}
			h.lent--
			return 0, true
		}},
		{"fixed shares, at least one permit", none, func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			return f.requestPermit(i, at, 1+modelBound/float64(len(f.hosts))*(1+Lag.Seconds()))
		}},
	}
}

// simulate simulates a scenario with a strategy. It returns the largest number of requests in one
// second, and the requests let in as a part of the demand up to the capacity.
func simulate(l *scenario, w strategy, hosts int) (f *fleet, maxCount int, served float64) {
	f = &fleet{load: l}
	for range hosts {
		f.hosts = append(f.hosts, &modelHost{votes: NewVotes(epoch.Add(-time.Hour)), incarnation: 1, unreachableSince: make([]time.Duration, (hosts+modelDomains-1)/modelDomains)})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	servable := 0.0
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
		n := l.perSecond(at) * modelStep.Seconds()
		servable += min(n, modelCapacity*modelStep.Seconds())
		for range int(n + rng.Float64()) {
			i := rng.IntN(hosts)
			late := time.Duration(rng.Int64N(int64(Lag)))
			if l.dead(i, at) {
				continue
			}
			if in, ok := w.acquire(f, i, at); ok {
				f.used = append(f.used, at+in+late)
			}
		}
	}
	slices.Sort(f.used)
	return f, maxPerSecond(f.used), float64(len(f.used)) / servable
}

// TestWays checks that the implemented strategy stays below the bound and lets in what the endpoint
// can take. With -v it prints the figures of the other strategies.
func TestWays(t *testing.T) {
	for _, hosts := range []int{60, 300} {
		for _, l := range scenarios() {
			for k, w := range strategies() {
				f, maxCount, served := simulate(&l, w, hosts)
				t.Logf("%d hosts, %s, %s: %d in the busiest second, %.2f let in, %d messages", hosts, l.name, w.name, maxCount, served, f.messages)
				if k > 0 {
					continue
				}
				if float64(maxCount) > modelBound {
					t.Errorf("%d hosts, %s: %d in one second, %v allowed", hosts, l.name, maxCount, modelBound)
				}
				if served < l.minServed {
					t.Errorf("%d hosts, %s: %.2f of the capacity was let in, want %.2f", hosts, l.name, served, l.minServed)
				}
			}
		}
	}
}
