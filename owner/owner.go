// Package owner decides for the endpoints that this entry host owns: it keeps
// the ledger of decode memory and the queue before prefill, polls the
// endpoints, frees what is orphaned and sends orders.
//
// An endpoint's owner is the host of its failure domain that wins a
// rendezvous hash over the live, not leaving hosts. Nobody elects it: hosts
// that see the same members agree, and while they don't, two may own one
// endpoint. That costs a refused admission at the engine and breaks no
// promise, because no promise rests on the ledger.
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

// Peers is what an owner asks of other entry hosts.
type Peers interface {
	// Claims asks a host which of the attempts it still holds.
	Claims(ctx context.Context, host blackboard.Host, attempts []request.Attempt) ([]bool, error)
	// Handover tells a host what its predecessor reserved.
	Handover(ctx context.Context, host blackboard.Host, h Handover) error
	// Inherit asks a host what it has reserved of an endpoint.
	Inherit(ctx context.Context, host blackboard.Host, endpoint uint32) (Handover, error)
	// Vote asks a host for its votes for endpoints whose starts are given out.
	Vote(ctx context.Context, host blackboard.Host, a VoteArgs) (VoteReply, error)
	// Heard takes in what an answer of an endpoint to this host said of its limit.
	Heard(spec *config.Endpoint, w pace.Word)
	// LimitTold takes in what another host told of an endpoint's limit.
	LimitTold(spec *config.Endpoint, t pace.Told)
}

// Owner holds the books of owned endpoints.
type Owner struct {
	board  *blackboard.Board
	engine endpoint.Engine
	peers  Peers
	log    *zap.Logger

	mu    sync.Mutex
	books map[uint32]*Book

	balance balance
	Starts  *Starts // at endpoints that are cold or name a limit

	nextAdopt time.Time
	owned     map[uint32]bool // nil: not worked out yet
	ownedBy   ownedBy

	// Counters for metrics and tests.
	Reaped   atomic.Uint64 // orphaned attempts that were cancelled
	Orders   atomic.Uint64 // orders sent
	Takeover atomic.Uint64 // endpoints taken over
	Polls    atomic.Uint64 // calls to endpoints for control
	// TurnedAway counts requests refused as their endpoint's failure domain is emptied.
	TurnedAway atomic.Uint64
}

// New returns an owner without books.
func New(b *blackboard.Board, e endpoint.Engine, log *zap.Logger) *Owner {
	o := &Owner{board: b, engine: e, log: log, books: map[uint32]*Book{}}
	o.balance.ordered, o.balance.looks, o.balance.orderer = map[uint32]time.Time{}, map[string]*roles.Looks{}, map[uint32]tenure{}
	o.Starts = newStarts(b, func() Peers { return o.peers }, log)
	b.Pause.OnWake(o.dropBeliefs)
	return o
}

// SetPeers sets how other hosts are reached, before the owner is used.
func (o *Owner) SetPeers(p Peers) { o.peers = p }

// Of returns the host that owns an endpoint, by this host's view of the
// members. ok is false when the domain has no live host.
func Of(b *blackboard.Board, v *config.View, e *config.Endpoint, now time.Time) (blackboard.Host, bool) {
	switch v.Doc.Policy.Mode {
	case config.ModeShare:
		return b.Hosts.Self(), true
	case config.ModeDispatcher:
		return b.Hosts.First(uint64(route.Number(string(e.Role))), v.Doc.Domains[0].Name, now)
	}
	key := uint64(route.Number(e.Name))
	if h, ok := b.Hosts.First(key, e.Domain, now); ok {
		return h, true
	}
	// The domain has lost its hosts; another domain's may still reach it.
	return b.Hosts.FirstOfRegion(key, v.Region[e.Domain], now)
}

// share is the part of an endpoint that this host's ledger may give out:
// all of it, or under the fixed shares of baseline B one part for each host.
func (o *Owner) share(v *config.View) float64 {
	if v.Doc.Policy.Mode != config.ModeShare {
		return 1
	}
	return 1 / float64(max(1, o.board.Hosts.Len()))
}

