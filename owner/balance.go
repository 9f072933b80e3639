package owner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/roles"
	"github.com/embercove/embercove/route"
)

// Runners that are in the role that their pool has too many of are ordered into the
// other (package roles). Each is ordered by its owner, and only by one whose ownership
// has stood for long enough that no other host can have ordered within its lease.

// Times and bounds of balancing.
const (
	balanceEvery = 500 * time.Millisecond
	settledAfter = 4 * time.Second  // without a change of members, before orders are given
	steadyAfter  = 5 * time.Second  // that a host has been the orderer of a runner, whatever else changes
	rosterFresh  = 12 * time.Second // since the platform was heard of
	orderTimeout = 500 * time.Millisecond
	orderSlack   = 6 * time.Second // beyond the change itself, before an order is repeated
)

// balance is the state of balancing.
type balance struct {
	mu      sync.Mutex
	members uint64    // hash of their set when it last changed
	since   time.Time // when they last changed
	settled bool      // they have not changed for long enough
	orderer map[uint32]tenure
	ordered map[uint32]time.Time
	fence   uint64                  // highest that is known to have been used
	looks   map[string]*roles.Looks // by pool
	last    ordersOf
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
			changing := o.changing()
			surplus, to := roles.Surplus(v, name, changing)
			lasting := o.lasting(name, len(surplus), to, now)
			if roles.Starved(v, name, changing) {
				lasting = len(surplus)
			}
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
	for _, e := range o.orderable(v, now) {
		if e.Pool == pool && o.tenured(route.Number(e.Name), now) {
			out[e.Name] = true
		}
	}
	return out
}

// ordersOf is which runners a host orders, by the members and the view that it was
// worked out for.
type ordersOf struct {
	members uint64
	view    *config.View
	at      time.Time // when it last held
	mine    []*config.Endpoint
}

// orderable returns the runners of the own failure domain whose orderer this host is. It
// is worked out anew only when the members or the roster have changed, as it looks through
// all endpoints and is asked for all the time.
func (o *Owner) orderable(v *config.View, now time.Time) []*config.Endpoint {
	members := o.board.Hosts.Members(now)
	o.balance.mu.Lock()
	last := o.balance.last
	if last.members == members && last.view == v && now.Sub(last.at) <= unseenFor {
		o.balance.last.at = now
		o.balance.mu.Unlock()
		return last.mine
	}
	o.balance.mu.Unlock()
	next := ordersOf{members: members, view: v, at: now}
	hosts := o.board.Hosts.Candidates(o.board.Settings.Domain, now)
	for number, e := range v.InDomain(o.board.Settings.Domain).All() {
		if o.takesOrders(hosts, number, now) == o.board.Number {
			next.mine = append(next.mine, e)
		}
	}
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	for number, t := range o.balance.orderer {
		if t.seen != now { // it is not on the roster: others may order it meanwhile
			delete(o.balance.orderer, number)
		}
	}
	o.balance.last = next
	return next.mine
}

// lasting returns how many runners of a pool have been out of balance for long enough.
func (o *Owner) lasting(pool string, n int, to config.Role, now time.Time) int {
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	looks := o.balance.looks[pool]
	if looks == nil {
		looks = new(roles.Looks)
		o.balance.looks[pool] = looks
	}
	return looks.Lasting(n, to, now)
}

// changing returns what tells whether an endpoint is told of as about to have another
// role than it is registered with.
func (o *Owner) changing() func(e *config.Endpoint) bool {
	numbers := map[uint32]bool{}
	o.board.Endpoints.Read(func(fleet *route.Fleet) {
		for s := range fleet.Wrong() {
			numbers[s.Number] = true
		}
	})
	return func(e *config.Endpoint) bool { return len(numbers) > 0 && numbers[route.Number(e.Name)] }
}

// order gives one order, unless the last one to the runner is recent.
func (o *Owner) order(ctx context.Context, p *config.Pool, e *config.Endpoint, to config.Role, now time.Time) {
	if o.board.Config.View().Emptied(e) {
		return
	}
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
