package tunnel

import (
	"context"
	"net"
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
	defer w.end()
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
