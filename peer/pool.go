package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/meter"
)

// Dial opens a connection to an IP:port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// ErrUnreachable is returned when a host didn't answer in time.
var ErrUnreachable = errors.New("host is unreachable")

// errNobodyAnswers is an ErrUnreachable that says nothing about the host that was called, as nobody
// else answered this host meanwhile either.
var errNobodyAnswers = errors.Wrap(ErrUnreachable, "nobody answers this host")

// pool keeps connections to peers, at most one per peer.
type pool struct {
	dial     Dial
	traffic  *meter.Traffic
	purposes *meter.PurposeTraffic
	answers  *blackboard.Answers // records whose calls are answered; nil: not used
	gate     *intake.Gate        // notes late answers; nil: not used

	mu     sync.Mutex
	conns  map[string]*rpc.Client
	states map[string]*peerState
	closed bool
}

// peerState records what was observed of one peer.
type peerState struct {
	lastAnswer  time.Time    // when it last answered
	unanswered  int          // calls in a row since then that timed out
	lastRead    atomic.Int64 // when a byte last arrived from it, as Unix time in nanoseconds
	opened      time.Time    // when the current connection was opened; meaningless without one
	activeCalls int          // in progress
	lastUsed    time.Time    // when a call last began or ended
}

// deadAfter is how many calls to a peer in a row must time out before its connection is closed
// and the peer becomes unconfirmed. One isn't enough: a lost packet delays a single answer beyond
// the timeout, and the next answer arrives.
const deadAfter = 2

func newPool(dial Dial, t *meter.Traffic, purposes *meter.PurposeTraffic) *pool {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &pool{dial: dial, traffic: t, purposes: purposes, conns: map[string]*rpc.Client{}, states: map[string]*peerState{}}
}

// stateOf returns the state of a peer. The caller holds the lock.
func (p *pool) stateOf(addr string) *peerState {
	c := p.states[addr]
	if c == nil {
		c = new(peerState)
		p.states[addr] = c
	}
	return c
}

// noteAnswer records that a peer has just answered.
func (p *pool) noteAnswer(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.stateOf(addr)
	c.lastAnswer, c.unanswered = time.Now(), 0
}

// noteTimeout records that a call to a peer timed out, and reports whether its connection should
// be closed.
func (p *pool) noteTimeout(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.stateOf(addr)
	c.unanswered++
	return c.unanswered%deadAfter == 0
}

// dead reports whether deadAfter or more calls to a peer in a row have timed out.
func (p *pool) dead(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stateOf(addr).unanswered >= deadAfter
}

// answeredWithin reports whether a peer has answered within d.
func (p *pool) answeredWithin(addr string, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, known := p.states[addr]
	return known && time.Since(c.lastAnswer) < d
}

// readWithin reports whether a byte has arrived from a peer within d. Unlike answeredWithin it
// also counts bytes of an incomplete answer.
func (p *pool) readWithin(addr string, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, known := p.states[addr]
	return known && time.Since(time.Unix(0, c.lastRead.Load())) < d
}

// maxKeptConns is how many connections are kept open; beyond that, idle ones are closed. Over
// time a host exchanges with every other host, and each connection takes tens of kilobytes at
// both ends.
const maxKeptConns = 64

// beginCall records that a call to a peer begins. The caller must call end after it.
func (p *pool) beginCall(addr string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.stateOf(addr)
	c.activeCalls++
	c.lastUsed = time.Now()
	return func() { p.endCall(c) }
}

