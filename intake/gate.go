// Package intake bounds what a host takes in from its callers.
//
// What callers send shares the host's link and processor with what the host hears of the platform, of
// endpoints and of other hosts. If callers send more than these carry, a host that takes in everything hears
// nothing in time any more, serves almost nobody, and knows neither. So a host whose calls to others wait
// holds new callers off until they don't: it closes its listener for a moment, so that their connections are
// refused before they cost anything, and refuses requests whose bodies are still to come. Callers go to
// another host at once.
package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/internal/wait"
)

// Limits of the delay that calls to other hosts may have, beyond their fastest round trip.
const (
	// suspiciousDelay is the delay of a call or of a caller's bytes from which the host measures.
	suspiciousDelay = 50 * time.Millisecond
	// shutDelay is the delay from which callers are held off. Calls between hosts time out soon after it.
	shutDelay = 100 * time.Millisecond
	// openDelay is the delay up to which callers are admitted again.
	openDelay = 50 * time.Millisecond
	// probeTimeout bounds one measurement.
	probeTimeout = 2 * shutDelay
	// probeInterval is the time between two measurements.
	probeInterval = 25 * time.Millisecond
	// shutRounds is how many measurements in a row have to show a delay: a collection of garbage delays one.
	shutRounds = 2
	// minArriving is how many requests have to arrive for what callers send to be the cause of a delay.
	minArriving = 4
	// restInterval is the least time between two series of measurements, which cost three calls each.
	restInterval = 100 * time.Millisecond
	// maxShut bounds how long callers are held off at a time, so that a delay which has another cause ends no
	// service.
	maxShut = time.Second
	// minOpen is for how long callers are admitted after that.
	minOpen = 500 * time.Millisecond
	// recentFor is for how long after a measurement its delay counts.
	recentFor = time.Second
)

// Probe measures the delay of calls to other hosts, beyond their fastest round trip. It returns false for
// answered if nobody answered before ctx ended, and false for asked if there is nobody to ask.
type Probe func(ctx context.Context) (delay time.Duration, answered, asked bool)

// Gate holds callers off while the host's calls to others wait.
//
// Its methods are safe for concurrent use.
type Gate struct {
	Probe  Probe       // set before Run
	Log    *zap.Logger // set before Run
	Memory *Memory     // that callers make the host hold

	suspected chan struct{}
	refused   atomic.Uint64

	mu         sync.Mutex
	window     window
	full       bool // as many requests arrive as the window allows
	shut       bool
	changedAt  time.Time // when shut last changed
	heldOpen   time.Time // until when the gate stays open
	delay      time.Duration
	measuredAt time.Time
	shutCount  uint64
	shutFor    time.Duration // in total, without the current time
	onChange   []func()
}

// NewGate returns an open gate.
func NewGate() *Gate {
	return &Gate{suspected: make(chan struct{}, 1), Log: zap.NewNop(), Memory: NewMemory()}
}

// NoteDelay notes how long a call, or something that callers sent, took beyond what it should have. If that is
// long, the delay of calls to other hosts is measured.
func (g *Gate) NoteDelay(d time.Duration) {
	if d < suspiciousDelay {
		return
	}
	select {
	case g.suspected <- struct{}{}:
	default:
	}
}

// Admits reports whether a further request may begin to arrive.
func (g *Gate) Admits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.shut && !g.full
}

// Arriving returns how many requests arrive.
func (g *Gate) Arriving() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.window.arriving
}

// IsOverfull reports whether more requests arrive than the window has room for, since it has shrunk.
func (g *Gate) IsOverfull() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut && g.window.isOverfull()
}

// IsBounded reports whether the window is bounded, as callers were held off a short time ago. Answers then close
// their connections: a request on an open one costs part of its body even if it is refused, and on their way back
// callers may find another host.
func (g *Gate) IsBounded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.window.size > 0
}

// begin notes that a request begins to arrive. It must be ended.
func (g *Gate) begin() { g.arrive(1) }

// end notes that a request has arrived, or won't.
func (g *Gate) end() { g.arrive(-1) }

// arrive changes the number of requests that arrive.
func (g *Gate) arrive(change int) {
	g.mu.Lock()
	full := g.window.arrive(change, time.Now())
	changed := full != g.full
	g.full = full
	onChange := g.onChange
	g.mu.Unlock()
	if changed {
		notify(onChange)
	}
}

func notify(onChange []func()) {
	for _, f := range onChange {
		f()
	}
}

// Delay returns the delay of calls to other hosts that was measured last, or 0 if that is too long ago.
func (g *Gate) Delay(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.measuredAt) > recentFor {
		return 0
	}
	return g.delay
}

// CountRefused counts a request that was refused because callers are held off.
func (g *Gate) CountRefused() { g.refused.Add(1) }

// onEachChange has f called whenever what Admits returns may have changed.
func (g *Gate) onEachChange(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onChange = append(g.onChange, f)
}

// Run measures whenever something was late, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.suspected:
			g.measureUntilCalm(ctx)
		}
	}
}

// measureUntilCalm measures, and shuts and opens the gate, until there is no delay any more.
func (g *Gate) measureUntilCalm(ctx context.Context) {
	for late := 0; ctx.Err() == nil; {
		delay := g.measure(ctx)
		if delay > shutDelay {
			late++
		} else {
			late = 0
		}
		g.decide(time.Now(), delay, late >= shutRounds)
		if delay <= openDelay {
			wait.For(ctx, restInterval)
			return
		}
		wait.For(ctx, probeInterval)
	}
	g.set(false, 0)
}

// measure makes one measurement. A delay that isn't known is at least probeTimeout if requests arrive slowly, or
// did when the gate shut. Otherwise the host is cut off from others, and what callers send isn't the cause.
func (g *Gate) measure(ctx context.Context) time.Duration {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	delay, answered, asked := g.Probe(limited)
	switch {
	case answered:
		return delay
	case asked && (g.isShut() || g.Arriving() > 0):
		return probeTimeout
	}
	return 0
}

func (g *Gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}

// decide shuts or opens the gate after a measurement.
func (g *Gate) decide(now time.Time, delay time.Duration, late bool) {
	g.mu.Lock()
	g.delay, g.measuredAt = delay, now
	shut, tooLong := g.shut, now.Sub(g.changedAt) > maxShut
	mayShut := !now.Before(g.heldOpen) && g.window.arriving >= minArriving
	if shut && tooLong {
		g.heldOpen = now.Add(minOpen)
	}
	if shut && late {
		g.window.shrink(now)
	}
	g.mu.Unlock()
	switch {
	case shut && (delay <= openDelay || tooLong):
		g.set(false, delay)
	case !shut && late && mayShut:
		g.set(true, delay)
	}
}

// set shuts or opens the gate.
func (g *Gate) set(shut bool, delay time.Duration) {
	g.mu.Lock()
	now := time.Now()
	if g.shut == shut {
		g.mu.Unlock()
		return
	}
	lasted := now.Sub(g.changedAt)
	g.shut, g.changedAt = shut, now
	if shut {
		g.shutCount++
		g.window.shrink(now)
	} else {
		g.shutFor += lasted
	}
	onChange := g.onChange
	g.mu.Unlock()
	notify(onChange)
	if shut {
		g.Log.Warn("callers are held off", zap.Duration("delay", delay))
	} else {
		g.Log.Info("callers are admitted again", zap.Duration("delay", delay), zap.Duration("after", lasted))
	}
}
