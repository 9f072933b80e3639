package endpoint

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ReportLosses returns a dial function whose connections report their loss to whoever reads. The kernel reports it once, to
// the first call that asks: if that is a write, the next read would return io.EOF, as at the end of an answer without a length.
func ReportLosses(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &lossConn{Conn: conn}, nil
	}
}

// lossConn is a connection of ReportLosses. Nobody else may set its write deadline.
type lossConn struct {
	net.Conn
	ended atomic.Bool // a read has returned io.EOF

	writing sync.Mutex // held by each write
	lost    error      // guarded by writing
}

// Write implements net.Conn.
func (c *lossConn) Write(p []byte) (n int, err error) {
	for {
		var written int
		written, err = c.write(p[n:])
		n += written
		if !c.ended.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

func (c *lossConn) write(p []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(p)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// isLoss reports whether the error of a write tells that the connection is lost. EPIPE is the error if the peer had ended its side
// before, and of each write after a loss.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn.
func (c *lossConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if lost := c.loss(); lost != nil {
			err = lost
		}
	}
	return n, err
}

// loss returns the loss that a write was told of; nil: the peer has ended its side. A write in progress may have been told, so it is
// interrupted, and goes on if it wasn't.
func (c *lossConn) loss() error {
	if !c.writing.TryLock() {
		c.ended.Store(true)
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
	defer c.writing.Unlock()
	return c.lost
}

// SetKeepAliveConfig sets the keep-alive probes of a TCP connection.
func (c *lossConn) SetKeepAliveConfig(k net.KeepAliveConfig) error {
	if tcp, ok := c.Conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		return tcp.SetKeepAliveConfig(k)
	}
	return nil
}
