package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// What a caller makes a host hold besides the bodies it sends, in bytes.
const (
	// connectionBytes is for a connection: its goroutine and buffers.
	connectionBytes = 16 << 10
	// requestBytes is for a request in progress: its goroutines, the call to an endpoint, and the pieces of its answer.
	requestBytes = 32 << 10
	// fieldBytes is for a field of a head, which may be two bytes long: its entry in a map of fields and the copies that
	// are forwarded.
	fieldBytes = 400
)

const (
	// smallHolding is what a connection may hold to count as small, in bytes.
	smallHolding = 128 << 10
	// largeShare is the share of the limit that large holdings may fill. The rest is for small ones.
	largeShare = 0.75
	// stalledAfter is after how long without a byte a caller that sends or receives is stalled.
	stalledAfter = 500 * time.Millisecond
	// slowAfter is after how long a request that still arrives is slow.
	slowAfter = 2 * time.Second
	// restedAfter is after how long without a request a connection may be closed for others.
	restedAfter = time.Second
	// evictTimeout bounds how long a caller waits for what others held.
	evictTimeout = time.Second
	// noneEvictableFor is for how long nothing is looked for after nothing was found.
	noneEvictableFor = 20 * time.Millisecond
)

// Memory bounds what callers make a host hold, from a connection's first byte to the end of its answer. A caller for which
// there is no room is refused, unless others hold theirs without need: those that have stalled or are slow are evicted.
//
// Its methods are safe for concurrent use.
type Memory struct {
	Log *zap.Logger // set before use

	refused atomic.Uint64
	evicted atomic.Uint64
	unread  atomic.Uint64 // writes that timed out

	mu        sync.Mutex
	limit     int64 // in bytes; 0: none
	held      int64
	leaving   int64 // of held, by evicted connections
	large     int   // connections that hold more than smallHolding
	largeHeld int64 // of held, by these
	conns     map[*Conn]struct{}
	waiting   int           // callers of acquire that wait
	released  chan struct{} // closed and replaced when something is released while they wait
	noneAt    time.Time     // when nothing could be evicted
	loggedAt  time.Time     // when an eviction was logged
}

// NewMemory returns a Memory without a limit.
func NewMemory() *Memory {
	return &Memory{Log: zap.NewNop(), conns: map[*Conn]struct{}{}, released: make(chan struct{})}
}

// SetLimit sets the limit in bytes; 0: none. What is held beyond a lower limit stays.
func (m *Memory) SetLimit(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = n
}

// admit has a new connection hold what it takes. It reports whether there is room, or will be soon.
func (m *Memory) admit(c *Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.fits(c, connectionBytes) && !m.evictFor(c, connectionBytes) {
		m.refused.Add(1)
		return false
	}
	m.conns[c] = struct{}{}
	m.change(c, connectionBytes)
	return true
}

// remove releases all that a connection holds.
func (m *Memory) remove(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.change(c, -c.held)
	delete(m.conns, c)
}

// acquire has a connection hold n more bytes. It reports whether there is room, after a wait if others are evicted for it.
func (m *Memory) acquire(c *Conn, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for until := (time.Time{}); !c.evicted; {
		if m.fits(c, n) {
			m.change(c, n)
			return true
		}
		now := time.Now()
		if until.IsZero() {
			until = now.Add(evictTimeout)
		}
		if !now.Before(until) || !m.evictFor(c, n) {
			break
		}
		m.awaitRelease(until.Sub(now))
	}
	m.refused.Add(1)
	return false
}

// awaitRelease waits until something is released, for a time at the most. The caller holds the lock, which it gives up
// meanwhile.
func (m *Memory) awaitRelease(limit time.Duration) {
	released := m.released
	m.waiting++
	m.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	}
	m.mu.Lock()
	m.waiting--
}

// hold has a connection hold n more bytes, whether there is room or not, as they are held already.
func (m *Memory) hold(c *Conn, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.change(c, n)
	if m.limit > 0 && m.held > m.limit {
		m.evictFor(c, 0)
	}
}

// release has a connection hold n bytes less.
func (m *Memory) release(c *Conn, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.change(c, -n)
}

// releaseRequest has a connection hold only what it takes itself.
func (m *Memory) releaseRequest(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.change(c, connectionBytes-c.held)
}

