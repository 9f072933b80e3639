package blackboard

import (
	"sync"
	"sync/atomic"
	"time"
)

// Pause notices that the process was stopped for a while and woke up, with
// beliefs that are no longer true. Every loop that acts on a belief calls
// Check first.
type Pause struct {
	limit time.Duration
	start time.Time
	last  atomic.Int64 // monotonic, ns since start
	count atomic.Uint64

	mu     sync.Mutex
	onWake []func(now time.Time)
}

// NewPause returns a detector for gaps longer than limit. The pool's
// ticker moves the mark several times within limit.
func NewPause(limit time.Duration) *Pause { return &Pause{limit: limit, start: time.Now()} }

// OnWake adds what drops beliefs. It runs before Check returns.
func (p *Pause) OnWake(f func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onWake = append(p.onWake, f)
}

// Check reports whether a pause was noticed by this call; it then has run
// the functions of OnWake.
func (p *Pause) Check() bool {
	now := time.Now()
	at := now.Sub(p.start)
	last := time.Duration(p.last.Load())
	if at-last <= p.limit {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if at-time.Duration(p.last.Load()) <= p.limit {
		return false // another goroutine saw to it
	}
	p.last.Store(int64(at))
	if last == 0 {
		return false // the first tick
	}
	p.count.Add(1)
	for _, f := range p.onWake {
		f(now)
	}
	return true
}

// tick is Touch by the ticker: it moves the mark after checking the gap.
func (p *Pause) tick() {
	p.Check()
	p.last.Store(int64(time.Since(p.start)))
}

// Count returns how many pauses were noticed.
func (p *Pause) Count() uint64 { return p.count.Load() }
