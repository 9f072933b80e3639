package peer

import (
	"sync"
	"time"

	"github.com/embercove/embercove/clock"
)

// Hosts tell each other how old what they know is. Ages travel and not times, as clocks differ, so what a
// message waits on its way has to be added: over a link that callers fill it may wait for seconds.

// SentAt says when a process sent a message, by its own clock.
type SentAt struct {
	Incarnation uint64 // of the process
	Millis      int64  // since the process started; 0: unknown, as from hosts of earlier versions
}

// uptime returns how long the process has run.
func (r *Router) uptime() time.Duration { return clock.Now().Sub(r.startedAt) }

// sentNow returns the SentAt of a message that is sent now.
func (r *Router) sentNow() SentAt { return SentAt{r.board.Incarnation, 1 + r.uptime().Milliseconds()} }

// transits estimates how long messages were on their way: longer than the fastest recent one of the same
// process by the difference of their offsets between the two clocks. The zero value is ready to use.
type transits struct {
	mu      sync.Mutex
	offsets map[uint32]*clockOffset // by host
}

// clockOffset is the offset between the clocks of two processes that messages have shown.
type clockOffset struct {
	incarnation uint64
	least       recentLeast
}

// delay returns how much longer than the fastest recent one of its process a message was on its way that is
// read at an uptime of this process.
func (t *transits) delay(from uint32, sent SentAt, uptime time.Duration) time.Duration {
	if sent.Millis == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.offsets[from]
	if o == nil || o.incarnation != sent.Incarnation {
		if t.offsets == nil {
			t.offsets = map[uint32]*clockOffset{}
		}
		o = &clockOffset{incarnation: sent.Incarnation}
		t.offsets[from] = o
	}
	return o.least.excess(uptime-time.Duration(sent.Millis)*time.Millisecond, uptime)
}

// leastPeriod is for how long a least value counts at least. Clocks drift apart by some 20 ms in it.
const leastPeriod = 5 * time.Minute

// recentLeast is the least of recent values: of the current period and the one before. The zero value is ready to
// use.
type recentLeast struct {
	current, before time.Duration
	hasBefore       bool
	endsAt          time.Duration // of the current period; 0: there was no value yet
}

// excess adds a value at a time and returns how much greater it is than the least one.
func (l *recentLeast) excess(value, at time.Duration) time.Duration {
	switch {
	case l.endsAt == 0:
		l.current, l.endsAt = value, at+leastPeriod
	case at > l.endsAt:
		l.before, l.hasBefore = l.current, true
		l.current, l.endsAt = value, at+leastPeriod
	}
	l.current = min(l.current, value)
	least := l.current
	if l.hasBefore {
		least = min(least, l.before)
	}
	return value - least
}
