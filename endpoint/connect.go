package endpoint

import (
	"context"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
)

// Connecting is the attempt of one call to connect to its endpoint. The caller may end it until
// the endpoint accepts the connection; nothing was sent then. Its methods are safe for concurrent
// use.
type Connecting struct {
	// Called once, when the endpoint accepts the connection or an open one is used.
	onConnected func(isNew bool)

	mu        sync.Mutex
	connected bool
	ended     chan struct{} // closed by End
}

// NewConnecting returns the attempt of a call that begins now.
func NewConnecting(onConnected func(isNew bool)) *Connecting {
	return &Connecting{onConnected: onConnected, ended: make(chan struct{})}
}

// End ends the attempt, and reports whether the endpoint hasn't accepted the connection. It may be
// called once.
func (c *Connecting) End() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected {
		close(c.ended)
	}
	return !c.connected
}

// connect records that there is a connection, and reports whether the call may use it.
func (c *Connecting) connect(isNew bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.ended:
		return false
	default:
	}
	if !c.connected {
		c.connected = true
		c.onConnected(isNew)
	}
	return true
}

type connectingKey struct{}

// ConnectContext returns the context for the HTTP request of the call, over a transport that dials
// with WatchedDial.
func (c *Call) ConnectContext(ctx context.Context) context.Context {
	if c.Connecting == nil {
		return ctx
	}
	ctx = context.WithValue(ctx, connectingKey{}, c.Connecting)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { c.Connecting.connect(!i.Reused) }})
}

// WatchedDial returns a dial function that ends with the Connecting of its call.
func WatchedDial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, ok := ctx.Value(connectingKey{}).(*Connecting)
		if !ok {
			return dial(ctx, network, address)
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-c.ended:
				cancel()
			case <-ctx.Done():
			}
		}()
		conn, err := dial(ctx, network, address)
		if err == nil && !c.connect(true) {
			conn.Close()
			return nil, os.ErrDeadlineExceeded
		}
		return conn, err
	}
}
