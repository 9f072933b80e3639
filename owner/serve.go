package owner

import (
	"context"
	"time"

	"github.com/embercove/embercove/queue"
	"github.com/embercove/embercove/result"
)

// Reserve handles a ReserveArgs from this or another host.
func (o *Owner) Reserve(ctx context.Context, a ReserveArgs) (ReserveReply, error) {
	o.board.Pause.Check()
	a = a.bounded()
	sched, err := o.scheduler(ctx, a.Endpoint)
	if err != nil {
		return ReserveReply{}, err
	}
	now := time.Now()
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if sched.ledger == nil {
		return ReserveReply{}, result.Errorf(result.NoEndpoint, "endpoint %s is not a decode endpoint", sched.spec.Name)
	}
	at, refusal := time.Time{}, o.refuseEvacuated(sched)
	if refusal == nil {
		at, refusal = sched.reserve(now, a)
	}
	reply := ReserveReply{Code: result.OK, Digest: sched.brief(now)}
	if refusal != nil {
		reply.Code, reply.Retry = refusal.Code, millis(refusal.RetryAfter)
		return reply, nil
	}
	reply.InMillis = max(0, millis(at.Sub(now)))
	if a.Spare == 0 { // no request is sent for a replica
		o.Permits.RecordSent(sched.spec)
	}
	return reply, nil
}

// Enqueue handles an EnqueueArgs from this or another host. It returns when the engine is free
// for the request, or as soon as it is clear that it won't be in time.
func (o *Owner) Enqueue(ctx context.Context, a EnqueueArgs) (EnqueueReply, error) {
	o.board.Pause.Check()
	a = a.bounded()
	sched, err := o.scheduler(ctx, a.Endpoint)
	if err != nil {
		return EnqueueReply{}, err
	}
	it, reply := o.admit(sched, a)
	if it == nil {
		return reply, nil
	}
	refusal := o.await(ctx, sched, it)
	sched.mu.Lock()
	defer sched.mu.Unlock()
	reply = EnqueueReply{Code: result.OK, Digest: sched.brief(time.Now())}
	if refusal != nil {
		reply.Code, reply.Retry = refusal.Code, millis(refusal.RetryAfter)
		return reply, nil
	}
	o.Permits.RecordSent(sched.spec)
	return reply, nil
}

// admit adds a request to the queue. If it returns a nil item, the reply is final.
func (o *Owner) admit(sched *Scheduler, a EnqueueArgs) (*queue.Item, EnqueueReply) {
	now := time.Now()
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if refusal := o.refuseEvacuated(sched); refusal != nil {
		return nil, EnqueueReply{Code: refusal.Code, Retry: millis(refusal.RetryAfter), Digest: sched.brief(now)}
	}
	it, refusal := sched.admit(now, a)
	if refusal != nil {
		return nil, EnqueueReply{Code: refusal.Code, Retry: millis(refusal.RetryAfter), Digest: sched.brief(now)}
	}
	return it, EnqueueReply{}
}

// await runs the queue until the item is admitted to the engine or refused. Each waiting request
// runs the queue itself, so that no busy worker can delay it.
func (o *Owner) await(ctx context.Context, sched *Scheduler, it *queue.Item) *result.Error {
	for {
		due := sched.runQueue(time.Now())
		var tick <-chan time.Time
		if !due.IsZero() {
			tick = time.After(max(time.Until(due), time.Millisecond))
		}
		select {
		case refusal := <-it.Result:
			return refusal
		case <-tick:
		case <-ctx.Done():
			sched.mu.Lock()
			sched.queue.Remove(it)
			sched.mu.Unlock()
			return result.Errorf(result.CallerGone, "the caller left while the request was queued")
		}
	}
}

// runQueue admits the requests that are due to the engine and refuses those that are too late.
func (s *Scheduler) runQueue(now time.Time) (due time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	send, late := s.queue.Next(now)
	for _, it := range send {
		it.Result <- nil
	}
	for _, it := range late {
		it.Result <- result.Errorf(result.TooLate, "the engine fell behind").After(s.queue.Backlog(now) + queue.Lookahead)
	}
	return s.queue.Due(now)
}

// Release frees what attempts hold.
func (o *Owner) Release(rs []Release) {
	now := time.Now()
	for _, r := range rs {
		r = r.bounded()
		o.mu.Lock()
		sched := o.schedulers[r.Endpoint]
		o.mu.Unlock()
		if sched == nil {
			continue
		}
		sched.mu.Lock()
		if it := sched.release(now, r); it != nil {
			it.Result <- result.Errorf(result.CallerGone, "abandoned while it was queued")
		}
		sched.mu.Unlock()
		if sched.queue != nil {
			sched.runQueue(now)
		}
	}
}
