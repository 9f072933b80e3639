package tunnel

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/route"
)

const (
	// directHeadStart is how long a direct connection may take, beyond what is usual for the
	// endpoint, until a tunnel is asked for as well.
	directHeadStart = 20 * time.Millisecond
	// suspectHeadStart is the same while other paths are lost.
	suspectHeadStart = 5 * time.Millisecond
	// gatewayHeadStart is how long a gateway may take until the next one is asked as well.
	gatewayHeadStart = 20 * time.Millisecond
	// lossAfter is how long a direct connection must go unanswered until the path counts as lost.
	lossAfter = 100 * time.Millisecond
	// askedPerRound is how many further hosts are asked each time after it.
	askedPerRound = 2
	// maxGateways is how many hosts are asked for one connection, besides those that are cut off from
	// endpoints themselves or busy.
	maxGateways = 8
	// maxAsked is how many hosts are asked in all.
	maxAsked = 32
	// probeTimeout bounds a check whether a path is better than recorded.
	probeTimeout = 300 * time.Millisecond
)

// Counts are totals since the start of the process.
type Counts struct {
	Opened   atomic.Uint64 // tunnels that this host had opened
	Refused  atomic.Uint64 // requests for a tunnel that other hosts refused or didn't answer
	Lost     atomic.Uint64 // paths found lost
	Restored atomic.Uint64 // paths found direct again
}

// Dialer connects to endpoints. Its methods are safe for concurrent use.
type Dialer struct {
	Counts Counts
	// OnChange is called when a path is lost or direct again. It may be nil, and is set before the
	// dialer is used.
	OnChange func()

	board    *blackboard.Board
	direct   endpoint.Dial
	opener   Opener
	gateways *gateways
	log      *zap.Logger
}

// NewDialer returns a dialer that connects by direct or over tunnels.
func NewDialer(b *blackboard.Board, direct endpoint.Dial, o Opener, log *zap.Logger) *Dialer {
	return &Dialer{board: b, direct: direct, opener: o, gateways: newGateways(b.Hosts), log: log}
}

// Active returns how many tunnels this host uses now.
func (d *Dialer) Active() int { return d.gateways.active() }

// Gateways returns the hosts that pass on connections for this one, by name, and how many each.
func (d *Dialer) Gateways() map[string]int { return d.gateways.activeByHost() }

// CutOffDomains returns the failure domains whose hosts said lately that they are cut off from endpoints, in order.
func (d *Dialer) CutOffDomains(now time.Time) []string { return d.gateways.cutOffDomains(now) }

// Dial connects to an endpoint. A refused connection is returned as such only if another host
// confirms it.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	p := d.board.Paths.Use(address, time.Now())
	if p.State == blackboard.PathNone && !endpoint.IsFreshAttempt(ctx) {
		return nil, &endpoint.NoPathError{Address: address, Known: true, Confirmed: p.Confirmed}
	}
	return d.newRace(ctx, network, &p, maxAsked).run(p.State == blackboard.PathDirect)
}

const (
	// maxProbes is how many probes begin at once.
	maxProbes = 16
	// probeGateways is how many hosts a probe asks for a tunnel.
	probeGateways = 2
)

// Prober returns the controller that finds paths that have become better.
func (d *Dialer) Prober() blackboard.Controller { return prober{d} }

type prober struct{ dialer *Dialer }

// Next implements blackboard.Controller.
func (p prober) Next(now time.Time) (func(context.Context), time.Time) {
	due, next := p.dialer.board.Paths.DueProbes(now, maxProbes)
	if len(due) == 0 {
		return nil, next
	}
	return func(ctx context.Context) {
		for _, path := range due {
			if p.dialer.isRegistered(path.Address) {
				go p.dialer.probe(ctx, path)
			} else {
				p.dialer.board.Paths.Forget(path.Address)
			}
		}
	}, time.Time{}
}

func (d *Dialer) isRegistered(address string) (registered bool) {
	d.board.Endpoints.Read(func(fleet *route.Fleet) { registered = fleet.HasAddress(address) })
	return registered
}

// domainOf returns the failure domain of the endpoint at an address; empty: there is none.
func (d *Dialer) domainOf(address string) (domain string) {
	d.board.Endpoints.Read(func(fleet *route.Fleet) { domain = fleet.DomainAt(address) })
	return domain
}

// probe checks whether a path is better than its state.
func (d *Dialer) probe(ctx context.Context, p blackboard.Path) {
	ctx, cancel := context.WithTimeoutCause(ctx, probeTimeout, endpoint.ErrGivenUp)
	defer cancel()
	if p.State == blackboard.PathNone {
		if conn, err := d.newRace(ctx, "tcp", &p, probeGateways).run(true); err == nil {
			conn.Close()
		}
		return
	}
	began := time.Now()
	conn, err := d.direct(ctx, "tcp", p.Address)
	if err != nil {
		d.board.Paths.RecordFailure(p.Address, time.Now(), p.State, false)
		return
	}
	conn.Close()
	d.recordDirect(p.Address, time.Since(began))
}

// recordDirect records that an endpoint accepted a direct connection.
func (d *Dialer) recordDirect(address string, took time.Duration) {
	if d.board.Paths.RecordDirect(address, time.Now(), took) {
		d.Counts.Restored.Add(1)
		d.board.Endpoints.SetNoPath(address, time.Time{})
		d.log.Info("path to endpoint restored", zap.String("address", address))
		d.changed()
	}
}

// recordLost records that an endpoint was reached by way of another host, and not directly.
func (d *Dialer) recordLost(address, gateway string, cause error) {
	changed, _ := d.board.Paths.RecordFailure(address, time.Now(), blackboard.PathLost, false)
	if changed {
		d.Counts.Lost.Add(1)
		d.log.Warn("path to endpoint lost", zap.String("address", address), zap.String("gateway", gateway), zap.NamedError("cause", cause))
		d.changed()
	}
}

// recordNone records that an endpoint was reached neither directly nor by way of another host.
func (d *Dialer) recordNone(address string, confirmed bool, cause error, heard *evidence) {
	changed, until := d.board.Paths.RecordFailure(address, time.Now(), blackboard.PathNone, confirmed)
	d.board.Endpoints.SetNoPath(address, until)
	if changed {
		d.board.Wake.All()
		d.log.Warn("no path to endpoint", zap.String("address", address), zap.Bool("confirmed", confirmed), zap.Stringer("asked", heard), zap.NamedError("cause", cause))
	}
}

// recordTunnel records that an endpoint was reached by way of another host.
func (d *Dialer) recordTunnel(address string) {
	d.Counts.Opened.Add(1)
	found := d.board.Paths.RecordTunnel(address, time.Now())
	d.board.Endpoints.SetNoPath(address, time.Time{})
	if found {
		d.board.Wake.All()
	}
}

func (d *Dialer) changed() {
	d.board.Wake.All()
	if d.OnChange != nil {
		d.OnChange()
	}
}

// tunneledConn is a connection that a gateway passes on.
type tunneledConn struct {
	net.Conn
	gateway string
	closed  func()
}

// Gateway implements endpoint.Tunneled.
func (c *tunneledConn) Gateway() string { return c.gateway }

// Close implements net.Conn.
func (c *tunneledConn) Close() error {
	c.closed()
	return c.Conn.Close()
}
