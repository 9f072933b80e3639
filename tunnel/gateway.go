package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/meter"
	"github.com/embercove/embercove/route"
)

// gatewayDialTimeout bounds an attempt of a gateway to connect to an endpoint.
const gatewayDialTimeout = 250 * time.Millisecond

// descriptorShare is the share of this host's file descriptors that tunnels of other hosts may use.
// Each takes two.
const descriptorShare = 0.25

// defaultMaxTunnels is how many tunnels a gateway passes on if its number of file descriptors isn't known.
const defaultMaxTunnels = 1024

// Gateway opens connections to endpoints for other hosts. Its methods are safe for concurrent use.
type Gateway struct {
	Opened  atomic.Uint64 // tunnels opened since the start of the process
	Refused atomic.Uint64 // requests for a tunnel that were refused
	Traffic meter.Traffic // passed on, in both directions

	board      *blackboard.Board
	dial       endpoint.Dial
	maxTunnels int64
	active     atomic.Int64
}

// NewGateway returns a gateway that connects to endpoints by dial, over this host's own link.
func NewGateway(b *blackboard.Board, dial endpoint.Dial) *Gateway {
	g := &Gateway{board: b, dial: dial, maxTunnels: defaultMaxTunnels}
	if d := b.Settings.Descriptors; d > 0 {
		g.maxTunnels = int64(descriptorShare * d / 2)
	}
	return g
}

// Active returns how many tunnels are open.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Serve answers a request for a tunnel and passes on bytes until the tunnel ends. It closes the
// connection of the host that asks, conn.
func (g *Gateway) Serve(ctx context.Context, conn net.Conn, q Request, reply func(Reply) error) {
	defer conn.Close()
	KeepAlive(conn)
	g.active.Add(1)
	defer g.active.Add(-1)
	t := newPipe(conn, &g.Traffic)
	dialing, cancel := context.WithTimeout(ctx, gatewayDialTimeout)
	defer cancel()
	go t.forward(cancel)
	far, answer := g.open(dialing, q)
	if far == nil {
		g.Refused.Add(1)
		_ = reply(answer)
		t.end()
		return
	}
	defer far.Close()
	g.Opened.Add(1)
	if err := reply(answer); err != nil {
		t.end()
		return
	}
	t.run(far)
}

// open connects to the endpoint of a request.
func (g *Gateway) open(ctx context.Context, q Request) (net.Conn, Reply) {
	switch {
	case g.board.Leaving():
		return nil, Reply{Code: Leaving}
	case !g.knows(q):
		return nil, Reply{Code: Unknown}
	case g.active.Load() > g.maxTunnels:
		return nil, Reply{Code: Busy}
	case g.board.Paths.State(q.Address, time.Now()) == blackboard.PathLost:
		return nil, Reply{Code: CutOff, LostPaths: true}
	}
	w := g.newWitness(ctx, q.Address)
	defer w.stop()
	conn, err := g.dial(ctx, "tcp", q.Address)
	if err == nil {
		KeepAlive(conn)
		return conn, Reply{Code: Opened}
	}
	code := Silent
	if errors.Is(err, syscall.ECONNREFUSED) {
		code = Refused
	}
	return nil, Reply{Code: code, LostPaths: !w.reached()}
}

// knows reports whether a request comes from a known host and is for a registered endpoint.
func (g *Gateway) knows(q Request) (registered bool) {
	if _, _, known := g.board.Hosts.Get(q.From, time.Now()); !known || q.From == g.board.Number {
		return false
	}
	g.board.Endpoints.Read(func(fleet *route.Fleet) { registered = fleet.HasAddress(q.Address) })
	return registered
}

// pipe passes on bytes between the host that asked for a tunnel and the endpoint.
type pipe struct {
	near    net.Conn
	traffic *meter.Traffic
	ready   chan struct{} // closed when far is set, or the tunnel has ended
	once    sync.Once
	far     net.Conn      // nil: there is none
	closed  chan struct{} // closed once the host has closed its connection
}

func newPipe(near net.Conn, t *meter.Traffic) *pipe {
	return &pipe{near: near, traffic: t, ready: make(chan struct{}), closed: make(chan struct{})}
}

// end ends a tunnel that wasn't opened.
func (p *pipe) end() { p.once.Do(func() { close(p.ready) }) }

// run passes on bytes in both directions until the tunnel ends.
func (p *pipe) run(far net.Conn) {
	p.once.Do(func() {
		p.far = far
		close(p.ready)
	})
	err := p.copy(p.near, far)
	if err != nil {
		reset(p.near)
		return
	}
	if finish(p.near) {
		<-p.closed
	}
}

// forward passes on what the host sends. Once the host closes its connection, that to the endpoint
// is closed too, also if it is still being opened: cancel ends that.
func (p *pipe) forward(cancel context.CancelFunc) {
	defer close(p.closed)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := p.near.Read(*buf)
		if n == 0 && err != nil {
			cancel()
		}
		if n > 0 || err != nil {
			<-p.ready
		}
		if p.far == nil {
			return
		}
		if n > 0 {
			p.count(n)
			if _, werr := p.far.Write((*buf)[:n]); werr != nil {
				_, _ = io.Copy(io.Discard, p.near) // the other direction reads why
				return
			}
		}
		if err != nil {
			p.far.Close()
			return
		}
	}
}

// copy passes on what the endpoint sends until it ends its answer. It returns an error if the
// connection breaks off instead.
func (p *pipe) copy(to, from net.Conn) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := from.Read(*buf)
		if n > 0 {
			p.count(n)
			if _, werr := to.Write((*buf)[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (p *pipe) count(n int) {
	p.traffic.In.Add(uint64(n))
	p.traffic.Out.Add(uint64(n))
}

// bufferSize is the size of the buffer of each direction, in bytes.
const bufferSize = 16 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// lingerTimeout bounds the wait for a host to close a tunnel whose endpoint has ended its answer.
const lingerTimeout = 3 * time.Second

// finish ends a tunnel after a whole answer. It reports whether the host has yet to close the
// connection: a close with unread bytes would discard the end of the answer.
func finish(near net.Conn) (waits bool) {
	half, ok := near.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	return near.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil
}

// reset ends a tunnel with a reset, as the endpoint did: an answer that broke off must not look
// complete.
func reset(near net.Conn) {
	if tcp, ok := near.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// Keep-alive probes find out a peer that has lost its power or its link; one that is only paused
// still answers them.
const (
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// KeepAlive sets the keep-alive probes of a connection of a tunnel.
func KeepAlive(conn net.Conn) {
	if tcp, ok := conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount})
	}
}
