package intake

import (
	"bytes"
	"context"
	"net"
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
	since    time.Time // when its caller began to rest, or its request to arrive
	lastByte time.Time // that was received
	writing  time.Time // since when a write is in progress; zero: none is
	headHeld int64     // of held, for the head that is arriving
}

// writeTimeout bounds one write to a caller that doesn't read.
const writeTimeout = 30 * time.Second

// unreadBuffer is the size of the kernel's buffer for what is received on a connection and isn't read soon.
const unreadBuffer = 4 << 10

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
		c.phase, c.since = headArriving, c.lastByte
	}
	return c.phase == headArriving
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

// LimitUnread limits what the kernel keeps of what the caller sends on and nobody reads.
func (c *Conn) LimitUnread() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = tcp.SetReadBuffer(unreadBuffer)
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
