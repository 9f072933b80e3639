package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/ledger"
)

// HandOverAll sends this leaving host's reservations, which the endpoints may not know of
// yet, to its successors. Requests in its own queues are still served from here until the
// queues are empty.
func (o *Owner) HandOverAll(ctx context.Context) {
	v := o.board.Config.View()
	if v == nil || o.peers == nil {
		return
	}
	now := time.Now()
	o.mu.Lock()
	schedulers := make([]*Scheduler, 0, len(o.schedulers))
	for _, sched := range o.schedulers {
		schedulers = append(schedulers, sched)
	}
	o.mu.Unlock()
	for _, sched := range schedulers {
		next, ok := Of(o.board, v, sched.spec, now)
		if sched.ledger == nil || !ok || next.Number == o.board.Number {
			continue
		}
		o.sendHandover(ctx, next, sched, now)
	}
}

// sendHandover sends a successor this host's reservations at an endpoint.
func (o *Owner) sendHandover(ctx context.Context, next blackboard.Host, sched *Scheduler, now time.Time) {
	if err := o.peers.Handover(ctx, next, sched.handover(now)); err != nil {
		o.log.Warn("hand-over failed; the successor starts from the endpoint's list", zap.String("endpoint", sched.spec.Name), zap.Error(err))
	}
}

// inherit gets the reservations of the host that would own the endpoint without this one.
// It reports whether that host knew the endpoint's state.
func (o *Owner) inherit(ctx context.Context, sched *Scheduler) bool {
	if o.peers == nil {
		return false
	}
	now := time.Now()
	for _, h := range o.board.Hosts.Order(uint64(sched.number), sched.spec.Domain, now) {
		if h.Number == o.board.Number || h.Unconfirmed || h.Peers == "" {
			continue
		}
		received, err := o.peers.Inherit(ctx, h, sched.number)
		if err != nil {
			return false
		}
		sched.accept(now, received)
		sched.mu.Lock()
		defer sched.mu.Unlock()
		sched.ready = true
		return received.Known
	}
	return false
}

// Reservations returns this host's reservations at an endpoint, for a successor that takes it over.
func (o *Owner) Reservations(endpoint uint32) Handover {
	o.mu.Lock()
	sched := o.schedulers[endpoint]
	o.mu.Unlock()
	if sched == nil || sched.ledger == nil {
		return Handover{Endpoint: endpoint}
	}
	return sched.handover(time.Now())
}

func (s *Scheduler) handover(now time.Time) Handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := Handover{Endpoint: s.number, Known: s.ready}
	for _, r := range s.ledger.Rows() {
		h.Rows = append(h.Rows, HandoverRow{Attempt: r.Request.Attempt, Team: r.Request.Team, Tokens: r.Request.Tokens + r.Request.MaxAnswer, MaxAnswer: r.Request.MaxAnswer,
			Expected: r.Request.Expected, Mark: r.Request.IDHash, Start: millis(r.Start.Sub(now)), Moved: millis(r.TransferEnd.Sub(now)), Lease: millis(r.Lease.Sub(now)), Seen: r.Seen})
	}
	return h
}

// AcceptHandover records a predecessor's reservations.
func (o *Owner) AcceptHandover(ctx context.Context, h Handover) error {
	sched, err := o.scheduler(ctx, h.Endpoint)
	if err != nil {
		return err
	}
	sched.accept(time.Now(), h)
	return nil
}

// accept adds another owner's reservations to the ledger.
func (s *Scheduler) accept(now time.Time, h Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil {
		return
	}
	for _, r := range h.Rows {
		r = r.bounded()
		req := ledger.Request{Attempt: r.Attempt, Team: r.Team, Tokens: r.Tokens - r.MaxAnswer, MaxAnswer: r.MaxAnswer, Expected: r.Expected, IDHash: r.Mark}
		s.ledger.Accept(ledger.Row{Request: req, Start: now.Add(duration(r.Start)), TransferEnd: now.Add(duration(r.Moved)), Lease: now.Add(duration(r.Lease)), Seen: r.Seen})
	}
}

// QueuedRequests returns the number of requests in this host's queues.
func (o *Owner) QueuedRequests() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, sched := range o.schedulers {
		sched.mu.Lock()
		if sched.queue != nil {
			n += sched.queue.Len()
		}
		sched.mu.Unlock()
	}
	return n
}
