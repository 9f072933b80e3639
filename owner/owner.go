// Package owner schedules work for the endpoints that this entry host owns. It
// keeps the ledger of decode memory and the prefill queue, polls the endpoints,
// cancels orphaned attempts and sends orders.
//
// The owner of an endpoint is the host of its failure domain that wins a
// rendezvous hash over the live hosts that are not leaving. There is no election:
// hosts with the same view of the members agree. While views differ, two hosts may
// own the same endpoint. The engine then refuses an admission now and then, but no
// guarantee is broken, because none depends on the ledger.
package owner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/roles"
	"github.com/embercove/embercove/route"
)

// Peers makes an owner's calls to other entry hosts.
type Peers interface {
	// Claims asks a host which of the attempts it still has open.
	Claims(ctx context.Context, host blackboard.Host, attempts []request.Attempt) ([]bool, error)
	// Handover sends a host the reservations made by its predecessor.
	Handover(ctx context.Context, host blackboard.Host, h Handover) error
	// Inherit asks a host for its reservations at an endpoint.
	Inherit(ctx context.Context, host blackboard.Host, endpoint uint32) (Handover, error)
	// Vote asks a host for its votes for the endpoints that need start permits.
	Vote(ctx context.Context, host blackboard.Host, a VoteArgs) (VoteReply, error)
	// ReceiveLimit records the limit that an endpoint named in a response to this host.
	ReceiveLimit(spec *config.Endpoint, w pace.Report)
	// ReceivePeerLimit records an endpoint's limit as reported by another host.
	ReceivePeerLimit(spec *config.Endpoint, t pace.WireReport)
}

// Owner holds the schedulers of owned endpoints.
type Owner struct {
	board  *blackboard.Board
	engine endpoint.Engine
	peers  Peers
	log    *zap.Logger

	mu         sync.Mutex
	schedulers map[uint32]*Scheduler

	balance balance
	Permits *Permits // permits for endpoints that are cold or name a limit

	nextAdopt time.Time
	owned     map[uint32]bool // nil: not computed yet
	ownedFor  ownershipInputs

	// Counters for metrics and tests.
	Reaped    atomic.Uint64 // orphaned attempts that were cancelled
	Orders    atomic.Uint64 // orders sent
	Takeovers atomic.Uint64 // endpoints taken over
	Polls     atomic.Uint64 // control calls to endpoints
	// EvacuationRefusals counts requests refused because their endpoint's failure domain is evacuated.
	EvacuationRefusals atomic.Uint64
}

// New returns an owner without schedulers.
func New(b *blackboard.Board, e endpoint.Engine, log *zap.Logger) *Owner {
	o := &Owner{board: b, engine: e, log: log, schedulers: map[uint32]*Scheduler{}}
	o.balance.orderedAt, o.balance.imbalances, o.balance.tenures = map[uint32]time.Time{}, map[string]*roles.History{}, map[uint32]tenure{}
	o.Permits = newPermits(b, func() Peers { return o.peers }, log)
	b.Pause.OnWake(o.resetAfterPause)
	return o
}

// SetPeers sets the client for calls to other hosts. It must be called before the owner is used.
func (o *Owner) SetPeers(p Peers) { o.peers = p }

// Of returns the host that owns an endpoint according to this host's view of the
// members. ok is false if the domain has no live host.
func Of(b *blackboard.Board, v *config.View, e *config.Endpoint, now time.Time) (blackboard.Host, bool) {
	switch v.Doc.Policy.Mode {
	case config.ModeFixedShare:
		return b.Hosts.Self(), true
	case config.ModeDispatcher:
		return b.Hosts.First(uint64(route.Number(string(e.Role))), v.Doc.Domains[0].Name, now)
	}
	key := uint64(route.Number(e.Name))
	if h, ok := b.Hosts.First(key, e.Domain, now); ok {
		return h, true
	}
	// The domain has no host left, but hosts of other domains may still reach its endpoints.
	return b.Hosts.FirstOfRegion(key, v.Region[e.Domain], now)
}

// share is the part of an endpoint's capacity that this host's ledger may allocate:
// all of it, or one equal part per host in the fixed-share mode (baseline B).
func (o *Owner) share(v *config.View) float64 {
	if v.Doc.Policy.Mode != config.ModeFixedShare {
		return 1
	}
	return 1 / float64(max(1, o.board.Hosts.Len()))
}

// takeoverTimeout bounds the calls made to take an endpoint over or to hand it over.
const takeoverTimeout = 300 * time.Millisecond

