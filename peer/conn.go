package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/meter"
)

// countedConn counts a connection's traffic and bounds its writes.
type countedConn struct {
	meter.Conn
}

func counted(c net.Conn, t *meter.Traffic) countedConn { return countedConn{meter.Conn{Conn: c, T: t}} }

// notedConn notes when it was last read from.
type notedConn struct {
	countedConn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c *notedConn) Read(p []byte) (int, error) {
	n, err := c.countedConn.Read(p)
	if n > 0 {
		c.read.Store(time.Now().UnixNano())
	}
	return n, err
}

// net/rpc writes under a lock, so a write that hung would hold up every call on
// the connection. Each piece of a write has to be taken in time; a large answer may
// take longer over a narrow link.
const (
	writeLimit = 2 * time.Second
	writePiece = 16 << 10 // bytes: 13 ms over 10 Mbit/s
)

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
