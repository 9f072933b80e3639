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
// of them first.
func fullestDomainFirst(list []*config.Endpoint, n int) []*config.Endpoint {
	byDomain := map[string]int{}
	for _, e := range list {
		byDomain[e.Domain]++
	}
	slices.SortFunc(list, func(a, b *config.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	var out []*config.Endpoint
	for len(out) < n && len(list) > 0 {
		most := 0
		for i, e := range list {
			if byDomain[e.Domain] > byDomain[list[most].Domain] {
				most = i
			}
		}
		e := list[most]
		byDomain[e.Domain]--
		out = append(out, e)
		list = slices.Delete(list, most, most+1)
	}
	return out
}
