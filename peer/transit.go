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

// transits estimates how long messages were on their way: longer than the fastest recent one of the same
// process by the difference of their offsets between the two clocks. The zero value is ready to use.
type transits struct {
	mu      sync.Mutex
	offsets map[uint32]*clockOffset // by host
}

// clockOffset is the least difference between the clocks of two processes that messages have shown.
type clockOffset struct {
	incarnation  uint64
	least        time.Duration // in the current period
	leastBefore  time.Duration // in the period before
	periodEndsAt time.Duration // since this process started
	hasBefore    bool          // leastBefore is set
}

// offsetPeriod is for how long a least offset is used at least. Clocks drift apart by some 20 ms in it.
const offsetPeriod = 5 * time.Minute

// uptime returns how long the process has run.
func (r *Router) uptime() time.Duration { return clock.Now().Sub(r.startedAt) }

// sentNow returns the SentAt of a message that is sent now.
func (r *Router) sentNow() SentAt { return SentAt{r.board.Incarnation, 1 + r.uptime().Milliseconds()} }

// delay returns how much longer than the fastest recent one of its process a message was on its way that is
// read at an uptime of this process.
func (t *transits) delay(from uint32, sent SentAt, uptime time.Duration) time.Duration {
	if sent.Millis == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	offset := uptime - time.Duration(sent.Millis)*time.Millisecond
	o := t.offsets[from]
	if o == nil || o.incarnation != sent.Incarnation {
		if t.offsets == nil {
			t.offsets = map[uint32]*clockOffset{}
		}
		o = &clockOffset{incarnation: sent.Incarnation, least: offset, periodEndsAt: uptime + offsetPeriod}
		t.offsets[from] = o
	}
	if uptime > o.periodEndsAt {
		o.leastBefore, o.least, o.hasBefore, o.periodEndsAt = o.least, offset, true, uptime+offsetPeriod
	}
	o.least = min(o.least, offset)
	least := o.least
	if o.hasBefore {
		least = min(least, o.leastBefore)
	}
	return offset - least
}
