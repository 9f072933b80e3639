package tunnel

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/embercove/embercove/blackboard"
)

// race is one attempt to connect to an endpoint, directly and over tunnels. The first connection
// that is accepted wins.
type race struct {
	dialer           *Dialer
	ctx              context.Context // of the caller; connections outlive it
	network, address string
	headStart        time.Duration // of the direct connection
	began            time.Time
	results          chan outcome

	stopDirect, stopTunnels context.CancelFunc
	directCtx, tunnelsCtx   context.Context

	pending       int // attempts without an outcome
	directPending bool
	directErr     error // nil: the direct attempt hasn't failed
	search        search
	maxAsked      int
	answered      int             // hosts that answered
	busy          int             // of them, those that reach endpoints and can't open a further tunnel
	alone         bool            // no live host knows tunnels
	exhausted     bool            // there is no host left to ask
	askable       map[string]bool // failure domains with hosts that weren't asked
}

// outcome is the outcome of one attempt.
type outcome struct {
	conn  net.Conn
	err   error
	host  *blackboard.Host // that was asked for a tunnel; nil: the direct attempt
	reply Reply
	took  time.Duration
}

// confirms reports whether a gateway that reaches other endpoints doesn't reach this one either.
func (o *outcome) confirms() bool {
	return o.host != nil && o.err == nil && !o.reply.LostPaths && (o.reply.Code == Refused || o.reply.Code == Silent)
}

// newRace returns an attempt over a path that begins now. It asks up to maxAsked hosts for a tunnel.
func (d *Dialer) newRace(ctx context.Context, network string, p *blackboard.Path, maxAsked int) *race {
	now := time.Now()
	r := &race{dialer: d, ctx: ctx, network: network, address: p.Address, began: now, maxAsked: maxAsked, results: make(chan outcome, 1+maxAsked)}
	r.search = search{domain: d.domainOf(p.Address), evidence: newEvidence()}
	r.headStart = directHeadStart
	if d.board.Paths.Count(blackboard.PathLost) > 0 {
		r.headStart = suspectHeadStart
	}
	r.headStart += 2*p.ConnectTime + d.board.Link.Estimate(now)
	r.directCtx, r.stopDirect = context.WithCancel(context.WithoutCancel(ctx))
	r.tunnelsCtx, r.stopTunnels = context.WithCancel(context.WithoutCancel(ctx))
	return r
}

// run returns the connection of the race. The direct attempt begins first, or only if no gateway
// opens a tunnel soon.
func (r *race) run(directFirst bool) (net.Conn, error) {
	next := time.NewTimer(gatewayHeadStart)
	defer next.Stop()
	if directFirst {
		r.dialDirect()
		next.Reset(r.headStart)
	} else if r.ask(1) == 0 {
		r.dialDirect()
	}
	for {
		select {
		case o := <-r.results:
			r.pending--
			if o.err == nil && o.conn != nil {
				return r.win(o), nil
			}
			r.lose(o)
		case <-next.C:
			if r.directErr == nil && !r.directPending {
				r.dialDirect()
			}
			r.ask(r.roundSize())
			next.Reset(gatewayHeadStart)
		case <-r.ctx.Done():
			return nil, r.giveUp()
		}
		if r.isLost() {
			return nil, r.fail()
		}
	}
}

// isLost reports whether no attempt can succeed any more, as far as others can tell.
func (r *race) isLost() bool {
	return r.pending == 0 && !r.mayAsk() || r.directErr != nil && r.isConclusive()
}

// dialDirect begins the direct attempt.
func (r *race) dialDirect() {
	r.pending++
	r.directPending = true
	began := time.Now()
	go func() {
		conn, err := r.dialer.direct(r.directCtx, r.network, r.address)
		r.results <- outcome{conn: conn, err: err, took: time.Since(began)}
	}()
}

// mayAsk reports whether a further host may be asked for a tunnel. Hosts that are cut off, busy or out of reach are
// replaced by others.
func (r *race) mayAsk() bool {
	n := len(r.search.asked)
	return !r.exhausted && n < r.maxAsked && n-r.search.evidence.unable()-r.busy < maxGateways && !r.isConclusive()
}

// isConclusive reports whether nobody reaches the endpoint, as far as other hosts can tell.
func (r *race) isConclusive() bool { return r.search.evidence.isConclusive(r.askable, time.Now()) }

// ask asks up to n more hosts for a tunnel. It returns how many it has asked.
func (r *race) ask(n int) (asked int) {
	for ; asked < n && r.mayAsk(); asked++ {
		now := time.Now()
		c := r.dialer.gateways.pick(&r.search, now)
		r.askable = c.askable
		if r.alone = c.alone; c.alone {
			r.dialer.board.Paths.RecordConfirmed(r.address, now)
		}
		if !c.found {
			r.exhausted = true
			return asked
		}
		r.askHost(c.host)
	}
	return asked
}

// roundSize returns how many hosts are asked in the next round: one at first, as the endpoint may only be slow.
func (r *race) roundSize() int {
	if len(r.search.asked) == 0 {
		return 1
	}
	return askedPerRound
}

// askHost asks a host for a tunnel.
func (r *race) askHost(h blackboard.Host) {
	began := time.Now()
	r.search.asked = append(r.search.asked, h.Number)
	r.search.evidence.recordAsked(h.Domain, began)
	r.pending++
	go func() {
		q := Request{From: r.dialer.board.Number, Address: r.address, Framed: true}
		conn, reply, err := r.dialer.opener.OpenTunnel(r.tunnelsCtx, h, q)
		r.results <- outcome{conn: conn, err: err, host: &h, reply: reply, took: time.Since(began)}
	}()
}

// askReferral asks the host by way of which another one reaches endpoints.
func (r *race) askReferral(number uint32) {
	if number == 0 || len(r.search.asked) >= r.maxAsked || slices.Contains(r.search.asked, number) {
		return
	}
	self := r.dialer.board.Hosts.Self()
	if h, live, _ := r.dialer.board.Hosts.Get(number, time.Now()); live && mayPassOn(&h, &self) {
		r.askHost(h)
	}
}

// lose handles an attempt that failed.
func (r *race) lose(o outcome) {
	if o.host == nil {
		r.directPending, r.directErr = false, o.err
		r.ask(maxWitnessDomains - len(r.search.asked))
		return
	}
	r.recordUnable(o)
	r.search.evidence.record(&o)
	r.exhausted = false // as far as is known
	if o.err == nil {
		r.answered++
		r.dialer.board.RecordAnswer(o.host.Domain)
	}
	if o.err == nil && o.reply.Code == Busy {
		r.busy++
	}
	if r.isConclusive() {
		r.dialer.board.Paths.RecordConfirmed(r.address, time.Now())
	}
	r.askReferral(o.reply.Via)
	// Beyond some hosts that are cut off, further ones are asked by rounds: some find a gateway meanwhile, and
	// refer others to it.
	if r.search.evidence.cutOff() <= maxGateways {
		r.ask(1)
	}
	if r.pending == 0 && r.directErr == nil && !r.directPending {
		r.dialDirect()
	}
}

// recordUnable records that a host opened no tunnel.
func (r *race) recordUnable(o outcome) {
	r.dialer.Counts.Refused.Add(1)
	r.dialer.gateways.recordUnable(o.host, o.reply, o.err, time.Now())
}
