package owner

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/route"
)

// Runners that register themselves come with a role, and the shares of roles
// in a pool may be far from what its requests need. Prefill runners beyond
// the need are ordered to decode. Which runners change is a pure function of the
// roster, so that all hosts name the same ones. Each is ordered by its owner, and
// only by one whose ownership has stood for long enough that no other host can
// have ordered within its lease.

// Times and bounds of balancing.
const (
	balanceEvery  = 500 * time.Millisecond
	settledAfter  = 4 * time.Second  // without a change of members, before orders are given
	steadyAfter   = 5 * time.Second  // that a host has been the orderer of a runner, whatever else changes
	rosterFresh   = 12 * time.Second // since the platform was heard of
	orderTimeout  = 500 * time.Millisecond
	orderSlack    = 6 * time.Second // beyond the change itself, before an order is repeated
	lastsFor      = 3 * time.Second
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

// prefillEngines returns how many of a pool's engines should read.
func prefillEngines(engines int) int {
	n := float64(engines)
	return max(leastPrefills, int(readShare*n+readSpare*math.Sqrt(n)+readGrain))
}

// balance is the state of balancing.
type balance struct {
	mu      sync.Mutex
	members uint64    // hash of their set when it last changed
	since   time.Time // when they last changed
	settled bool      // they have not changed for long enough
	orderer map[uint32]tenure
	ordered map[uint32]time.Time
	fence   uint64                  // highest that is known to have been used
	seen    map[string][]imbalanced // by pool, the last looks
}

// Balancer returns the controller that orders runners into the role that
// their pool lacks.
func (o *Owner) Balancer() blackboard.Controller {
	return blackboard.Every(balanceEvery, func(ctx context.Context) {
		v := o.board.Config.View()
		now := time.Now()
		if v == nil || !o.mayOrder(v, now) {
			return
		}
		for name, p := range v.Pools {
			if !p.Engines() || p.RoleSwitchMillis == 0 {
				continue
			}
			surplus, to := imbalance(v, name, o.isChanging)
			lasting := o.lasting(name, len(surplus), to, now)
			mine := o.orderedHere(v, name, now)
			for _, e := range surplus[:lasting] {
				if mine[e.Name] {
					o.order(ctx, p, e, to, now)
				}
			}
		}
	})
}

// orderedHere returns the runners of a pool that this host may order. It looks at all
// of its failure domain at each look, so that its tenure of a runner doesn't begin
// when the runner is first to be ordered: that took 5 s of the 9 s in which a loss was
// made good where members changed meanwhile.
func (o *Owner) orderedHere(v *config.View, pool string, now time.Time) map[string]bool {
	out := map[string]bool{}
	for i := range v.Doc.Endpoints {
		e := &v.Doc.Endpoints[i]
		if e.Pool == pool && e.Domain == o.board.Settings.Domain && o.orders(e, now) {
			out[e.Name] = true
		}
	}
	return out
}

// lasting returns of how many runners of a pool the roles have been out of balance in
// one way for long enough: the fewest of that time. A runner that was lost for a
// moment comes back in its old role. In a large pool their number changes all the
// time, which says nothing against those that are out of balance all the while.
func (o *Owner) lasting(pool string, n int, to config.Role, now time.Time) int {
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	looks := o.balance.seen[pool]
	if len(looks) > 0 && now.Sub(looks[len(looks)-1].at) > unseenFor {
		looks = nil
	}
	looks = append(looks, imbalanced{n: n, to: to, at: now})
	for len(looks) > 1 && now.Sub(looks[1].at) >= lastsFor {
		looks = looks[1:]
	}
	o.balance.seen[pool] = looks
	if now.Sub(looks[0].at) < lastsFor {
		return 0
	}
	for _, l := range looks {
		if l.to != to {
			return 0
		}
		n = min(n, l.n)
	}
	return n
}

// imbalanced is how many runners of a pool should have changed their role at a look.
type imbalanced struct {
	n  int
	to config.Role
	at time.Time
}

// isChanging reports whether an endpoint is told of as about to have another
// role than it is registered with.
func (o *Owner) isChanging(e *config.Endpoint) (changing bool) {
	o.board.Endpoints.Touch(route.Number(e.Name), func(s *route.State) {
		changing = s.Digest.Flags&route.FlagWrong != 0
	})
	return changing
}

// imbalance returns the runners of a pool that should take another role. Those
// that are changing count for the role that they will have, and are left alone.
func imbalance(v *config.View, pool string, changing func(e *config.Endpoint) bool) (surplus []*config.Endpoint, to config.Role) {
	byRole := map[config.Role][]*config.Endpoint{}
	coming := map[config.Role]int{}
	for i := range v.Doc.Endpoints {
		e := &v.Doc.Endpoints[i]
		switch {
		case e.Pool != pool || e.Leaving || !e.Lapsed.IsZero():
		case changing(e):
			coming[otherRole(e.Role)]++
		default:
			byRole[e.Role] = append(byRole[e.Role], e)
		}
	}
	prefills, decodes := byRole[config.Prefill], byRole[config.Decode]
	reading := len(prefills) + coming[config.Prefill]
	engines := reading + len(decodes) + coming[config.Decode]
	need := prefillEngines(engines)
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

// otherRole returns the role that an engine of a role can be ordered into.
func otherRole(r config.Role) config.Role {
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

// order gives one order, unless the last one to the runner is recent.
func (o *Owner) order(ctx context.Context, p *config.Pool, e *config.Endpoint, to config.Role, now time.Time) {
	number := route.Number(e.Name)
	again := config.Millis(p.RoleSwitchMillis) + orderSlack
	b := &o.balance
	b.mu.Lock()
	if at, done := b.ordered[number]; done && now.Sub(at) < again {
		b.mu.Unlock()
		return
	}
	b.ordered[number] = now
	b.fence = max(b.fence+1, uint64(now.UnixMilli()))
	order := endpoint.Order{Fence: b.fence, Role: string(to), Model: e.Model, Version: e.Version, Holder: o.board.Settings.Host}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.engine.Order(ctx, e.Address, order)
	o.Orders.Add(1)
	o.log.Info("order sent", zap.String("endpoint", e.Name), zap.Uint64("fence", order.Fence), zap.String("role", order.Role), zap.Error(err))
	if fenced(err) {
		b.mu.Lock()
		b.fence += fenceJump
		b.mu.Unlock()
		return
	}
	o.setChanging(number, now.Add(again))
}

// fenceJump is how far a fence is raised when a runner has seen a higher one:
// beyond what clocks of hosts differ by.
const fenceJump = 3_600_000 // ms

// fenced reports whether an order was refused for its fence.
func fenced(err error) bool {
	var ce *endpoint.CallError
	return errors.As(err, &ce) && ce.Status == http.StatusPreconditionFailed
}

// setChanging keeps new work from an endpoint until it has its new role.
func (o *Owner) setChanging(number uint32, until time.Time) {
	o.mu.Lock()
	b := o.books[number]
	o.mu.Unlock()
	if b == nil {
		return
	}
	b.mu.Lock()
	b.changing = until
	d := b.digest(time.Now(), true)
	b.mu.Unlock()
	o.board.Endpoints.Learn(d, time.Now())
}

// SawFence notes a fence that some host has used.
func (o *Owner) SawFence(f uint64) {
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	o.balance.fence = max(o.balance.fence, f)
}

// Fence returns the highest fence known to have been used.
func (o *Owner) Fence() uint64 {
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	return o.balance.fence
}