// change changes what a connection holds. The caller holds the lock.
func (m *Memory) change(c *Conn, n int64) {
	if _, open := m.conns[c]; !open || n == 0 {
		return
	}
	m.countLarge(c, -1)
	c.held += n
	m.held += n
	m.countLarge(c, 1)
	if n < 0 {
		gone := min(-n, c.leaving)
		c.leaving -= gone
		m.leaving -= gone
		if m.waiting > 0 {
			close(m.released)
			m.released = make(chan struct{})
		}
	}
}

// countLarge adds a connection to the large ones, or takes it from them by a sign of -1, if it is one. The caller holds the lock.
func (m *Memory) countLarge(c *Conn, sign int) {
	if c.held > smallHolding {
		m.large += sign
		m.largeHeld += int64(sign) * c.held
	}
}

// fits reports whether there is room for a connection to hold n more bytes. The only large holding fits always, so that a
// request that is large for the limit is served. The caller holds the lock.
func (m *Memory) fits(c *Conn, n int64) bool {
	if m.limit == 0 || m.excess(c, n) <= 0 {
		return true
	}
	isLarge := c.held > smallHolding
	return c.held+n > smallHolding && (m.large == 0 || m.large == 1 && isLarge)
}

// excess returns by how much too much is held if a connection holds n more bytes. What the only large holding has beyond the
// share of large ones takes no room from small ones. The caller holds the lock.
func (m *Memory) excess(c *Conn, n int64) int64 {
	forLarge := int64(largeShare * float64(m.limit))
	if c.held+n > smallHolding {
		return m.held + n - forLarge
	}
	return m.held - m.largeHeld + min(m.largeHeld, forLarge) + n - m.limit
}

// evictFor evicts connections until a given one may hold n more bytes once they have ended, and reports whether it may. The
// caller holds the lock.
func (m *Memory) evictFor(c *Conn, n int64) bool {
	for m.excess(c, n)-m.leaving > 0 {
		if !m.evictOne(c) {
			return false
		}
	}
	return true
}

// evictOne evicts the connection that holds its memory with the least need, other than a given one. It reports whether there
// was one. The caller holds the lock.
func (m *Memory) evictOne(except *Conn) bool {
	now := time.Now()
	if now.Sub(m.noneAt) < noneEvictableFor {
		return false
	}
	var worst *Conn
	var worstNeed need
	var worstSince time.Time
	for c := range m.conns {
		if c == except || c.evicted {
			continue
		}
		if n, since := c.need(now); n < needed && (worst == nil || n < worstNeed || n == worstNeed && since.Before(worstSince)) {
			worst, worstNeed, worstSince = c, n, since
		}
	}
	if worst == nil {
		m.noneAt = now
		return false
	}
	m.evicted.Add(1)
	worst.evicted, worst.leaving = true, worst.held
	m.leaving += worst.leaving
	m.logEviction(worst, worstNeed, worstSince, now)
	go worst.interrupt()
	return true
}

// evictionLogInterval is the least time between two log lines about evictions, of which a crowd causes many.
const evictionLogInterval = time.Second

// logEviction logs that a connection is evicted. The caller holds the lock.
func (m *Memory) logEviction(c *Conn, n need, since, now time.Time) {
	if now.Sub(m.loggedAt) < evictionLogInterval {
		return
	}
	m.loggedAt = now
	m.Log.Warn("callers' connections are given up for others", zap.Stringer("caller", c.RemoteAddr()), zap.Stringer("because", n),
		zap.Duration("for", now.Sub(since)), zap.Int64("held_bytes", c.held), zap.Int64("held_by_all_bytes", m.held), zap.Uint64("evicted", m.evicted.Load()))
}

// EvictOne evicts a connection so that another one can be accepted, if there is one that isn't needed.
func (m *Memory) EvictOne() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evictOne(nil)
}

// MemoryStatus is the state of a Memory as operators see it.
type MemoryStatus struct {
	HeldBytes   int64  `json:"held_bytes"`
	LimitBytes  int64  `json:"limit_bytes"` // 0: none
	Connections int    `json:"connections"`
	Refused     uint64 `json:"refused"` // times that there was no room
	Evicted     uint64 `json:"evicted"` // connections that were given up for others
	Unread      uint64 `json:"unread"`  // writes that timed out, as the caller read nothing
}

// Status returns the state shown to operators.
func (m *Memory) Status() MemoryStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryStatus{HeldBytes: m.held, LimitBytes: m.limit, Connections: len(m.conns), Refused: m.refused.Load(), Evicted: m.evicted.Load(), Unread: m.unread.Load()}
}
