package route

import "math/bits"

// Looks says how many endpoints of a list a choice looks at. With a bounded number it costs
// the same in a fleet of any size, and hosts that know the same of thousands don't all take
// the one that seems best.
type Looks struct {
	All  int // up to this many it looks at each
	Near int // that are drawn of the host's failure domain
	Far  int // that are drawn of all
}

// standingLooks is what is in force.
var standingLooks = Looks{All: 128, Near: 48, Far: 16}

// leastChoice is how many open endpoints there must be to choose from: with fewer all are
// looked at.
const leastChoice = 8

// look calls see for the endpoints of a list that a choice looks at, until it has seen
// enough of those that are open: the host's own, and some that are drawn. see reports
// whether an endpoint is open. Where hardly any is, all are looked at.
func (f *Fleet) look(l *List, r *Request, see func(s *State) bool) {
	all := l.All()
	if len(all) > f.looks.All && f.lookAtSome(l, r, see) >= leastChoice {
		return
	}
	for _, s := range all {
		see(s)
	}
}

// lookAtSome calls see for a bounded number of endpoints and returns how many were open.
func (f *Fleet) lookAtSome(l *List, r *Request, see func(s *State) bool) (open int) {
	count := func(s *State) {
		if see(s) {
			open++
		}
	}
	for _, number := range f.own {
		if s := l.Find(number); s != nil {
			count(s)
		}
	}
	for _, number := range f.heads.of(r) {
		if s := l.Find(number); s != nil {
			count(s)
		}
	}
	draw(l.In(r.Home), f.looks.Near, r.drawSeed(), count)
	draw(l.All(), f.looks.Far, r.drawSeed()+1, count)
	return open
}

// drawSeed returns what a request's draws depend on: each try draws others.
func (r *Request) drawSeed() uint64 {
	n := uint64(0)
	for n < MostExcluded && r.Exclude[n] != 0 {
		n++
	}
	return r.Seed ^ n<<40
}

// draw calls f for n of the states, each as likely as any other, some maybe twice; for all of
// them where there are no more.
func draw(list []*State, n int, seed uint64, f func(s *State)) {
	if len(list) <= n {
		for _, s := range list {
			f(s)
		}
		return
	}
	for range n {
		seed += 0x9e3779b97f4a7c15
		at, _ := bits.Mul64(mix(seed), uint64(len(list)))
		f(list[at])
	}
}

// mix spreads a number over all its bits.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
