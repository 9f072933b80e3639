// Package roles decides which engines of a pool should read prompts and which should
// write answers.
//
// Runners that register themselves come with a role, and the shares of roles in a
// pool may be far from what its requests need. Which ones should change is a pure
// function of the roster, so that all hosts name the same ones.
package roles

import (
	"math"
	"slices"
	"strings"

	"github.com/embercove/embercove/config"
)

const (
	leastEngines  = 4 // in a pool, below which roles stay
	leastPrefills = 2
)

// How many runners read: their part of the work, and spare ones against prompts
// that come together, which miss their target when they wait. The larger a pool
// is, the smaller is the part that has to be spare. One that is needed in part
// mostly decodes instead: answers take more of the pool.
const (
	readShare = 0.17
	readSpare = 0.45 // times the square root of the runners
	readGrain = 0.25 // what may lack of a further one
)

// Prefills returns how many of a pool's engines should read.
func Prefills(engines int) int {
	n := float64(engines)
	return max(leastPrefills, int(readShare*n+readSpare*math.Sqrt(n)+readGrain))
}

// Surplus returns the runners of a pool that should take another role. Those that are
// changing count for the role that they will have, and are left alone. Those of failure
// domains that are being emptied count for nothing: the others have to do without them,
// and they keep their roles for when they are taken back.
func Surplus(v *config.View, pool string, changing func(e *config.Endpoint) bool) (surplus []*config.Endpoint, to config.Role) {
	t := count(v, pool, changing)
	engines := t.reading + t.writing
	need := Prefills(engines)
	switch {
	case engines < leastEngines && t.starved() && t.reading > 1:
		return fullestDomainFirst(t.prefills, 1), config.Decode
	case engines < leastEngines && t.starved() && t.writing > 1:
		return fullestDomainFirst(t.decodes, 1), config.Prefill
	case engines < leastEngines:
		return nil, config.Decode
	case t.reading > need:
		return fullestDomainFirst(t.prefills, t.reading-need), config.Decode
	case t.reading < need:
		return fullestDomainFirst(t.decodes, need-t.reading), config.Prefill
	}
	return nil, config.Decode
}

// Starved reports whether a pool has no engine of one role left and some of that role are
// in failure domains that are being emptied, so that it can answer nothing. That is no loss
// which may pass in a moment, so the change of roles needn't be looked at for long before it
// is ordered.
func Starved(v *config.View, pool string, changing func(e *config.Endpoint) bool) bool {
	t := count(v, pool, changing)
	return t.starved()
}

// tally counts the engines of a pool by the role that they have or are changing to.
type tally struct {
	prefills, decodes []*config.Endpoint   // that aren't changing
	reading, writing  int                  // with those that are
	emptied           map[config.Role]bool // of which some are in failure domains that are being emptied
}

// starved reports whether one role alone is lacking, and engines of it are emptied.
func (t *tally) starved() bool {
	if t.reading == 0 {
		return t.writing > 0 && t.emptied[config.Prefill]
	}
	return t.writing == 0 && t.emptied[config.Decode]
}

func count(v *config.View, pool string, changing func(e *config.Endpoint) bool) (t tally) {
	coming := map[config.Role]int{}
	t.emptied = map[config.Role]bool{}
	for i := range v.Doc.Endpoints {
		e := &v.Doc.Endpoints[i]
		switch {
		case e.Pool != pool || e.Leaving || !e.Lapsed.IsZero():
		case v.Emptied(e):
			t.emptied[e.Role] = true
		case changing(e):
			coming[other(e.Role)]++
		case e.Role == config.Prefill:
			t.prefills = append(t.prefills, e)
		case e.Role == config.Decode:
			t.decodes = append(t.decodes, e)
		}
	}
	t.reading = len(t.prefills) + coming[config.Prefill]
	t.writing = len(t.decodes) + coming[config.Decode]
	return t
}

// other returns the role that an engine of a role can be ordered into.
func other(r config.Role) config.Role {
	if r == config.Prefill {
		return config.Decode
	}
	return config.Prefill
}

// fullestDomainFirst returns n of the endpoints, of the failure domains that have most
// of them first, and within a domain by name.
func fullestDomainFirst(list []*config.Endpoint, n int) []*config.Endpoint {
	slices.SortFunc(list, byName)
	byDomain := map[string][]*config.Endpoint{}
	for _, e := range list {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	out := make([]*config.Endpoint, 0, n)
	for len(out) < min(n, len(list)) {
		domain := fullest(byDomain)
		out = append(out, byDomain[domain][0])
		byDomain[domain] = byDomain[domain][1:]
	}
	return out
}

// fullest returns the failure domain that has most endpoints left; of several the one
// whose next is the first by name.
func fullest(byDomain map[string][]*config.Endpoint) (domain string) {
	var most []*config.Endpoint
	for name, left := range byDomain {
		if len(left) > len(most) || len(left) == len(most) && len(left) > 0 && byName(left[0], most[0]) < 0 {
			domain, most = name, left
		}
	}
	return domain
}

func byName(a, b *config.Endpoint) int { return strings.Compare(a.Name, b.Name) }
