package tunnel

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/endpoint"
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
	open          map[string]bool // failure domains with hosts that weren't asked
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
		if r.pending == 0 && !r.mayAsk() {
			return nil, r.fail()
		}
	}
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
func (r *race) isConclusive() bool { return r.search.evidence.isConclusive(r.open, time.Now()) }

// ask asks up to n more hosts for a tunnel. It returns how many it has asked.
func (r *race) ask(n int) (asked int) {
	for ; asked < n && r.mayAsk(); asked++ {
		now := time.Now()
		c := r.dialer.gateways.pick(&r.search, now)
		r.open = c.open
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
		q := Request{From: r.dialer.board.Number, Address: r.address}
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

// win returns the connection of the attempt that succeeded first.
func (r *race) win(o outcome) net.Conn {
	r.stopTunnels()
	if o.host == nil {
		r.dialer.recordDirect(r.address, o.took)
		if r.pending == 0 {
			r.stopDirect()
		} else {
			go r.discard("")
		}
		return o.conn
	}
	r.dialer.recordTunnel(r.address)
	r.dialer.board.RecordAnswer(o.host.Domain)
	closed := r.dialer.gateways.recordOpened(o.host, time.Now())
	if r.directErr != nil {
		r.dialer.recordLost(r.address, o.host.Name, r.directErr)
	}
	go r.discard(o.host.Name)
	return &tunneledConn{Conn: o.conn, gateway: o.host.Name, closed: closed}
}

// discard closes the connections of the attempts that are still in progress. If a gateway reached
// the endpoint and the direct attempt stays without an answer, the path is lost; if it is accepted
// late, the path is direct.
func (r *race) discard(gateway string) {
	defer r.stopDirect()
	if gateway == "" {
		r.stopDirect()
	} else if r.directPending {
		timer := time.AfterFunc(lossAfter-time.Since(r.began), r.stopDirect)
		defer timer.Stop()
	}
	for ; r.pending > 0; r.pending-- {
		o := <-r.results
		if o.conn != nil {
			o.conn.Close()
		}
		switch {
		case o.conn != nil && o.host == nil:
			r.dialer.recordDirect(r.address, o.took)
		case o.conn != nil:
		case o.host == nil && gateway != "":
			r.dialer.recordLost(r.address, gateway, o.err)
		case o.host != nil && gateway != "" && o.took >= muteAfter:
			r.recordUnable(o) // another gateway was faster
		}
	}
}

// fail returns the error of a race that all attempts lost.
func (r *race) fail() error {
	r.stopTunnels()
	r.stopDirect()
	if r.alone {
		return r.directErr
	}
	confirmed := r.isConclusive()
	r.recordNone(r.directErr)
	if confirmed || !errors.Is(r.directErr, syscall.ECONNREFUSED) {
		return r.directErr
	}
	return &endpoint.NoPathError{Address: r.address, Cause: errors.Errorf("%v; %d of %d other hosts answered", r.directErr, r.answered, len(r.search.asked))}
}

// recordNone records that there is no path, unless hosts that may reach the endpoint weren't heard.
func (r *race) recordNone(cause error) {
	if r.isHopeless() {
		r.dialer.recordNone(r.address, r.isConclusive(), cause, r.search.evidence)
	}
}

// isHopeless reports whether no host that is known reaches the endpoint, as far as those can tell that were asked.
func (r *race) isHopeless() bool {
	switch {
	case r.isConclusive():
		return true
	case r.busy > 0 || r.mayAsk():
		return false
	case r.search.evidence.pending() == 0:
		return true
	}
	return (r.exhausted || len(r.search.asked) == r.maxAsked) && r.search.evidence.isMute(time.Now())
}

// giveUp returns the error of a race that the caller ended.
func (r *race) giveUp() error {
	if errors.Is(context.Cause(r.ctx), endpoint.ErrGivenUp) && !r.alone {
		r.recordNone(context.DeadlineExceeded)
		go r.learn()
		return r.ctx.Err()
	}
	r.stopTunnels()
	r.stopDirect()
	go r.discard("")
	return r.ctx.Err()
}

// learnFor is how long the hosts that were asked for an attempt that was given up may still answer.
const learnFor = time.Second

// learn hears the attempts of a race that was given up, for later ones: a gateway that opens the tunnel late reaches
// the endpoint, and this host doesn't.
func (r *race) learn() {
	r.stopDirect()
	timer := time.AfterFunc(learnFor, r.stopTunnels)
	defer timer.Stop()
	for ; r.pending > 0; r.pending-- {
		o := <-r.results
		if o.conn != nil {
			o.conn.Close()
		}
		switch {
		case o.host == nil && o.conn != nil:
			r.dialer.recordDirect(r.address, o.took)
		case o.host == nil:
		case o.conn != nil:
			r.dialer.recordTunnel(r.address)
			r.dialer.gateways.recordOpened(o.host, time.Now())()
			r.dialer.recordLost(r.address, o.host.Name, context.DeadlineExceeded)
		default:
			r.recordUnable(o)
		}
	}
	r.stopTunnels()
}