// takeoverTimeout bounds the reading of an endpoint's list at a takeover.
const takeoverTimeout = 300 * time.Millisecond

// book returns the book of an endpoint, taking the endpoint over if need be:
// a new owner starts from the endpoint's own list of what it runs.
func (o *Owner) book(ctx context.Context, number uint32) (*Book, error) {
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
	b := o.books[number]
	if b == nil || b.role != spec.Role {
		b = o.open(v, spec, now)
	}
	o.mu.Unlock()
	b.mu.Lock()
	b.fit(v, o.share(v))
	b.used = now
	ready := b.ready
	b.mu.Unlock()
	if !ready {
		o.takeOver(ctx, b)
	}
	return b, nil
}

// open begins a book of an endpoint with the pace that others of its pool show;
// the caller holds the lock.
func (o *Owner) open(v *config.View, spec *config.Endpoint, now time.Time) *Book {
	b := newBook(v, spec, o.share(v), now)
	pace := o.poolPace(spec)
	if b.queue != nil && pace.SlowPct > 0 {
		b.queue.Pace.Inherit(float64(pace.SlowPct)/100, duration(int(pace.LagMillis)))
	}
	if b.ledger != nil {
		b.ledger.InheritPace(pace.SlowPct)
	}
	o.books[b.number] = b
	o.Takeover.Add(1)
	return b
}

// mostPaces is how many endpoints' paces make a median.
const mostPaces = 64

// poolPace returns the medians of the paces that are told of endpoints like this one.
func (o *Owner) poolPace(spec *config.Endpoint) (d route.Digest) {
	var slow, lag []uint32
	o.board.Endpoints.Read(func(fleet *route.Fleet) {
		for _, s := range fleet.Alike(spec) {
			if s.Digest.SlowPct > 0 && len(slow) < mostPaces {
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

// takeOver asks the host that owned the endpoint before for what it reserved,
// and reads the endpoint's list. When both fail the book starts empty: the
// engine's admission then corrects it.
func (o *Owner) takeOver(ctx context.Context, b *Book) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	if b.ledger != nil && b.spec.GrowsMemory && o.inherit(ctx, b) {
		return
	}
	list, err := o.engine.Requests(ctx, b.spec.Address)
	o.Polls.Add(1)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		o.takeList(b, now, list)
	}
	b.ready = true
}

// dropBeliefs forgets what was known before a pause of the process. Waiting
// requests are refused: their callers have long gone elsewhere.
func (o *Owner) dropBeliefs(now time.Time) {
	o.mu.Lock()
	books := o.books
	for number := range o.owned {
		o.board.Endpoints.SetOwn(number, false)
	}
	o.books, o.owned = map[uint32]*Book{}, nil
	o.mu.Unlock()
	for _, b := range books {
		b.mu.Lock()
		if b.queue != nil {
			for _, it := range b.queue.Clear() {
				it.Answer <- result.Errorf(result.NoEndpoint, "the owner was paused").After(time.Second)
			}
		}
		b.mu.Unlock()
	}
}

// Digests returns fresh digests of the endpoints that this host owns.
func (o *Owner) Digests(now time.Time) []route.Digest {
	v := o.board.Config.View()
	if v == nil {
		return nil
	}
	reserves := v.Doc.Policy.Mode.Reserves()
	o.mu.Lock()
	books := make([]*Book, 0, len(o.books))
	for _, b := range o.books {
		books = append(books, b)
	}
	o.mu.Unlock()
	var out []route.Digest
	for _, b := range books {
		if !o.owns(v, b, now) {
			continue
		}
		b.mu.Lock()
		if b.ready {
			out = append(out, b.digest(now, reserves))
		}
		b.mu.Unlock()
	}
	return out
}

// owns reports whether this host is the book's owner by its own view.
func (o *Owner) owns(v *config.View, b *Book, now time.Time) bool {
	spec := v.Endpoints.Get(b.number)
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
