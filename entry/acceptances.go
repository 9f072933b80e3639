package entry

import (
	"context"
	"sync"
	"time"

	"github.com/embercove/embercove/internal/wait"
)

// Owners learn late that an engine accepts nothing. So a single request is handed over to an
// engine first, and others follow once the engine has accepted it.

const (
	// acceptanceValid is how long others follow a request that an engine has accepted.
	acceptanceValid = time.Second
	// refusalValid is how long no request is handed over to an engine that refused one.
	refusalValid = 2 * time.Second
	// maxPending is how long others wait for an answer to the first.
	maxPending = 2 * time.Second
	// acceptancePoll is the time between two checks whether the first request was accepted.
	acceptancePoll = 10 * time.Millisecond
	// maxAcceptanceWait bounds the wait for that; a prefill takes some 100 ms.
	maxAcceptanceWait = 300 * time.Millisecond
)

// acceptances records which engines accepted requests that were handed over to them.
type acceptances struct {
	mu      sync.Mutex
	engines map[string]*acceptance // by endpoint name
}

// acceptance is what is known of one engine.
type acceptance struct {
	pending    *handover // handed over and not answered yet; nil: none
	pendingAt  time.Time // since when
	acceptedAt time.Time
	refusedAt  time.Time
}

// enter waits until a request may be handed over to an engine, and reports whether it may.
func (a *acceptances) enter(ctx context.Context, engine string, h *handover) bool {
	for end := time.Now().Add(maxAcceptanceWait); ; {
		if a.tryEnter(engine, h) {
			return true
		}
		if a.hasRefused(engine) || time.Now().After(end) || !wait.For(ctx, acceptancePoll) {
			return false
		}
	}
}

// hasRefused reports whether an engine refused the last request that was handed over to it.
func (a *acceptances) hasRefused(engine string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.engines[engine]
	return r != nil && time.Since(r.refusedAt) < refusalValid
}

func (a *acceptances) tryEnter(engine string, h *handover) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.engines[engine]
	switch {
	case r == nil:
		a.engines[engine] = &acceptance{pending: h, pendingAt: time.Now()}
		return true
	case time.Since(r.refusedAt) < refusalValid:
		return false
	case time.Since(r.acceptedAt) < acceptanceValid:
		return true
	case r.pending != nil && time.Since(r.pendingAt) < maxPending:
		return false
	}
	r.pending, r.pendingAt = h, time.Now()
	return true
}

// leave records what an engine did with a request; accepted and refused are false if it
// wasn't called.
func (a *acceptances) leave(engine string, h *handover, accepted, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if r := a.engines[engine]; r != nil {
		if accepted {
			r.acceptedAt = now
		}
		if refused {
			r.refusedAt = now
		}
		if r.pending == h {
			r.pending = nil
		}
	}
	for name, r := range a.engines {
		if r.pending == nil && now.Sub(r.acceptedAt) >= acceptanceValid && now.Sub(r.refusedAt) >= refusalValid {
			delete(a.engines, name)
		}
	}
}