// scheduler returns the scheduler of an endpoint and takes the endpoint over if necessary.
// A new owner starts from the endpoint's own list of running requests.
func (o *Owner) scheduler(ctx context.Context, number uint32) (*Scheduler, error) {
	v := o.board.Config.View()
	if v == nil {
		return nil, result.Errorf(result.NotReady, "no configuration yet")
	}
	spec := v.Endpoints.Get(number)
	if spec == nil {
		return nil, result.Errorf(result.NoEndpoint, "endpoint %d is not in revision %d", number, v.Revision)
	}
	now := time.Now()
	o.mu.Lock()
	sched := o.schedulers[number]
	if sched == nil || sched.role != spec.Role {
		sched = o.openScheduler(v, spec, now)
	}
	o.mu.Unlock()
	sched.mu.Lock()
	sched.applyView(v, o.share(v))
	sched.lastUsed = now
	ready := sched.ready
	sched.mu.Unlock()
	if !ready {
		o.takeOver(ctx, sched)
	}
	return sched, nil
}

// openScheduler creates the scheduler of an endpoint. Its initial pace is the median of similar
// endpoints. The caller holds the lock.
func (o *Owner) openScheduler(v *config.View, spec *config.Endpoint, now time.Time) *Scheduler {
	sched := newScheduler(v, spec, o.share(v), now)
	pace := o.medianPace(spec)
	if sched.queue != nil && pace.SlowPct > 0 {
		sched.queue.Pace.Inherit(float64(pace.SlowPct)/100, duration(int(pace.LagMillis)))
	}
	if sched.ledger != nil {
		sched.ledger.InheritPace(pace.SlowPct)
	}
	o.schedulers[sched.number] = sched
	o.Takeovers.Add(1)
	return sched
}

// maxPaceSamples is the maximum number of endpoints whose paces are sampled for a median.
const maxPaceSamples = 64

// medianPace returns the median of the paces reported for endpoints like this one.
func (o *Owner) medianPace(spec *config.Endpoint) (d route.Digest) {
	var slow, lag []uint32
	o.board.Endpoints.Read(func(fleet *route.Fleet) {
		for _, s := range fleet.Siblings(spec) {
			if s.Digest.SlowPct > 0 && len(slow) < maxPaceSamples {
				slow = append(slow, uint32(s.Digest.SlowPct))
				lag = append(lag, s.Digest.LagMillis)
			}
		}
	})
	if len(slow) == 0 {
		return d
	}
	slices.Sort(slow)
	slices.Sort(lag)
	d.SlowPct, d.LagMillis = uint16(slow[len(slow)/2]), lag[len(lag)/2]
	return d
}

// takeOver loads the state of an endpoint: the previous owner's reservations, or else
// the endpoint's own list. If both fail the scheduler starts empty, and refusals by the
// engine correct it.
func (o *Owner) takeOver(ctx context.Context, sched *Scheduler) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	if sched.ledger != nil && sched.spec.GrowsMemory && o.inherit(ctx, sched) {
		return
	}
	list, err := o.engine.Requests(ctx, sched.spec.Address)
	o.Polls.Add(1)
	now := time.Now()
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if err == nil {
		o.applyList(sched, now, list)
	}
	sched.ready = true
}

// resetAfterPause drops all state from before a pause of the process. Queued requests are
// refused, because their hosts have placed them elsewhere in the meantime.
func (o *Owner) resetAfterPause(now time.Time) {
	o.mu.Lock()
	schedulers := o.schedulers
	for number := range o.owned {
		o.board.Endpoints.SetOwn(number, false)
	}
	o.schedulers, o.owned = map[uint32]*Scheduler{}, nil
	o.mu.Unlock()
	for _, sched := range schedulers {
		sched.mu.Lock()
		if sched.queue != nil {
			for _, it := range sched.queue.Clear() {
				it.Result <- result.Errorf(result.NoEndpoint, "the owner's process was paused").After(time.Second)
			}
		}
		sched.mu.Unlock()
	}
}

// Digests returns current digests of the endpoints that this host owns.
func (o *Owner) Digests(now time.Time) []route.Digest {
	v := o.board.Config.View()
	if v == nil {
		return nil
	}
	reserves := v.Doc.Policy.Mode.Reserves()
	o.mu.Lock()
	schedulers := make([]*Scheduler, 0, len(o.schedulers))
	for _, sched := range o.schedulers {
		schedulers = append(schedulers, sched)
	}
	o.mu.Unlock()
	var out []route.Digest
	for _, sched := range schedulers {
		if !o.owns(v, sched, now) {
			continue
		}
		sched.mu.Lock()
		if sched.ready {
			out = append(out, sched.digest(now, reserves))
		}
		sched.mu.Unlock()
	}
	return out
}

// owns reports whether this host owns the endpoint according to its own view.
func (o *Owner) owns(v *config.View, sched *Scheduler, now time.Time) bool {
	spec := v.Endpoints.Get(sched.number)
	if spec == nil {
		return false
	}
	h, ok := Of(o.board, v, spec, now)
	return ok && h.Number == o.board.Number
}

// Owned lists the names of the endpoints that this host owns.
func (o *Owner) Owned(now time.Time) []string {
	v := o.board.Config.View()
	if v == nil {
		return nil
	}
	var out []string
	for _, e := range v.Endpoints.All() {
		if h, ok := Of(o.board, v, e, now); ok && h.Number == o.board.Number {
			out = append(out, e.Name)
		}
	}
	return out
}
