package endpoint

import (
	"context"
	"net"
	"net/http/httptrace"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// Connected describes the connection of a call.
type Connected struct {
	New     bool   // it was opened for the call
	Gateway string // the host that passes it on; empty: none
}

// Tunneled is a connection to an endpoint that another host passes on.
type Tunneled interface {
	// Gateway returns the name of that host.
	Gateway() string
}

func connectedBy(conn net.Conn, isNew bool) Connected {
	c := Connected{New: isNew}
	if t, ok := conn.(Tunneled); ok {
		c.Gateway = t.Gateway()
	}
	return c
}

// ErrGivenUp is the cause of the end of a context whose attempt to connect was given up because
// the endpoint is unreachable.
var ErrGivenUp = errors.New("the endpoint is unreachable")

// NoPathError is an attempt to connect that failed on the way to the endpoint. Unlike a refused
// connection it doesn't show that nothing listens there.
type NoPathError struct {
	Address string
	Known   bool // the failure was known before, and nothing was tried
	// Confirmed tells that a host that reaches other endpoints doesn't reach this one.
	Confirmed bool
	Cause     error // why this host doesn't reach the endpoint; nil: it gets no answer
}

// Error implements the error interface.
func (n *NoPathError) Error() string {
	text := "neither this host nor another one reaches " + n.Address
	if n.Known {
		text += ", as it found lately"
	}
	if n.Cause != nil {
		text += ": " + n.Cause.Error()
	}
	return text
}

// freshKey is the key of WithFreshAttempt in a context.
type freshKey struct{}

// WithFreshAttempt returns a context for a call that connects even if it was found lately that no path leads to
// the endpoint: that says nothing about what has happened since.
func WithFreshAttempt(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

// IsFreshAttempt reports whether a context is one of WithFreshAttempt.
func IsFreshAttempt(ctx context.Context) bool { return ctx.Value(freshKey{}) != nil }

// Connecting is the attempt of one call to connect to its endpoint. The caller may end it until
// the endpoint accepts the connection; nothing was sent then. Its methods are safe for concurrent
// use.
type Connecting struct {
	// Called once, when the endpoint accepts the connection or an open one is used.
	onConnected func(Connected)

	mu        sync.Mutex
	connected bool
	ended     chan struct{} // closed by End
	cause     error         // of End
}

// NewConnecting returns the attempt of a call that begins now.
func NewConnecting(onConnected func(Connected)) *Connecting {
	return &Connecting{onConnected: onConnected, ended: make(chan struct{})}
}

// End ends the attempt for a cause, which is ErrGivenUp if the endpoint is unreachable. It reports
// whether the endpoint hasn't accepted the connection. It may be called once.
func (c *Connecting) End(cause error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected {
		c.cause = cause
		close(c.ended)
	}
	return !c.connected
}

// connect records that there is a connection, and reports whether the call may use it.
func (c *Connecting) connect(by Connected) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.ended:
		return false
	default:
	}
	if !c.connected {
		c.connected = true
		c.onConnected(by)
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
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { c.Connecting.connect(connectedBy(i.Conn, !i.Reused)) }})
}

// WatchedDial returns a dial function that ends with the Connecting of its call.
func WatchedDial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, ok := ctx.Value(connectingKey{}).(*Connecting)
		if !ok {
			return dial(ctx, network, address)
		}
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		go func() {
			select {
			case <-c.ended:
				cancel(c.cause)
			case <-ctx.Done():
			}
		}()
		conn, err := dial(ctx, network, address)
		if err == nil && !c.connect(connectedBy(conn, true)) {
			conn.Close()
			return nil, os.ErrDeadlineExceeded
		}
		return conn, err
	}
}
