package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The ways to keep below the bound of a cold endpoint that were weighed, on a model of a
// fleet in steps of 10 ms. Each is played the same arrivals.

const (
	wayStep   = 10 * time.Millisecond
	wayLook   = 50 * time.Millisecond // between looks at who is in reach
	wayPlayed = 30 * time.Second
	wayRound  = 250 * time.Millisecond // of votes, and for which starts are lent
	wayGone   = 5 * time.Second        // after which hosts that don't reach each other take each other for gone
	wayBears  = 21.0
	wayBound  = 36.5
	domains   = 4 // the endpoint is in the first one
)

// wayLoad is what is asked of the endpoint and what befalls the hosts.
type wayLoad struct {
	name  string
	perS  func(at time.Duration) float64    // asked a second, over all hosts
	group func(i int, at time.Duration) int // hosts of one group reach each other
	dead  func(i int, at time.Duration) bool
	woken func(i int, at time.Duration) bool // starts anew, or wakes, at this step
	least float64                            // part of what is borne that votes must let in
}

func wayLoads() []wayLoad {
	steady := func(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }
	within := func(at, from, to time.Duration) bool { return at >= from && at < to }
	base := wayLoad{perS: steady(100), group: func(int, time.Duration) int { return 0 }, least: 0.95,
		dead: func(int, time.Duration) bool { return false }, woken: func(int, time.Duration) bool { return false }}
	with := func(name string, f func(l *wayLoad)) wayLoad {
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
	return []wayLoad{
		with("calm", func(l *wayLoad) { l.perS = steady(15) }),
		with("a burst", func(l *wayLoad) {
			l.perS = func(at time.Duration) float64 {
				if within(at, 8*time.Second, 14*time.Second) {
					return 300
				}
				return 15
			}
		}),
		with("five times what is borne", func(*wayLoad) {}),
		with("the owner is killed", func(l *wayLoad) {
			l.dead, l.least = func(i int, at time.Duration) bool { return i == 0 && at >= 8*time.Second }, 0.8
		}),
		with("the owner is paused for 3 s", func(l *wayLoad) {
			l.dead = func(i int, at time.Duration) bool { return i == 0 && within(at, 8*time.Second, 11*time.Second) }
			l.woken = func(i int, at time.Duration) bool { return i == 0 && at == 11*time.Second }
			l.least = 0.8
		}),
		with("the endpoint's domain is cut off", func(l *wayLoad) {
			l.group = cut(func(i int) int {
				if i%domains == 0 {
					return 1
				}
				return 2
			})
		}),
		with("each domain is cut off", func(l *wayLoad) { l.group = cut(func(i int) int { return i % domains }) }),
		with("a fifth of the hosts alone", func(l *wayLoad) {
			l.least = 0.8
			l.group = cut(func(i int) int {
				if i/domains%5 == 1 {
					return i + 1
				}
				return 0
			})
		}),
		with("the owner alone", func(l *wayLoad) {
			l.least = 0.7
			l.group = cut(func(i int) int { return min(i, 1) })
		}),
		with("two halves of each domain", func(l *wayLoad) { l.group, l.least = cut(func(i int) int { return i / domains % 2 }), 0.8 }),
		with("all killed and restarted", func(l *wayLoad) {
			l.dead = func(_ int, at time.Duration) bool { return within(at, 8*time.Second, 9*time.Second) }
			l.woken = func(_ int, at time.Duration) bool { return at == 9*time.Second }
			l.least = 0.8
		}),
	}
}

// wayHost is a host of the model.
type wayHost struct {
	votes       *Votes
	right       Right
	pace        Pace
	lone        Lone
	incarnation uint64
	apart       []time.Duration // since when each host of the endpoint's domain is out of reach; 0: it is in reach
	lent        int
	lentUntil   time.Duration
	wanted      int // since the last loan
}

// fleet is a fleet that a way is played on.
type fleet struct {
	load     *wayLoad
	hosts    []*wayHost
	messages int
	used     []time.Duration
}

// reaches reports whether a host reaches another.
func (f *fleet) reaches(i, j int, at time.Duration) bool {
	return i == j || !f.load.dead(j, at) && f.load.group(i, at) == f.load.group(j, at)
}

// tick brings up to date who takes whom for gone.
func (f *fleet) tick(at time.Duration) {
	for i, h := range f.hosts {
		if f.load.woken(i, at) {
			h.votes, h.right, h.pace, h.lent = NewVotes(begin.Add(at)), Right{}, Pace{}, 0
			h.incarnation++
		}
		for k := range h.apart {
			if f.reaches(i, k*domains, at) {
				h.apart[k] = 0
			} else if h.apart[k] == 0 {
				h.apart[k] = max(at, 1)
			}
		}
	}
}

// owner returns whom a host asks: the first of the endpoint's domain that it doesn't take
// for gone. Who takes itself for the owner goes by the same.
func (f *fleet) owner(i int, at time.Duration) int {
	for k, since := range f.hosts[i].apart {
		if since == 0 || at-since < wayGone {
			return k * domains
		}
	}
	return i
}

// give asks a host for a start.
func (f *fleet) give(i int, at time.Duration, share float64) (time.Duration, bool) {
	return f.hosts[i].pace.Ask(begin.Add(at), ColdTerms(share), MostWait)
}

// way decides whether and when a request at a host may be sent.
type way struct {
	name  string
	round func(f *fleet, i int, at time.Duration)
	start func(f *fleet, i int, at time.Duration) (time.Duration, bool)
}

// rounds returns what has an owner ask for votes.
func rounds(mayBeCold bool) func(f *fleet, o int, at time.Duration) {
	return func(f *fleet, o int, at time.Duration) {
		if f.owner(o, at) != o || o%domains != 0 {
			return
		}
		h, now := f.hosts[o], begin.Add(at)
		h.right.Ask(len(h.apart))
		for k := range h.apart {
			if j := k * domains; j != o {
				f.messages += 2
			}
			if f.reaches(o, k*domains, at) && f.hosts[k*domains].votes.Give(now, 7, mayBeCold, Holder{uint32(o), h.incarnation}) {
				h.right.Take(uint32(k), now, len(h.apart))
			}
		}
	}
}

func ways() []way {
	toOwner := func(share func(f *fleet, o int, at time.Duration) float64) func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
		return func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			o := f.owner(i, at)
			if o != i {
				f.messages += 2
			}
			if !f.reaches(i, o, at) || f.owner(o, at) != o {
				return 0, false
			}
			return f.give(o, at, share(f, o, at))
		}
	}
	voted := func(f *fleet, o int, at time.Duration) float64 {
		return wayBound * f.hosts[o].right.Part(begin.Add(at))
	}
	poll := rounds(true)
	none := func(*fleet, int, time.Duration) {}
	return []way{
		{"owner with votes", poll, toOwner(voted)},
		{"owner alone", none, toOwner(func(*fleet, int, time.Duration) float64 { return wayBound })},
		{"lent by the owner with votes", poll, func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			h := f.hosts[i]
			h.wanted++
			if at >= h.lentUntil {
				// As many as were asked for in the last quarter of a second, and one more.
				o, want := f.owner(i, at), h.wanted
				h.lent, h.wanted, h.lentUntil = 0, 0, at+wayRound
				f.messages += 2
				if f.reaches(i, o, at) && f.owner(o, at) == o {
					for range want {
						if _, ok := f.hosts[o].pace.Ask(begin.Add(at), ColdTerms(voted(f, o, at)), 0); ok {
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
		{"fixed shares, one start at least", none, func(f *fleet, i int, at time.Duration) (time.Duration, bool) {
			return f.give(i, at, 1+wayBound/float64(len(f.hosts))*(1+Lag.Seconds()))
		}},
	}
}

// play plays a load a way and returns the fullest second and what was let in of what is
// borne and asked.
func play(l *wayLoad, w way, hosts int) (f *fleet, most int, part float64) {
	f = &fleet{load: l}
	for range hosts {
		f.hosts = append(f.hosts, &wayHost{votes: NewVotes(begin.Add(-time.Hour)), incarnation: 1, apart: make([]time.Duration, (hosts+domains-1)/domains)})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	owed := 0.0
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
		n := l.perS(at) * wayStep.Seconds()
		owed += min(n, wayBears*wayStep.Seconds())
		for range int(n + rng.Float64()) {
			i := rng.IntN(hosts)
			late := time.Duration(rng.Int64N(int64(Lag)))
			if l.dead(i, at) {
				continue
			}
			if in, ok := w.start(f, i, at); ok {
				f.used = append(f.used, at+in+late)
			}
		}
	}
	slices.Sort(f.used)
	return f, fullest(f.used), float64(len(f.used)) / owed
}

// TestWays checks that the way that was kept keeps below the bound and lets in what the
// endpoint bears, and prints what the others come to (-v).
func TestWays(t *testing.T) {
	for _, hosts := range []int{60, 300} {
		for _, l := range wayLoads() {
			for k, w := range ways() {
				f, most, part := play(&l, w, hosts)
				t.Logf("%d hosts, %s, %s: %d in the fullest second, %.2f let in, %d messages", hosts, l.name, w.name, most, part, f.messages)
				if k > 0 {
					continue
				}
				if float64(most) > wayBound {
					t.Errorf("%d hosts, %s: %d in one second, %v allowed", hosts, l.name, most, wayBound)
				}
				if part < l.least {
					t.Errorf("%d hosts, %s: %.2f of what is borne was let in, want %.2f", hosts, l.name, part, l.least)
				}
			}
		}
	}
}
