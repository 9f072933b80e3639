package blackboard

import (
	"sync"
	"time"
)

// Answers records the calls of this host that other processes answered. A call that got no
// answer is evidence about its callee only if another one, begun no earlier, was answered in
// the meantime: otherwise this host's own link or processor may be what is slow.
//
// Its methods are safe for concurrent use.
type Answers struct {
	// Ping starts to ask other hosts for an answer, which it records. It reports false if there
	// is no host to ask. Set before use; nil: there is none.
	Ping func() bool

	mu           sync.Mutex
	lastBegan    time.Time // the latest beginning of a call that was answered
	pingBegan    time.Time // of the last ping
	noneToPing   bool      // the last ping found no host to ask
	waitingSince time.Time // beginning of the first call with a witness since the last answer; zero: none
}

// Record records the answer to a call that began at a given time.
func (a *Answers) Record(began time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waitingSince = time.Time{}
	if began.After(a.lastBegan) {
		a.lastBegan = began
	}
}

// AnsweredSince reports whether a call that began at a given time or later was answered.
func (a *Answers) AnsweredSince(began time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.lastBegan.Before(began)
}

// cutOffAfter is how long nobody may answer this host until it counts as cut off.
const cutOffAfter = time.Second

// CutOff reports whether this host counts as cut off from everybody: it waits for answers, and
// has got none for longer than they wait on a crowded link.
func (a *Answers) CutOff(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.waitingSince.IsZero() && now.Sub(a.waitingSince) > cutOffAfter
}

// wait records that a call with a witness begins.
func (a *Answers) wait(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waitingSince.IsZero() {
		a.waitingSince = now
	}
}

// pingShared is how long calls share one ping.
const pingShared = 10 * time.Millisecond

// ping asks other hosts, unless it was just done or a call that began no earlier was answered.
func (a *Answers) ping(began time.Time) {
	if !a.beginPing(began, time.Now()) {
		return
	}
	none := a.Ping == nil || !a.Ping()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noneToPing = none
}

// beginPing reports whether a ping is due for a call that began at a given time, and records it.
func (a *Answers) beginPing(began, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.pingBegan) < pingShared || !a.lastBegan.Before(began) {
		return false
	}
	a.pingBegan = now
	return true
}

// Witness is a call to another host beside a call that isn't answered yet.
type Witness struct {
	answers *Answers
	began   time.Time
	timer   *time.Timer
}

// Unless calls f after a delay, unless another call is answered by then. The caller must stop the
// timer that it returns.
func (w *Witness) Unless(delay time.Duration, f func()) *time.Timer {
	return time.AfterFunc(delay, func() {
		if !w.conclusive() {
			f()
		}
	})
}

// Witness returns a witness for a call that begins now. If that call takes longer than delay,
// other hosts are asked. The caller must call Stop.
func (a *Answers) Witness(delay time.Duration) *Witness {
	w := &Witness{answers: a, began: time.Now()}
	a.wait(w.began)
	w.timer = time.AfterFunc(delay, func() { a.ping(w.began) })
	return w
}

// Stop ends the witness. It reports whether the silence of the call says something about its
// callee: another call was answered in the meantime, or there is no other host to ask.
func (w *Witness) Stop() bool {
	w.timer.Stop()
	return w.conclusive()
}

func (w *Witness) conclusive() bool {
	w.answers.mu.Lock()
	defer w.answers.mu.Unlock()
	return w.answers.noneToPing || !w.answers.lastBegan.Before(w.began)
}
