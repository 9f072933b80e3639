package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection of a caller. Its methods that tell what its caller makes the host hold do nothing on a nil Conn, which
// stands for a connection that nothing bounds.
type Conn struct {
	net.Conn
	memory *Memory
	free   func() // its place among the listener's connections
	once   sync.Once

	// Guarded by the lock of memory.
	held    int64 // in bytes
	evicted bool
	leaving int64 // of held, since it was evicted

	mu       sync.Mutex // locked after that of memory
	phase    phase
	since    time.Time // when the phase began
	lastByte time.Time // that was received
	writing  time.Time // since when a write is in progress; zero: none is
	headHeld int64     // of held, for the head that is arriving
}

// phase is what the caller of a connection does.
type phase int

const (
	resting  phase = iota // there is no request
	sendHead              // the head of a request is arriving
	sendBody              // the body of a request is arriving
	running               // the request has arrived, and its answer isn't complete
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

// writeTimeout bounds one write to a caller that doesn't read.
const writeTimeout = 30 * time.Second

// unreadBytes is the size of the kernel's buffer for what is received on a connection and isn't read soon.
const unreadBytes = 4 << 10

// errNoRoom is returned to the reader of a head for which there is no room. It is a time-out, so that net/http closes the
// connection without an answer.
var errNoRoom = &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}

// newConn returns the Conn of an accepted connection.
func newConn(inner net.Conn, m *Memory, free func()) *Conn {
	return &Conn{Conn: inner, memory: m, free: free, since: time.Now()}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.memory.remove(c)
		c.free()
	})
	return err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.noteRead() {
		if head := headBytes(p[:n]); c.memory.acquire(c, head) {
			c.noteHead(head)
		} else {
			return 0, errNoRoom
		}
	}
	return n, err
}

// noteRead notes that the caller has sent something, and reports whether that belongs to a head.
func (c *Conn) noteRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastByte = time.Now()
	if c.phase == resting {
		c.phase, c.since = sendHead, c.lastByte
	}
	return c.phase == sendHead
}

// noteHead notes what is held for a part of a head.
func (c *Conn) noteHead(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headHeld += n
}

// headBytes returns what a part of a head makes the host hold, in bytes.
func headBytes(part []byte) int64 {
	return int64(len(part)) + fieldBytes*int64(bytes.Count(part, []byte{'\n'}))
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	c.setWriting(now)
	defer c.setWriting(time.Time{})
	if err := c.Conn.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.memory.unread.Add(1)
	}
	return n, err
}

func (c *Conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = since
}

// BeginRequest notes that the head of a request is there, and reports whether there is room for the request.
func (c *Conn) BeginRequest(q *http.Request) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	c.phase = sendBody
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
	arriving := c.phase == sendHead || c.phase == sendBody
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
	arriving := c.phase == sendBody && c.writing.IsZero()
	c.mu.Unlock()
	if arriving {
		_ = c.Conn.SetReadDeadline(time.Now())
		return
	}
	c.ResetOnClose(true)
	_ = c.Conn.Close()
}

// LimitUnread limits what the kernel keeps of what the caller sends on and nobody reads.
func (c *Conn) LimitUnread() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = tcp.SetReadBuffer(unreadBytes)
	}
}

// ResetOnClose sets whether the connection is reset where it is closed, also by the end of the process. An answer that ends by the
// close of its connection looks whole otherwise.
func (c *Conn) ResetOnClose(resets bool) {
	tcp, ok := c.Conn.(interface{ SetLinger(sec int) error })
	switch {
	case !ok:
	case resets:
		_ = tcp.SetLinger(0)
	default:
		_ = tcp.SetLinger(-1)
	}
}

// connKey is the key of a Conn in the context of a request.
type connKey struct{}

// ConnOf returns the connection of a request, or nil if it isn't known.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
