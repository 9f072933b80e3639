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
// changing count for the role that they will have, and are left alone.
func Surplus(v *config.View, pool string, changing func(e *config.Endpoint) bool) (surplus []*config.Endpoint, to config.Role) {
	byRole := map[config.Role][]*config.Endpoint{}
	coming := map[config.Role]int{}
	for i := range v.Doc.Endpoints {
		e := &v.Doc.Endpoints[i]
		switch {
		case e.Pool != pool || e.Leaving || !e.Lapsed.IsZero():
		case changing(e):
			coming[other(e.Role)]++
		default:
			byRole[e.Role] = append(byRole[e.Role], e)
		}
	}
	prefills, decodes := byRole[config.Prefill], byRole[config.Decode]
	reading := len(prefills) + coming[config.Prefill]
	engines := reading + len(decodes) + coming[config.Decode]
	need := Prefills(engines)
	switch {
	case engines < leastEngines:
		return nil, config.Decode
	case reading > need:
		return fullestDomainFirst(prefills, reading-need), config.Decode
	case reading < need:
		return fullestDomainFirst(decodes, need-reading), config.Prefill
	}
	return nil, config.Decode
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
