package entry

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// watchdog cancels a call that makes no progress.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
	moves atomic.Uint64 // signs of progress
	fired atomic.Bool
	begun bool // the answer has begun
	first time.Time
	last  time.Time
}

// newWatchdog returns a watchdog that cancels after limit. If lives is not nil it is
// asked first whether the endpoint lives; one that does is waited for.
func newWatchdog(limit time.Duration, cancel func(), lives func() bool) *watchdog {
	w := &watchdog{limit: limit}
	w.timer = time.AfterFunc(limit, func() {
		moves := w.moves.Load()
		if lives != nil && lives() {
			w.timer.Reset(askAgain)
			return
		}
		if w.moves.Load() != moves {
			return // it went on in the meantime, and the timer is set
		}
		w.fired.Store(true)
		cancel()
	})
	return w
}

// begin sets the limit that holds once the answer has begun.
func (w *watchdog) begin(limit time.Duration) {
	w.begun, w.limit, w.first = true, limit, time.Now()
}

func (w *watchdog) progress() {
	w.last = time.Now()
	w.moves.Add(1)
	w.timer.Reset(w.limit)
}

func (w *watchdog) stop() { w.timer.Stop() }

// since returns the time from the first piece to the last.
func (w *watchdog) since() time.Duration {
	if !w.begun {
		return 0
	}
	return w.last.Sub(w.first)
}

// An engine that writes nothing is asked for its report, which takes no place there.
// One that answers lives and is only slow: its answer is waited for, because a run that
// is given up where it might go on may be run twice. One that says nothing is down or
// out of reach.
const (
	askWait  = 60 * time.Millisecond  // for an answer; a report takes some milliseconds
	askTimes = 2                      // a single packet that is lost is no sign
	askAgain = 500 * time.Millisecond // until a silent engine that lives is asked again
)

// asks returns how an engine is asked whether it lives before it is given up; nil: it is
// not asked. One whose answer can't go on from a copy is judged by its silence alone.
func (e *Entry) asks(ctx context.Context, p *plan) func() bool {
	if p.copy == nil {
		return nil
	}
	address := p.dec.Address
	return func() bool { return e.lives(ctx, address) }
}

// lives reports whether an engine that is silent answers, or may well: only one that
// says nothing at all, or at whose address nothing listens, counts as lost.
func (e *Entry) lives(ctx context.Context, address string) bool {
	for range askTimes {
		limited, cancel := context.WithTimeout(ctx, askWait)
		_, err := e.engine.State(limited, address)
		silent := limited.Err() != nil
		cancel()
		switch {
		case ctx.Err() != nil:
			return true // the call is over
		case errors.Is(err, syscall.ECONNREFUSED):
			return false
		case !silent:
			return true
		}
	}
	return false
}
