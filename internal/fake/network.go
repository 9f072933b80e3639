package fake

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Network is an in-memory network with zones that can be cut off from each
// other and hosts that can be removed. Addresses are opaque strings; tests
// usually make each failure domain a zone.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	zones       map[string]string // by address
	cuts        map[[2]string]bool
	cutsChanged chan struct{}    // closed and replaced at each change of cuts
	silences    int              // calls of Silence
	links       map[string]*Link // by host; only hosts with a rate limit
	window      int              // bytes that a connection may have queued at links; 0: a single chunk
	Delay       func(fromZone, toZone string) time.Duration
}

// NewNetwork returns a network without cuts or delays.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, zones: map[string]string{}, cuts: map[[2]string]bool{}, links: map[string]*Link{}, cutsChanged: make(chan struct{})}
}

type listener struct {
	n      *Network
	addr   string
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type addr string

func (a addr) Network() string { return "memory" }
func (a addr) String() string  { return string(a) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		if l.n.listeners[l.addr] == l {
			delete(l.n.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

// Listen opens an address in a zone.
func (n *Network) Listen(zone, address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{n: n, addr: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	n.zones[address] = zone
	return l
}

// Cut cuts two zones off from each other, or heals the cut. As in a real network
// partition, traffic between them hangs and doesn't fail.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

// Silence makes all open connections drop their traffic for good, without a reset,
// as when a device between the hosts loses its connection state. New connections work.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silences++
}

// silenceCount returns how often Silence was called. A connection whose count at opening is lower
// than the current one is silent.
func (n *Network) silenceCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silences
}

// blocked returns nil if the zones can reach each other, else a channel that
// closes at the next change of cuts.
func (n *Network) blocked(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[[2]string{a, b}] {
		return n.cutsChanged
	}
	return nil
}

// dialTimeout is how long a dial across a cut hangs before it fails.
const dialTimeout = time.Second

// Dialer returns a dial function for a process in the zone, without a rate limit.
func (n *Network) Dialer(zone string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return n.HostDialer(zone, "")
}

// HostDialer returns a dial function for a process on a host in the zone. Its
// traffic passes the host's link.
func (n *Network) HostDialer(zone, host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l, to := n.listeners[address], n.zones[address]
		n.mu.Unlock()
		deadline := time.NewTimer(dialTimeout)
		defer deadline.Stop()
		for {
			changed := n.blocked(zone, to)
			if changed == nil {
				break
			}
			select {
			case <-changed:
			case <-deadline.C:
				return nil, errors.Wrapf(os.ErrDeadlineExceeded, "dial %s", address)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if l == nil {
			return nil, errors.Wrapf(syscall.ECONNREFUSED, "dial %s", address)
		}
		a, b := net.Pipe()
		localLink, remoteLink := n.linkOf(host), n.linkOf(hostOf(address))
		near, far := newConn(a, n, zone, to), newConn(b, n, to, zone)
		if w := n.linkWindow(); w > 0 && (localLink != nil || remoteLink != nil) {
			near.flight, far.flight = newFlight(near, w, localLink, remoteLink), newFlight(far, w, remoteLink, localLink)
		}
		near.startDelivery(localLink, remoteLink)
		far.startDelivery(remoteLink, localLink)
		select {
		case l.accept <- far:
			return near, nil
		case <-l.closed:
			near.Close()
			far.Close()
			return nil, errors.Wrapf(syscall.ECONNREFUSED, "dial %s", address)
		case <-ctx.Done():
			near.Close()
			far.Close()
			return nil, ctx.Err()
		}
	}
}

// conn is one end of a connection. Writes go into a buffer, like a kernel's send
// buffer, and are delivered while there is no cut between the zones.
type conn struct {
	net.Conn
	n          *Network
	from, to   string
	silences   int // Network.silenceCount at opening
	out        chan []byte
	closed     chan struct{} // closed by Close of this end
	peerClosed chan struct{} // closed when a write to the other end fails
	once       sync.Once

	fromLink, toLink *Link
	flight           *flight // chunks queued at the links; nil: a single chunk at a time
}

// writeBuffer is how many writes are buffered before Write blocks.
const writeBuffer = 256

// drainTimeout bounds the delivery of buffered writes after a close.
const drainTimeout = 100 * time.Millisecond

func newConn(c net.Conn, n *Network, from, to string) *conn {
	return &conn{Conn: c, n: n, from: from, to: to, silences: n.silenceCount(), out: make(chan []byte, writeBuffer), closed: make(chan struct{}), peerClosed: make(chan struct{})}
}

// startDelivery starts to deliver writes, over the links of both ends.
func (c *conn) startDelivery(from, to *Link) {
	c.fromLink, c.toLink = from, to
	go c.deliver()
}

func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.peerClosed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- append([]byte(nil), p...):
		return len(p), nil
	case <-c.closed:
	case <-c.peerClosed:
	}
	return 0, net.ErrClosed
}

// deliver delivers buffered writes in order until the connection is closed.
func (c *conn) deliver() {
	defer c.Conn.Close()
	defer c.flight.land()
	for {
		select {
		case p := <-c.out:
			if !c.send(p) {
				return
			}
		case <-c.closed:
			c.flight.land()
			c.drain()
			return
		}
	}
}

// send delivers one write once there is no cut between the zones. It reports whether it succeeded.
func (c *conn) send(p []byte) bool {
	if c.silences != c.n.silenceCount() {
		<-c.closed
		return false
	}
	for changed := c.n.blocked(c.from, c.to); changed != nil; changed = c.n.blocked(c.from, c.to) {
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
	if c.n.Delay != nil {
		time.Sleep(c.n.Delay(c.from, c.to))
	}
	for len(p) > 0 {
		chunk := p[:min(len(p), linkChunk)]
		p = p[len(chunk):]
		if c.flight != nil {
			if !c.flight.add(chunk) {
				return false
			}
			continue
		}
		c.fromLink.transmit(len(chunk), sending)
		c.toLink.transmit(len(chunk), receiving)
		if _, err := c.Conn.Write(chunk); err != nil {
			close(c.peerClosed)
			return false
		}
	}
	return true
}

// drain delivers the writes still buffered at the close, unless delivery hangs.
func (c *conn) drain() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(drainTimeout))
	for c.n.blocked(c.from, c.to) == nil && c.silences == c.n.silenceCount() {
		select {
		case p := <-c.out:
			if _, err := c.Conn.Write(p); err != nil {
				return
			}
		default:
			return
		}
	}
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}
