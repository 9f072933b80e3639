package tunnel

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
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
	dialer     *Dialer // of this host
	maxTunnels int64
	active     atomic.Int64
	cutOffAt   atomic.Pointer[time.Time] // when no endpoint was reached; nil: one was reached since
}

// NewGateway returns a gateway that connects to endpoints over this host's own link, as d does.
func NewGateway(d *Dialer) *Gateway {
	b := d.board
	g := &Gateway{board: b, dialer: d, maxTunnels: defaultMaxTunnels}
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
	answer.Framed, t.framed = q.Framed, q.Framed
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
		return nil, g.lost(CutOff)
	case g.isCutOff(time.Now()):
		return nil, g.lost(Silent)
	}
	return g.connect(ctx, q.Address)
}

// connect connects to an endpoint. Without a connection the reply tells whether another endpoint was reached.
func (g *Gateway) connect(ctx context.Context, address string) (net.Conn, Reply) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := g.newWitness(ctx, address)
	defer w.end()
	dialed := make(chan dialResult, 1)
	go func() {
		conn, err := g.dialer.direct(ctx, "tcp", address)
		dialed <- dialResult{conn, err}
	}()
	select {
	case d := <-dialed:
		if d.err == nil {
			g.cutOffAt.Store(nil)
			KeepAlive(d.conn)
			return d.conn, Reply{Code: Opened}
		}
		code := Silent
		if errors.Is(d.err, syscall.ECONNREFUSED) {
			code = Refused
		}
		if w.reached() {
			return nil, Reply{Code: code}
		}
		g.recordCutOff()
		return nil, g.lost(code)
	case <-w.failed:
		cancel()
		go discardDialed(dialed)
		g.recordCutOff()
		return nil, g.lost(Silent)
	}
}

// dialResult is the outcome of an attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// discardDialed closes the connection of an attempt that isn't wanted any more.
func discardDialed(dialed <-chan dialResult) {
	if d := <-dialed; d.err == nil {
		d.conn.Close()
	}
}

// lost returns the reply of a host that may have lost its links to endpoints.
func (g *Gateway) lost(c Code) Reply {
	via, _ := g.dialer.gateways.proven(time.Now())
	return Reply{Code: c, LostPaths: true, Via: via}
}

// cutOffFor is how long a gateway that reached no endpoint doesn't try again.
const cutOffFor = 200 * time.Millisecond

// isCutOff reports whether this host has just reached no endpoint.
func (g *Gateway) isCutOff(now time.Time) bool {
	at := g.cutOffAt.Load()
	return at != nil && now.Sub(*at) < cutOffFor
}

// recordCutOff records that this host has reached no endpoint.
func (g *Gateway) recordCutOff() {
	now := time.Now()
	g.cutOffAt.Store(&now)
}

// knows reports whether a request comes from a known host and is for a registered endpoint.
func (g *Gateway) knows(q Request) (registered bool) {
	if _, _, known := g.board.Hosts.Get(q.From, time.Now()); !known || q.From == g.board.Number {
		return false
	}
	g.board.Endpoints.Read(func(fleet *route.Fleet) { registered = fleet.HasAddress(q.Address) })
	return registered
}
