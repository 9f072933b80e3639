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

// Balancing orders surplus runners of a pool's overstaffed role into the other role (package
// roles). A runner is ordered only by its owner, and only after the ownership has been stable
// for so long that no other host can have sent it an order within its lease.

// Timing of balancing.
const (
	balanceInterval    = 500 * time.Millisecond
	settledAfter       = 4 * time.Second  // time without a change of members before orders are sent
	minTenure          = 5 * time.Second  // tenure as a runner's orderer that suffices even if members change
	maxPlatformSilence = 12 * time.Second // maximum time since the platform last answered
	orderTimeout       = 500 * time.Millisecond
	orderSlack         = 6 * time.Second // time on top of the role switch before an order is repeated
)

// balance is the state of balancing.
type balance struct {
	mu             sync.Mutex
	members        uint64    // hash of the members at their last change
	membersSince   time.Time // when the members last changed
	membersSettled bool      // the members have not changed for settledAfter
	tenures        map[uint32]tenure
	orderedAt      map[uint32]time.Time
	fence          uint64                    // highest fence known to have been used
	imbalances     map[string]*roles.History // by pool
	cache          orderableCache
}

// Balancer returns the controller that orders runners into the role that their pool is short of.
func (o *Owner) Balancer() blackboard.Controller {
	return blackboard.Every(balanceInterval, func(ctx context.Context) {
		v := o.board.Config.View()
		now := time.Now()
		if v == nil || !o.canOrder(v, now) {
			return
		}
		for name, p := range v.Pools {
			if !p.HasEngines() || p.RoleSwitchMillis == 0 {
				continue
			}
			changing := o.roleChanging()
			surplus, to := roles.Surplus(v, name, changing)
			persistent := o.persistentSurplus(name, len(surplus), to, now)
			if roles.Starved(v, name, changing) {
				persistent = len(surplus)
			}
			mine := o.orderableInPool(v, name, now)
			for _, e := range surplus[:persistent] {
				if mine[e.Name] {
					o.order(ctx, p, e, to, now)
				}
			}
		}
	})
}

// orderableInPool returns the runners of a pool that this host may order. Each call considers all
// runners of its failure domain, so that the tenure of a runner doesn't begin only when the
// first order is due: that took 5 s of the 9 s until a loss was replaced when members changed
// at the same time.
func (o *Owner) orderableInPool(v *config.View, pool string, now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, e := range o.orderable(v, now) {
		if e.Pool == pool && o.hasTenure(route.Number(e.Name), now) {
			out[e.Name] = true
		}
	}
	return out
}

// orderableCache caches the runners that a host may order, for one set of members and one view.
type orderableCache struct {
	members uint64
	view    *config.View
	validAt time.Time // when it was last found valid
	mine    []*config.Endpoint
}

// orderable returns the runners of the own failure domain whose orderer is this host. The
// result is cached until the members or the roster change, because it takes a scan of all
// endpoints and is needed very often.
func (o *Owner) orderable(v *config.View, now time.Time) []*config.Endpoint {
	members := o.board.Hosts.Members(now)
	o.balance.mu.Lock()
	last := o.balance.cache
	if last.members == members && last.view == v && now.Sub(last.validAt) <= maxCheckGap {
		o.balance.cache.validAt = now
		o.balance.mu.Unlock()
		return last.mine
	}
	o.balance.mu.Unlock()
	next := orderableCache{members: members, view: v, validAt: now}
	hosts := o.board.Hosts.Candidates(o.board.Settings.Domain, now)
	for number, e := range v.InDomain(o.board.Settings.Domain).All() {
		if o.updateTenure(hosts, number, now) == o.board.Number {
			next.mine = append(next.mine, e)
		}
	}
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	for number, t := range o.balance.tenures {
		if t.lastCheck != now { // not on the roster: others may order it in the meantime
			delete(o.balance.tenures, number)
		}
	}
	o.balance.cache = next
	return next.mine
}

// persistentSurplus returns how many surplus runners of a pool have persisted for long enough.
func (o *Owner) persistentSurplus(pool string, n int, to config.Role, now time.Time) int {
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	tracker := o.balance.imbalances[pool]
	if tracker == nil {
		tracker = new(roles.History)
		o.balance.imbalances[pool] = tracker
	}
	return tracker.Record(n, to, now)
}

// roleChanging returns a function that reports whether an endpoint is announced as changing to
// another role than the one it is registered with.
func (o *Owner) roleChanging() func(e *config.Endpoint) bool {
	numbers := map[uint32]bool{}
	o.board.Endpoints.Read(func(fleet *route.Fleet) {
		for s := range fleet.InWrongState() {
			numbers[s.Number] = true
		}
	})
	return func(e *config.Endpoint) bool { return len(numbers) > 0 && numbers[route.Number(e.Name)] }
}

// order sends one order, unless the last order to the runner is recent.
func (o *Owner) order(ctx context.Context, p *config.Pool, e *config.Endpoint, to config.Role, now time.Time) {
	if o.board.Config.View().IsEvacuated(e) {
		return
	}
	number := route.Number(e.Name)
	repeatAfter := config.Millis(p.RoleSwitchMillis) + orderSlack
	b := &o.balance
	b.mu.Lock()
	if at, done := b.orderedAt[number]; done && now.Sub(at) < repeatAfter {
		b.mu.Unlock()
		return
	}
	b.orderedAt[number] = now
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
	o.markRoleChanging(number, now.Add(repeatAfter))
}

// fenceJump is how far the fence is raised after a runner has seen a higher one. It exceeds
// the difference between the clocks of hosts.
const fenceJump = 3_600_000 // ms

// fenced reports whether an order was refused because of its fence.
func fenced(err error) bool {
	var ce *endpoint.CallError
	return errors.As(err, &ce) && ce.Status == http.StatusPreconditionFailed
}

// markRoleChanging keeps new work away from an endpoint until it has its new role.
func (o *Owner) markRoleChanging(number uint32, until time.Time) {
	o.mu.Lock()
	sched := o.schedulers[number]
	o.mu.Unlock()
	if sched == nil {
		return
	}
	sched.mu.Lock()
	sched.roleChangeUntil = until
	d := sched.digest(time.Now(), true)
	sched.mu.Unlock()
	o.board.Endpoints.Learn(d, time.Now())
}

// ObserveFence records a fence that some host has used.
func (o *Owner) ObserveFence(f uint64) {
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
