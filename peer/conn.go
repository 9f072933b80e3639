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

func counted(c net.Conn, t *meter.Traffic) countedConn {
	return countedConn{meter.Conn{Conn: c, Traffic: t}}
}

// trackedConn records when it was last read from.
type trackedConn struct {
	countedConn
	lastRead *atomic.Int64
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.countedConn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// net/rpc writes under a lock, so a write that hangs blocks every call on the connection. The
// time limit is per chunk and not per write, because a large answer may take longer over a narrow
// link.
const (
	chunkWriteTimeout = 2 * time.Second
	writeChunkBytes   = 16 << 10 // bytes: 13 ms over 10 Mbit/s
)

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		chunk := p[written:min(len(p), written+writeChunkBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(chunkWriteTimeout))
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
