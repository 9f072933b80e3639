package intake

import (
	"net/http"
	"time"
)

// phase is what the caller of a connection does.
type phase int

const (
	resting      phase = iota // there is no request
	headArriving              // the head of a request is arriving
	bodyArriving              // the body of a request is arriving
	running                   // the request has arrived, and its answer isn't complete
)

// need is how much a connection's caller needs what it holds, from the least on.
type need int

const (
	stalled need = iota // no byte passes
	slow                // the request has been arriving for long
	rested              // there has been no request for some time
	needed
)

func (n need) String() string { return [...]string{"it has stalled", "it is slow", "it rests", "-"}[n] }

// BeginRequest notes that the head of a request is there, and reports whether there is room for the request.
func (c *Conn) BeginRequest(q *http.Request) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	c.phase = bodyArriving
	if q.ContentLength == 0 {
		c.phase = running
	}
	counted := c.headHeld
	c.headHeld = 0
	c.mu.Unlock()
	c.memory.release(c, counted) // with the head may have come a part of the body
	return c.memory.acquire(c, requestBytes+requestHead(q))
}

// requestHead returns what the head of a request makes the host hold, in bytes.
func requestHead(q *http.Request) int64 {
	n := len(q.RequestURI)
	for name, values := range q.Header {
		n += len(name)
		for _, v := range values {
			n += fieldBytes + len(v)
		}
	}
	return int64(n)
}

// BodyArrived notes that the body of a request is there. It reports false if the connection was evicted before.
func (c *Conn) BodyArrived() bool {
	if c == nil {
		return true
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.evicted {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = running
	return true
}

// EndRequest releases what a request held, as its handler has returned.
func (c *Conn) EndRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.phase, c.since, c.headHeld = resting, time.Now(), 0
	c.mu.Unlock()
	c.memory.releaseRequest(c)
}

// Acquire has the request hold n more bytes, and reports whether there is room. It may wait until others have released some.
func (c *Conn) Acquire(n int) bool { return c == nil || c.memory.acquire(c, int64(n)) }

// Hold has the request hold n more bytes that exist already.
func (c *Conn) Hold(n int) {
	if c != nil {
		c.memory.hold(c, int64(n))
	}
}

// Release has the request hold n bytes less.
func (c *Conn) Release(n int) {
	if c != nil {
		c.memory.release(c, int64(n))
	}
}

// IsEvicted reports whether the connection was given up for others.
func (c *Conn) IsEvicted() bool {
	if c == nil {
		return false
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.evicted
}

// need returns how much the caller needs what it holds, and since when.
func (c *Conn) need(now time.Time) (need, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	arriving := c.phase == headArriving || c.phase == bodyArriving
	switch {
	case !c.writing.IsZero() && now.Sub(c.writing) > stalledAfter:
		return stalled, c.writing
	case arriving && now.Sub(c.lastByte) > stalledAfter:
		return stalled, c.lastByte
	case arriving && now.Sub(c.since) > slowAfter:
		return slow, c.since
	case c.phase == resting && now.Sub(c.since) > restedAfter:
		return rested, c.since
	}
	return needed, now
}

// interrupt ends what an evicted connection does. A request whose body is arriving is refused by its reader; otherwise the
// connection is closed, without what its caller hasn't read.
func (c *Conn) interrupt() {
	c.mu.Lock()
	arriving := c.phase == bodyArriving && c.writing.IsZero()
	c.mu.Unlock()
	if arriving {
		_ = c.Conn.SetReadDeadline(time.Now())
		return
	}
	c.ResetOnClose(true)
	_ = c.Conn.Close()
}
