package owner

import (
	"context"
	"time"

	"github.com/embercove/embercove/queue"
	"github.com/embercove/embercove/result"
)

// Reserve answers a ReserveArgs from this or another host.
func (o *Owner) Reserve(ctx context.Context, a ReserveArgs) (ReserveReply, error) {
	o.board.Pause.Check()
	b, err := o.book(ctx, a.Endpoint)
	if err != nil {
		return ReserveReply{}, err
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger == nil {
		return ReserveReply{}, result.Errorf(result.NoEndpoint, "%s is no decode endpoint", b.spec.Name)
	}
	at, refusal := time.Time{}, o.refuseEmptied(b)
	if refusal == nil {
		at, refusal = b.reserve(now, a)
	}
	reply := ReserveReply{Code: result.OK, Digest: b.brief(now)}
	if refusal != nil {
		reply.Code, reply.Retry = refusal.Code, millis(refusal.RetryAfter)
		return reply, nil
	}
	reply.InMillis = max(0, millis(at.Sub(now)))
	if a.Spare == 0 { // nothing is sent for a copy
		o.Starts.Note(b.spec)
	}
	return reply, nil
}

// Enqueue answers an EnqueueArgs: it returns when the engine is free for the
// request, or as soon as it is clear that it won't be in time.
func (o *Owner) Enqueue(ctx context.Context, a EnqueueArgs) (EnqueueReply, error) {
	o.board.Pause.Check()
	b, err := o.book(ctx, a.Endpoint)
	if err != nil {
		return EnqueueReply{}, err
	}
	it, reply := o.admit(b, a)
	if it == nil {
		return reply, nil
	}
	refusal := o.await(ctx, b, it)
	b.mu.Lock()
	defer b.mu.Unlock()
	reply = EnqueueReply{Code: result.OK, Digest: b.brief(time.Now())}
	if refusal != nil {
		reply.Code, reply.Retry = refusal.Code, millis(refusal.RetryAfter)
		return reply, nil
	}
	o.Starts.Note(b.spec)
	return reply, nil
}

// admit puts a request into the queue; a nil item means that the reply is
// final.
func (o *Owner) admit(b *Book, a EnqueueArgs) (*queue.Item, EnqueueReply) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if refusal := o.refuseEmptied(b); refusal != nil {
		return nil, EnqueueReply{Code: refusal.Code, Retry: millis(refusal.RetryAfter), Digest: b.brief(now)}
	}
	it, refusal := b.admit(now, a)
	if refusal != nil {
		return nil, EnqueueReply{Code: refusal.Code, Retry: millis(refusal.RetryAfter), Digest: b.brief(now)}
	}
	return it, EnqueueReply{}
}

// await runs the queue until the item is called or refused. Each waiting
// request turns the queue itself, so that no busy worker can hold it up.
func (o *Owner) await(ctx context.Context, b *Book, it *queue.Item) *result.Error {
	for {
		due := b.turn(time.Now())
		var tick <-chan time.Time
		if !due.IsZero() {
			tick = time.After(max(time.Until(due), time.Millisecond))
		}
		select {
		case refusal := <-it.Answer:
			return refusal
		case <-tick:
		case <-ctx.Done():
			b.mu.Lock()
			b.queue.Take(it)
			b.mu.Unlock()
			return result.Errorf(result.CallerGone, "left the queue")
		}
	}
}

// turn calls the requests that are due and refuses those that came too late.
func (b *Book) turn(now time.Time) (due time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	send, late := b.queue.Next(now)
	for _, it := range send {
		it.Answer <- nil
	}
	for _, it := range late {
		it.Answer <- result.Errorf(result.TooLate, "the engine fell behind").After(b.queue.Backlog(now) + queue.Lookahead)
	}
	return b.queue.Due(now)
}

// Release ends what attempts hold.
func (o *Owner) Release(rs []Release) {
	now := time.Now()
	for _, r := range rs {
		o.mu.Lock()
		b := o.books[r.Endpoint]
		o.mu.Unlock()
		if b == nil {
			continue
		}
		b.mu.Lock()
		if it := b.release(now, r); it != nil {
			it.Answer <- result.Errorf(result.CallerGone, "given up while it waited")
		}
		b.mu.Unlock()
		if b.queue != nil {
			b.turn(now)
		}
	}
}
