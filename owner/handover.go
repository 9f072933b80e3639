package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/ledger"
)

// HandOver tells the successors of this leaving host what it reserved that
// the endpoints can't know of yet. Requests that wait in its queues are
// called from here until none is left.
func (o *Owner) HandOver(ctx context.Context) {
	v := o.board.Config.View()
	if v == nil || o.peers == nil {
		return
	}
	now := time.Now()
	o.mu.Lock()
	books := make([]*Book, 0, len(o.books))
	for _, b := range o.books {
		books = append(books, b)
	}
	o.mu.Unlock()
	for _, b := range books {
		next, ok := Of(o.board, v, b.spec, now)
		if b.ledger == nil || !ok || next.Number == o.board.Number {
			continue
		}
		o.handTo(ctx, next, b, now)
	}
}

// handTo tells a successor what this host reserved of an endpoint.
func (o *Owner) handTo(ctx context.Context, next blackboard.Host, b *Book, now time.Time) {
	if err := o.peers.Handover(ctx, next, b.handover(now)); err != nil {
		o.log.Warn("hand-over failed; the successor starts from the endpoint's list", zap.String("endpoint", b.spec.Name), zap.Error(err))
	}
}

// inherit asks the host that would own the endpoint without this one for what
// it reserved, and reports whether it told.
func (o *Owner) inherit(ctx context.Context, b *Book) bool {
	if o.peers == nil {
		return false
	}
	now := time.Now()
	for _, h := range o.board.Hosts.Order(uint64(b.number), b.spec.Domain, now) {
		if h.Number == o.board.Number || h.Doubted || h.Peers == "" {
			continue
		}
		told, err := o.peers.Inherit(ctx, h, b.number)
		if err != nil {
			return false
		}
		b.accept(now, told)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ready = true
		return told.Known
	}
	return false
}

// Tell answers a successor that takes an endpoint over.
func (o *Owner) Tell(endpoint uint32) Handover {
	o.mu.Lock()
	b := o.books[endpoint]
	o.mu.Unlock()
	if b == nil || b.ledger == nil {
		return Handover{Endpoint: endpoint}
	}
	return b.handover(time.Now())
}

func (b *Book) handover(now time.Time) Handover {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := Handover{Endpoint: b.number, Known: b.ready}
	for _, r := range b.ledger.Rows() {
		h.Rows = append(h.Rows, HandoverRow{Attempt: r.Ask.Attempt, Team: r.Ask.Team, Tokens: r.Ask.Tokens + r.Ask.MaxAnswer, MaxAnswer: r.Ask.MaxAnswer,
			Expected: r.Ask.Expected, Mark: r.Ask.Mark, Start: millis(r.Start.Sub(now)), Moved: millis(r.Moved.Sub(now)), Lease: millis(r.Lease.Sub(now)), Seen: r.Seen})
	}
	return h
}

// Accept takes in a predecessor's reservations.
func (o *Owner) Accept(ctx context.Context, h Handover) error {
	b, err := o.book(ctx, h.Endpoint)
	if err != nil {
		return err
	}
	b.accept(time.Now(), h)
	return nil
}

// accept takes in the rows of another owner.
func (b *Book) accept(now time.Time, h Handover) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger == nil {
		return
	}
	for _, r := range h.Rows {
		ask := ledger.Ask{Attempt: r.Attempt, Team: r.Team, Tokens: r.Tokens - r.MaxAnswer, MaxAnswer: r.MaxAnswer, Expected: r.Expected, Mark: r.Mark}
		b.ledger.Accept(ledger.Row{Ask: ask, Start: now.Add(duration(r.Start)), Moved: now.Add(duration(r.Moved)), Lease: now.Add(duration(r.Lease)), Seen: r.Seen})
	}
}

// Waiting returns how many requests wait in this host's queues.
func (o *Owner) Waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, b := range o.books {
		b.mu.Lock()
		if b.queue != nil {
			n += b.queue.Len()
		}
		b.mu.Unlock()
	}
	return n
}
