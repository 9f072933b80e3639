package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/meter"
)

// Dial opens a connection to an IP:port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// ErrOutOfReach is returned when a host didn't answer in time.
var ErrOutOfReach = errors.New("host is out of reach")

// pool keeps connections to peers, one to each at the most.
type pool struct {
	dial    Dial
	traffic *meter.Traffic
	spent   *meter.Ledger

	mu    sync.Mutex
	conns map[string]*rpc.Client
	peers map[string]*contact
	shut  bool
}

// contact is what was seen of one peer.
type contact struct {
	heard  time.Time    // when it last answered
	missed int          // calls since then that it didn't answer in time
	read   atomic.Int64 // when a byte last came from it, in nanoseconds since 1970
	opened time.Time    // when the connection that is kept was opened; of no meaning where none is
	calls  int          // under way
	used   time.Time    // when a call last began or ended
}

// deadAfter is how many calls in a row a peer must leave unanswered until its
// connection is given up and it is doubted. A lost packet delays one answer
// beyond the timeout; the next one comes.
const deadAfter = 2

func newPool(dial Dial, t *meter.Traffic, spent *meter.Ledger) *pool {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &pool{dial: dial, traffic: t, spent: spent, conns: map[string]*rpc.Client{}, peers: map[string]*contact{}}
}

// of returns what was seen of a peer; the caller holds the lock.
func (p *pool) of(addr string) *contact {
	c := p.peers[addr]
	if c == nil {
		c = new(contact)
		p.peers[addr] = c
	}
	return c
}

// hears notes that a peer has just answered.
func (p *pool) hears(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.of(addr)
	c.heard, c.missed = time.Now(), 0
}

// misses notes that a peer has left a call unanswered, and reports whether its
// connection should be given up.
func (p *pool) misses(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.of(addr)
	c.missed++
	return c.missed%deadAfter == 0
}

// dead reports whether a peer has left several calls in a row unanswered.
func (p *pool) dead(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(addr).missed >= deadAfter
}

// heardWithin reports whether a peer has answered within d.
func (p *pool) heardWithin(addr string, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, known := p.peers[addr]
	return known && time.Since(c.heard) < d
}

// readWithin reports whether a byte has come from a peer within d, be it of an
// answer that is not yet whole, which heardWithin doesn't see.
func (p *pool) readWithin(addr string, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, known := p.peers[addr]
	return known && time.Since(time.Unix(0, c.read.Load())) < d
}

// mostKept is how many connections are kept of those without a call. In time a host
// exchanges with each other host, and each connection takes tens of kilobytes at both ends.
const mostKept = 64

// begin notes that a call to a peer begins; the caller calls end after it.
func (p *pool) begin(addr string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.of(addr)
	c.calls++
	c.used = time.Now()
	return func() { p.ended(c) }
}

// ended notes that a call has ended, and closes the connection that was without a call for
// longest if too many are kept.
func (p *pool) ended(c *contact) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.used = time.Now()
	if len(p.conns) <= mostKept {
		return
	}
	var idle string
	for addr := range p.conns {
		if c := p.of(addr); c.calls == 0 && (idle == "" || c.used.Before(p.of(idle).used)) {
			idle = addr
		}
	}
	if idle == "" {
		return
	}
	p.conns[idle].Close()
	delete(p.conns, idle)
}

func (p *pool) get(ctx context.Context, addr string) (*rpc.Client, error) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c = newClient(&notedConn{countedConn: counted(conn, p.traffic), read: &p.of(addr).read}, p.spent)
	if old := p.conns[addr]; old != nil || p.shut {
		c.Close()
		if old == nil {
			return nil, ErrOutOfReach
		}
		return old, nil
	}
	p.conns[addr], p.of(addr).opened = c, time.Now()
	return c, nil
}

// size returns how many connections are kept.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// openFor returns for how long the connection to a peer has been open, and whether there
// is one.
func (p *pool) openFor(addr string) (d time.Duration, kept bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == nil {
		return 0, false
	}
	return time.Since(p.of(addr).opened), true
}

// drop closes a connection that hung or broke.
func (p *pool) drop(addr string, c *rpc.Client) {
	p.mu.Lock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	c.Close()
}

// giveUp closes the connection that is kept to a peer.
func (p *pool) giveUp(addr string) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil {
		p.drop(addr, c)
	}
}

// call makes one call, bounded by the timeout. A connection that was broken
// before the call is opened anew once; all methods may be repeated, since
// their effect is keyed by attempt.
func (p *pool) call(ctx context.Context, addr, method string, args, reply any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer p.begin(addr)()
	for try := 0; ; try++ {
		c, err := p.get(ctx, addr)
		if err != nil {
			return err
		}
		p.traffic.Calls.Add(1)
		call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			var remote rpc.ServerError
			if call.Error == nil || errors.As(call.Error, &remote) {
				p.hears(addr)
				return call.Error
			}
			p.drop(addr, c)
			if try == 0 {
				continue
			}
			return errors.Wrap(call.Error, "peer")
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				if p.misses(addr) {
					p.drop(addr, c)
				}
				return ErrOutOfReach
			}
			return ctx.Err()
		}
	}
}

// callAnew makes one call over a new connection. If that is answered it takes the
// place of the one that is kept, which has said nothing meanwhile: open connections
// may go silent for good while new ones work.
func (p *pool) callAnew(ctx context.Context, addr, method string, args, reply any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer p.begin(addr)()
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	p.mu.Lock()
	old := p.conns[addr]
	c := newClient(&notedConn{countedConn: counted(conn, p.traffic), read: &p.of(addr).read}, p.spent)
	p.mu.Unlock()
	p.traffic.Calls.Add(1)
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			c.Close()
			return errors.Wrap(call.Error, "peer")
		}
		p.replace(addr, old, c)
		p.hears(addr)
		return nil
	case <-ctx.Done():
		c.Close()
		return ErrOutOfReach
	}
}

// replace keeps a connection instead of another, unless that has been replaced.
func (p *pool) replace(addr string, old, c *rpc.Client) {
	p.mu.Lock()
	if p.conns[addr] != old || p.shut {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.conns[addr], p.of(addr).opened = c, time.Now()
	p.mu.Unlock()
	if old != nil {
		time.AfterFunc(retireAfter, func() { old.Close() })
	}
}

// retireAfter is how long a connection is left open that another has replaced: calls
// may still be answered on it, and a request waits for its turn for a second or so.
const retireAfter = 2 * time.Second

func (p *pool) close() {
	p.mu.Lock()
	conns := p.conns
	p.conns, p.shut = map[string]*rpc.Client{}, true
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}