// endCall records that a call has ended. If too many connections are open, it closes the one idle
// for longest.
func (p *pool) endCall(c *peerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.activeCalls--
	c.lastUsed = time.Now()
	if len(p.conns) <= maxKeptConns {
		return
	}
	var idle string
	for addr := range p.conns {
		if c := p.stateOf(addr); c.activeCalls == 0 && (idle == "" || c.lastUsed.Before(p.stateOf(idle).lastUsed)) {
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
	c = newClient(&trackedConn{countedConn: counted(conn, p.traffic), lastRead: &p.stateOf(addr).lastRead}, p.purposes)
	if old := p.conns[addr]; old != nil || p.closed {
		c.Close()
		if old == nil {
			return nil, ErrUnreachable
		}
		return old, nil
	}
	p.conns[addr], p.stateOf(addr).opened = c, time.Now()
	return c, nil
}

// size returns the number of open connections.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// openFor returns for how long the connection to a peer has been open, and whether there is one.
func (p *pool) openFor(addr string) (d time.Duration, exists bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == nil {
		return 0, false
	}
	return time.Since(p.stateOf(addr).opened), true
}

// drop closes a connection that hangs or is broken.
func (p *pool) drop(addr string, c *rpc.Client) {
	p.mu.Lock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	c.Close()
}

// closeConn closes the current connection to a peer, if any.
func (p *pool) closeConn(addr string) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil {
		p.drop(addr, c)
	}
}

// witnessed is a call whose time-out counts only if somebody else answers this host meanwhile.
type witnessed struct {
	answers *blackboard.Answers
	witness *blackboard.Witness
	gate    *intake.Gate
	began   time.Time
}

// answersAtOnce reports whether a method is answered without waiting for anything.
func answersAtOnce(method string) bool {
	return method == methodPing || method == methodExchange || method == methodStanding
}

// witness returns a witness for a call that begins now. The caller must call stop.
func (p *pool) witness(method string, timeout time.Duration) *witnessed {
	w := &witnessed{answers: p.answers, began: time.Now()}
	if answersAtOnce(method) {
		w.gate = p.gate
	}
	if p.answers != nil {
		w.witness = p.answers.Witness(timeout / 4)
	}
	return w
}

// answered records that the call was answered.
func (w *witnessed) answered() {
	if w.answers != nil {
		w.answers.Record(w.began)
	}
	w.noteDelay()
}

// noteDelay notes how long the call has taken so far.
func (w *witnessed) noteDelay() {
	if w.gate != nil {
		w.gate.NoteDelay(time.Since(w.began))
	}
}

// stop ends the witness, and reports whether a time-out of the call says something about its callee.
func (w *witnessed) stop() bool {
	return w.answers == nil || w.witness.Stop() || w.answers.CutOff(time.Now())
}

// call makes one call, bounded by the timeout. If the connection turns out to be broken, it
// retries once over a new one. That is safe for all methods, since their effects are keyed by
// attempt.
func (p *pool) call(ctx context.Context, addr, method string, args, reply any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer p.beginCall(addr)()
	w := p.witness(method, timeout)
	defer w.stop()
	for try := 0; ; try++ {
		c, err := p.get(ctx, addr)
		if err != nil && isTimeout(err) && !w.stop() {
			return errNobodyAnswers
		}
		if err != nil {
			return err
		}
		p.traffic.Calls.Add(1)
		call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			var remote rpc.ServerError
			if call.Error == nil || errors.As(call.Error, &remote) {
				p.noteAnswer(addr)
				w.answered()
				return call.Error
			}
			p.drop(addr, c)
			if try == 0 {
				continue
			}
			return errors.Wrap(call.Error, "peer")
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				w.noteDelay()
				if !w.stop() {
					return errNobodyAnswers
				}
				if p.noteTimeout(addr) {
					p.drop(addr, c)
				}
				return ErrUnreachable
			}
			return ctx.Err()
		}
	}
}

// open opens a connection to a peer that the pool doesn't keep.
func (p *pool) open(ctx context.Context, addr string) (*rpc.Client, error) {
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return newClient(&trackedConn{countedConn: counted(conn, p.traffic), lastRead: &p.stateOf(addr).lastRead}, p.purposes), nil
}

// callOnNewConn makes one call over a new connection. If it is answered, the new connection
// replaces the current one: open connections may go silent for good while new ones work.
func (p *pool) callOnNewConn(ctx context.Context, addr, method string, args, reply any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer p.beginCall(addr)()
	w := p.witness(method, timeout)
	defer w.stop()
	p.mu.Lock()
	old := p.conns[addr]
	p.mu.Unlock()
	c, err := p.open(ctx, addr)
	if err != nil && isTimeout(err) && !w.stop() {
		return errNobodyAnswers
	}
	if err != nil {
		return err
	}
	p.traffic.Calls.Add(1)
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			c.Close()
			return errors.Wrap(call.Error, "peer")
		}
		p.replace(addr, old, c)
		p.noteAnswer(addr)
		w.answered()
		return nil
	case <-ctx.Done():
		c.Close()
		if !w.stop() {
			return errNobodyAnswers
		}
		return ErrUnreachable
	}
}

// replace replaces a peer's connection, unless another call has already replaced it.
func (p *pool) replace(addr string, old, c *rpc.Client) {
	p.mu.Lock()
	if p.conns[addr] != old || p.closed {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.conns[addr], p.stateOf(addr).opened = c, time.Now()
	p.mu.Unlock()
	if old != nil {
		time.AfterFunc(retireAfter, func() { old.Close() })
	}
}

// retireAfter is how long a replaced connection stays open. Calls may still be answered on it,
// and a request may wait about a second for admission.
const retireAfter = 2 * time.Second

func (p *pool) close() {
	p.mu.Lock()
	conns := p.conns
	p.conns, p.closed = map[string]*rpc.Client{}, true
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}
