package intake

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Listener is a listener for callers that is closed while a gate admits none, so that connections are refused.
// It listens anew once the gate admits some.
type Listener struct {
	gate   *Gate
	listen func() (net.Listener, error)
	addr   net.Addr
	slots  chan struct{} // holds a value for each open connection
	done   chan struct{} // closed with the listener

	mu      sync.Mutex
	inner   net.Listener // nil while the gate admits nobody
	closed  bool
	changed chan struct{} // closed and replaced when inner or closed changes
}

// relistenTimeout is for how long listening anew may fail until the listener gives up.
const (
	relistenTimeout  = 5 * time.Second
	relistenInterval = 20 * time.Millisecond
)

// NewListener returns a listener that listens by the given function. It has at most maxConnections open ones.
func NewListener(g *Gate, maxConnections int, listen func() (net.Listener, error)) (*Listener, error) {
	inner, err := listen()
	if err != nil {
		return nil, err
	}
	l := &Listener{gate: g, listen: listen, addr: inner.Addr(), inner: inner, changed: make(chan struct{}),
		slots: make(chan struct{}, maxConnections), done: make(chan struct{})}
	g.onEachChange(l.onGate)
	return l, nil
}

// onGate closes the inner listener if the gate admits nobody, and wakes Accept.
func (l *Listener) onGate() {
	admits := l.gate.Admits()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !admits && l.inner != nil {
		l.inner.Close()
		l.inner = nil
	}
	l.wake()
}

// wake wakes Accept. The caller holds the lock.
func (l *Listener) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Accept implements net.Listener. The connection is a Conn. One for which there is no room is closed.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.acquireSlot(); err != nil {
		return nil, err
	}
	release := func() { <-l.slots }
	for {
		inner, err := l.accept()
		if err != nil {
			release()
			return nil, err
		}
		if c := newConn(inner, l.gate.Memory, release); l.gate.Memory.admit(c) {
			return c, nil
		}
		inner.Close()
	}
}

// evictInterval is the time between two looks for a connection that can be closed for a new one.
const evictInterval = 100 * time.Millisecond

// acquireSlot waits until there may be one more connection. Those that callers don't need are closed for it.
func (l *Listener) acquireSlot() error {
	for {
		select {
		case l.slots <- struct{}{}:
			return nil
		default:
		}
		l.gate.Memory.EvictOne()
		select {
		case l.slots <- struct{}{}:
			return nil
		case <-l.done:
			return net.ErrClosed
		case <-time.After(evictInterval):
		}
	}
}

// accept accepts a connection while the gate admits any.
func (l *Listener) accept() (net.Conn, error) {
	for {
		inner, err := l.awaitOpen()
		if err != nil {
			return nil, err
		}
		c, err := inner.Accept()
		if err == nil {
			return c, nil
		}
		if !l.wasReplaced(inner) {
			return nil, err
		}
	}
}

// wasReplaced reports whether a listener is no longer the inner one, because the gate admitted nobody.
func (l *Listener) wasReplaced(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && l.inner != inner
}

// awaitOpen returns the inner listener. While the gate admits nobody it waits.
func (l *Listener) awaitOpen() (net.Listener, error) {
	for failingSince := (time.Time{}); ; {
		l.mu.Lock()
		inner, closed, changed := l.inner, l.closed, l.changed
		l.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case inner != nil:
			return inner, nil
		case !l.gate.Admits():
			<-changed
			continue
		}
		err := l.reopen()
		if err == nil {
			continue
		}
		if failingSince.IsZero() {
			failingSince = time.Now()
		}
		if time.Since(failingSince) > relistenTimeout {
			return nil, errors.Wrap(err, "listen anew")
		}
		time.Sleep(relistenInterval)
	}
}

// reopen listens anew, unless the listener was closed or the gate admits nobody any more.
func (l *Listener) reopen() error {
	inner, err := l.listen()
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.gate.Admits() {
		inner.Close()
		return nil
	}
	l.inner = inner
	return nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.done)
	l.wake()
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }
