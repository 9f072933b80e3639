package blackboard

import (
	"context"
	"sync"
	"time"
)

// Controller acts on the tables. Next returns one piece of work that is due, already claimed so
// that no other worker gets it, or the time to ask again; a zero time means not before a table
// changes. Next must not block.
type Controller interface {
	Next(now time.Time) (work func(ctx context.Context), again time.Time)
}

// Wake notifies waiting workers that a table changed.
type Wake struct {
	mu sync.Mutex
	ch chan struct{}
}

func newWake() *Wake { return &Wake{ch: make(chan struct{})} }

// All wakes every worker.
func (w *Wake) All() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.ch)
	w.ch = make(chan struct{})
}

// Wait returns a channel that closes at the next All.
func (w *Wake) Wait() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ch
}

// Pool runs controllers with a fixed number of workers.
type Pool struct {
	wake  *Wake
	pause *Pause
	ctrls []Controller
	wg    sync.WaitGroup
}

// NewPool returns a pool for the controllers; earlier ones have priority.
func NewPool(b *Board, ctrls ...Controller) *Pool {
	return &Pool{wake: b.Wake, pause: b.Pause, ctrls: ctrls}
}

// Start starts the workers. They end with ctx.
func (p *Pool) Start(ctx context.Context, workers int) {
	p.wg.Add(workers + 1)
	go func() {
		defer p.wg.Done()
		p.tick(ctx)
	}()
	for range workers {
		go func() {
			defer p.wg.Done()
			p.work(ctx)
		}()
	}
}

// Wait returns when every worker has ended.
func (p *Pool) Wait() { p.wg.Wait() }

// ticksInLimit is the number of ticks within the pause limit.
const ticksInLimit = 8

func (p *Pool) tick(ctx context.Context) {
	t := time.NewTicker(p.pause.limit / ticksInLimit)
	defer t.Stop()
	p.pause.tick()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.pause.tick()
		}
	}
}

// maxIdle is the maximum time a worker waits before it asks the controllers again.
const maxIdle = time.Second

func (p *Pool) work(ctx context.Context) {
	timer := time.NewTimer(maxIdle)
	defer timer.Stop()
	for ctx.Err() == nil {
		p.pause.Check()
		changed := p.wake.Wait()
		work, idle := p.next()
		if work != nil {
			work(ctx)
			continue
		}
		timer.Reset(idle)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
	}
}

// next returns work that is due, or how long to wait.
func (p *Pool) next() (func(context.Context), time.Duration) {
	now := time.Now()
	idle := maxIdle
	for _, c := range p.ctrls {
		work, again := c.Next(now)
		if work != nil {
			return work, 0
		}
		if !again.IsZero() {
			idle = min(idle, max(again.Sub(now), time.Millisecond))
		}
	}
	return nil, idle
}

// Every returns a controller that runs f every d, never concurrently.
func Every(d time.Duration, f func(ctx context.Context)) Controller {
	return &periodic{every: d, run: f}
}

type periodic struct {
	every time.Duration
	run   func(ctx context.Context)
	mu    sync.Mutex
	due   time.Time
	busy  bool
}

func (p *periodic) Next(now time.Time) (func(context.Context), time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return nil, time.Time{}
	}
	if now.Before(p.due) {
		return nil, p.due
	}
	p.busy = true
	p.due = now.Add(p.every)
	return func(ctx context.Context) {
		p.run(ctx)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.busy = false
	}, time.Time{}
}
