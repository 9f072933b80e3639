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
	from, n := config.Prefill, 0
	switch {
	case engines < leastEngines && t.starved() && t.reading > 1:
		n = 1
	case engines < leastEngines && t.starved() && t.writing > 1:
		from, n = config.Decode, 1
	case engines < leastEngines:
	case t.reading > need:
		n = t.reading - need
	case t.reading < need:
		from, n = config.Decode, need-t.reading
	}
	if n == 0 {
		return nil, config.Decode
	}
	return fullestDomainFirst(steady(v, pool, from, changing), n), other(from)
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
	reading, writing               int
	readersEmptied, writersEmptied bool // some are in failure domains that are being emptied
}

// starved reports whether one role alone is lacking, and engines of it are emptied.
func (t *tally) starved() bool {
	if t.reading == 0 {
		return t.writing > 0 && t.readersEmptied
	}
	return t.writing == 0 && t.writersEmptied
}

// counts reports whether an endpoint is an engine of a pool that is there for requests.
func counts(e *config.Endpoint, pool string) bool {
	return e.Pool == pool && !e.Leaving && e.Lapsed.IsZero() && e.Role != config.Service
}

// count looks at all endpoints, and allocates nothing: it is asked twice a second.
func count(v *config.View, pool string, changing func(e *config.Endpoint) bool) (t tally) {
	for _, e := range v.Endpoints.All() {
		if !counts(e, pool) {
			continue
		}
		role := e.Role
		if v.Emptied(e) {
			t.readersEmptied = t.readersEmptied || role == config.Prefill
			t.writersEmptied = t.writersEmptied || role == config.Decode
			continue
		}
		if changing(e) {
			role = other(role)
		}
		if role == config.Prefill {
			t.reading++
		} else {
			t.writing++
		}
	}
	return t
}

// steady lists the engines of a role that may be ordered into the other.
func steady(v *config.View, pool string, role config.Role, changing func(e *config.Endpoint) bool) (out []*config.Endpoint) {
	for _, e := range v.Endpoints.All() {
		if counts(e, pool) && e.Role == role && !v.Emptied(e) && !changing(e) {
			out = append(out, e)
		}
	}
	return out
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
