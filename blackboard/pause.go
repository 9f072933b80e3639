package blackboard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/clock"
)

// Pause detects that the process was stopped for a while, or its machine suspended, so that its
// state is out of date. Every loop that acts on such state calls Check first.
//
// It measures by package clock. By time.Now a machine that was suspended for 10 s shows no gap at
// all, and leases, votes and reports of other hosts seemed younger by that time.
type Pause struct {
	limit       time.Duration
	now         func() time.Time // clock.Now, or a test's clock
	start       time.Time
	lastCheck   atomic.Int64 // ns since start
	heldUpUntil atomic.Int64 // end of the last gap longer than heldUp, ns since start; 0: none
	count       atomic.Uint64

	mu     sync.Mutex
	onWake []func(now time.Time)
}

// NewPause returns a detector for gaps longer than limit. The pool's ticker calls it several
// times within limit.
func NewPause(limit time.Duration) *Pause { return newPause(limit, clock.Now) }

func newPause(limit time.Duration, now func() time.Time) *Pause {
	return &Pause{limit: limit, now: now, start: now()}
}

// OnWake adds a function that drops outdated state. It runs before Check returns.
func (p *Pause) OnWake(f func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onWake = append(p.onWake, f)
}

// Check reports whether this call detected a pause. If so, it has run the functions of OnWake.
func (p *Pause) Check() bool {
	at := p.now().Sub(p.start)
	last := time.Duration(p.lastCheck.Load())
	if at-last <= p.limit {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if at-time.Duration(p.lastCheck.Load()) <= p.limit {
		return false // another goroutine has handled it
	}
	p.mark(at)
	if last == 0 {
		return false // the first tick
	}
	p.count.Add(1)
	for _, f := range p.onWake {
		f(time.Now())
	}
	return true
}

// tick is called by the ticker. It checks the gap and then records the time.
func (p *Pause) tick() {
	p.Check()
	p.mark(p.now().Sub(p.start))
}

// heldUpTicks is the number of missing ticks after which the process counts as held up. One tick
// may be late on a busy machine.
const heldUpTicks = 2

// heldUp returns the gap from which the process counts as held up.
func (p *Pause) heldUp() time.Duration { return heldUpTicks * p.limit / ticksInLimit }

// mark sets the time of the last check, and records whether the process was held up before it.
func (p *Pause) mark(at time.Duration) {
	if last := time.Duration(p.lastCheck.Swap(int64(at))); last > 0 && at-last > p.heldUp() {
		p.heldUpUntil.Store(int64(at))
	}
}

// RanSince reports whether the process has run since a given time without being held up, even for
// less than a pause. A message that is read after the process was held up may have arrived long
// before.
func (p *Pause) RanSince(at time.Time) bool {
	now := p.now().Sub(p.start)
	if last := time.Duration(p.lastCheck.Load()); last > 0 && now-last > p.heldUp() {
		return false
	}
	held := time.Duration(p.heldUpUntil.Load())
	return held == 0 || now-held > time.Since(at)
}

// Count returns the number of pauses detected.
func (p *Pause) Count() uint64 { return p.count.Load() }
