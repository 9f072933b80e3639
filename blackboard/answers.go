package blackboard

import (
	"context"
	"sync"
	"time"
)

// Answers records the calls of this host that other processes answered. A call that got no
// answer is evidence about its callee only if another one, begun no earlier, was answered in
// the meantime: otherwise this host's own link or processor may be what is slow.
//
// Its methods are safe for concurrent use.
type Answers struct {
	// Ping asks another host for an answer, which it records. It reports false if there is no
	// host to ask. Set before use; nil: there is none.
	Ping func(ctx context.Context) bool

	mu        sync.Mutex
	lastBegan time.Time // the latest beginning of a call that was answered
	pingBegan time.Time // of the last ping
}

// Record records the answer to a call that began at a given time.
func (a *Answers) Record(began time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if began.After(a.lastBegan) {
		a.lastBegan = began
	}
}

// Since reports whether a call that began no earlier was answered.
func (a *Answers) Since(began time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lastBegan.Before(began)
}

// pingShared is how long calls share one ping.
const pingShared = 5 * time.Millisecond

// Witness is a call to another host beside a call that is not answered yet.
type Witness struct {
	answers *Answers
	began   time.Time
	timer   *time.Timer
	cancel  context.CancelFunc

	mu     sync.Mutex
	nobody bool // there is no other host to ask
}

// Witness returns a witness for a call that begins now. If that call takes longer than delay,
// another host is asked. The caller must call Stop.
func (a *Answers) Witness(ctx context.Context, delay time.Duration) *Witness {
	w := &Witness{answers: a, began: time.Now()}
	ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(delay, func() { w.ask(ctx) })
	return w
}

func (w *Witness) ask(ctx context.Context) {
	a, now := w.answers, time.Now()
	a.mu.Lock()
	shared := now.Sub(a.pingBegan) < pingShared
	if !shared {
		a.pingBegan = now
	}
	a.mu.Unlock()
	if shared || a.Since(w.began) {
		return
	}
	asked := a.Ping != nil && a.Ping(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nobody = !asked
}

// Stop ends the witness. It reports whether the silence of the call says something about its
// callee: another call was answered in the meantime, or there is no other host to ask.
func (w *Witness) Stop() bool {
	w.timer.Stop()
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nobody || w.answers.Since(w.began)
}
