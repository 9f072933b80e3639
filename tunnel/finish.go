package tunnel

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/endpoint"
)

// How a race ends, and what is learned from it.

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

// fail returns the error of a lost race.
func (r *race) fail() error {
	r.stopTunnels()
	r.stopDirect()
	go r.discard("")
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
