package entry

import (
	"context"
	"sync"
	"time"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/request"
)

// A caller's deadline passes also while the machine is suspended. Timers stop then, and
// run for their full remaining time afterwards.

// deadlines holds the requests in progress that have a deadline.
type deadlines struct {
	mu   sync.Mutex
	byID map[request.ID]pendingDeadline
}

// pendingDeadline is the deadline of one request.
type pendingDeadline struct {
	end    time.Time // by package clock
	cancel context.CancelCauseFunc
}

// withDeadline returns a context that ends with a job's deadline, and a function to call
// when the job has ended.
func (e *Entry) withDeadline(ctx context.Context, j *job) (context.Context, func()) {
	ended, cancelCause := context.WithCancelCause(ctx)
	limited, cancel := context.WithDeadline(ended, j.arrived.Add(j.deadline))
	w := pendingDeadline{end: clock.Now().Add(time.Until(j.arrived.Add(j.deadline))), cancel: cancelCause}
	e.deadlines.mu.Lock()
	e.deadlines.byID[j.id] = w
	e.deadlines.mu.Unlock()
	return limited, func() {
		e.deadlines.mu.Lock()
		delete(e.deadlines.byID, j.id)
		e.deadlines.mu.Unlock()
		cancel()
		cancelCause(nil)
	}
}

// CancelExpired ends the requests whose deadlines have passed. It must be called after a
// pause: otherwise, after 10 s of suspension, a request with 3 s left stayed at its endpoint
// for 3 s more.
func (e *Entry) CancelExpired() {
	now := clock.Now()
	e.deadlines.mu.Lock()
	defer e.deadlines.mu.Unlock()
	for _, w := range e.deadlines.byID {
		if !now.Before(w.end) {
			w.cancel(context.DeadlineExceeded)
		}
	}
}
