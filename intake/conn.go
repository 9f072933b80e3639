package intake

import (
	"context"
	"net"
	"sync"
)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	release func() // of the listener's limit
	once    sync.Once
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
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
