package route

import "math/bits"

// sampleSizes bounds how many endpoints of a list a choice considers. A bounded sample costs the
// same in a fleet of any size. It also keeps hosts that share the same view of thousands of
// endpoints from all picking the one that looks best.
type sampleSizes struct {
	scanAll  int // lists of up to this many are scanned whole
	inDomain int // sample size from the entry host's failure domain
	anywhere int // sample size from the whole list
}

// defaultSampling is the sampling of a new fleet.
var defaultSampling = sampleSizes{scanAll: 128, inDomain: 48, anywhere: 16}

// minEligible is how many eligible endpoints a sample must contain. With fewer, the whole list
// is scanned.
const minEligible = 8

// scan calls visit for the endpoints that a choice considers: those that this host owns, those
// that have cached the prompt's head, and a random sample. visit reports whether an endpoint is
// eligible. If the sample has fewer than minEligible of those, scan visits the whole list.
func (f *Fleet) scan(l *List, r *Request, visit func(s *State) bool) {
	all := l.All()
	if len(all) > f.sampling.scanAll && f.sample(l, r, visit) >= minEligible {
		return
	}
	for _, s := range all {
		visit(s)
	}
}

// sample calls visit for a bounded number of endpoints and returns how many were eligible.
func (f *Fleet) sample(l *List, r *Request, visit func(s *State) bool) (eligible int) {
	count := func(s *State) {
		if visit(s) {
			eligible++
		}
	}
	for _, number := range f.owned {
		if s := l.Find(number); s != nil {
			count(s)
		}
	}
	for _, number := range f.heads.lookup(r) {
		if s := l.Find(number); s != nil {
			count(s)
		}
	}
	draw(l.InFailureDomain(r.EntryDomain), f.sampling.inDomain, r.drawSeed(), count)
	draw(l.All(), f.sampling.anywhere, r.drawSeed()+1, count)
	return eligible
}

// drawSeed returns the seed of a request's samples. It depends on the number of excluded
// endpoints, so that each attempt samples others.
func (r *Request) drawSeed() uint64 {
	n := uint64(0)
	for n < MaxExcluded && r.Exclude[n] != 0 {
		n++
	}
	return r.Seed ^ n<<40
}

// draw calls f for n states drawn uniformly with replacement, or for all if there are at most n.
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

// mix hashes a number so that every input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
