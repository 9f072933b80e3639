// Package roles decides which engines of a pool should run prefill and which decode.
//
// Runners register themselves with a role, and the shares of roles in a pool may be far from what
// its requests need. Which runners should change is a pure function of the roster, so that all
// hosts choose the same ones.
package roles

import (
	"math"
	"slices"
	"strings"

	"github.com/embercove/embercove/config"
)

const (
	minEngines  = 4 // smaller pools keep their roles unless they are starved
	minPrefills = 2
)

// How many engines of a pool should prefill: prefill's share of the work, plus spare engines for
// bursts of prompts, which miss their target if they queue. The larger a pool, the smaller the
// share that has to be spare. A fraction of an engine is mostly rounded down, in favor of decode:
// answers take more of the pool.
const (
	prefillShare    = 0.17
	prefillSpare    = 0.45 // times the square root of the engines
	prefillRounding = 0.25 // rounds up from a fraction of 0.75
)

// PrefillCount returns how many of a pool's engines should prefill.
func PrefillCount(engines int) int {
	n := float64(engines)
	return max(minPrefills, int(prefillShare*n+prefillSpare*math.Sqrt(n)+prefillRounding))
}

// Surplus returns the runners of a pool that should change to the role to. Runners that are already
// changing count with their new role and aren't returned. Those in failure domains that are being
// evacuated don't count, because the others have to do without them; they keep their roles for the
// end of the evacuation.
func Surplus(v *config.View, pool string, changing func(e *config.Endpoint) bool) (surplus []*config.Endpoint, to config.Role) {
	t := countRoles(v, pool, changing)
	engines := t.prefill + t.decode
	need := PrefillCount(engines)
	from, n := config.Prefill, 0
	switch {
	case engines < minEngines && t.starved() && t.prefill > 1:
		n = 1
	case engines < minEngines && t.starved() && t.decode > 1:
		from, n = config.Decode, 1
	case engines < minEngines:
	case t.prefill > need:
		n = t.prefill - need
	case t.prefill < need:
		from, n = config.Decode, need-t.prefill
	}
	if n == 0 {
		return nil, config.Decode
	}
	return fullestDomainFirst(changeable(v, pool, from, changing), n), otherRole(from)
}

// Starved reports whether a pool has no engine of one role left and some of that role are in
// failure domains that are being evacuated, so that it can't serve any request. Unlike a brief loss
// this won't pass by itself, so a change of roles needn't wait until the imbalance has lasted.
func Starved(v *config.View, pool string, changing func(e *config.Endpoint) bool) bool {
	t := countRoles(v, pool, changing)
	return t.starved()
}

// tally counts the engines of a pool by the role that they have or are changing to.
type tally struct {
	prefill, decode                   int
	prefillEvacuated, decodeEvacuated bool // some are in failure domains that are being evacuated
}

// starved reports whether exactly one role is missing and engines of it are evacuated.
func (t *tally) starved() bool {
	if t.prefill == 0 {
		return t.decode > 0 && t.prefillEvacuated
	}
	return t.decode == 0 && t.decodeEvacuated
}

// isActive reports whether an endpoint is an engine of a pool that can serve requests: it isn't
// leaving and its registration hasn't lapsed.
func isActive(e *config.Endpoint, pool string) bool {
	return e.Pool == pool && !e.Leaving && e.Lapsed.IsZero() && e.Role != config.Service
}

// countRoles scans all endpoints. It doesn't allocate, because it runs twice a second.
func countRoles(v *config.View, pool string, changing func(e *config.Endpoint) bool) (t tally) {
	for _, e := range v.Endpoints.All() {
		if !isActive(e, pool) {
			continue
		}
		role := e.Role
		if v.IsEvacuated(e) {
			t.prefillEvacuated = t.prefillEvacuated || role == config.Prefill
			t.decodeEvacuated = t.decodeEvacuated || role == config.Decode
			continue
		}
		if changing(e) {
			role = otherRole(role)
		}
		if role == config.Prefill {
			t.prefill++
		} else {
			t.decode++
		}
	}
	return t
}

// changeable lists the engines of a role that may be ordered to change it.
func changeable(v *config.View, pool string, role config.Role, changing func(e *config.Endpoint) bool) (out []*config.Endpoint) {
	for _, e := range v.Endpoints.All() {
		if isActive(e, pool) && e.Role == role && !v.IsEvacuated(e) && !changing(e) {
			out = append(out, e)
		}
	}
	return out
}

// otherRole returns the role that an engine can be ordered to change to.
func otherRole(r config.Role) config.Role {
	if r == config.Prefill {
		return config.Decode
	}
	return config.Prefill
}

// fullestDomainFirst returns n of the endpoints. It takes each from the failure domain that has the
// most left, and within a domain by name.
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

// fullest returns the failure domain with the most endpoints left, and among equals the one whose
// next endpoint comes first by name.
func fullest(byDomain map[string][]*config.Endpoint) (domain string) {
	var longest []*config.Endpoint
	for name, left := range byDomain {
		if len(left) > len(longest) || len(left) == len(longest) && len(left) > 0 && byName(left[0], longest[0]) < 0 {
			domain, longest = name, left
		}
	}
	return domain
}

func byName(a, b *config.Endpoint) int { return strings.Compare(a.Name, b.Name) }
