package peer

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/route"
)

// PermitRequest describes a call that needs a start permit.
type PermitRequest struct {
	Wait      time.Duration // how long the call may wait for the permit
	Warm      bool          // this host doesn't consider the endpoint cold
	Requester pace.Requester
}

// Permit is the answer to a request for a start permit at an endpoint.
type Permit struct {
	Granted     bool
	Delay       time.Duration // until the permit is valid, or if refused, until the next request is worthwhile
	ReturnAfter time.Duration // if refused, until the caller may come back
	ExpiresAt   time.Time     // when the permit expires, on the clock of package clock
}

const (
	// permitTimeout bounds a request for a permit. The time it takes is deducted from pace.Lag.
	permitTimeout = 150 * time.Millisecond
	// ownerlessRetry is when to ask again for a permit whose owner is unreachable: an owner is
	// confirmed again by its next heartbeat.
	ownerlessRetry = 500 * time.Millisecond
)

// AcquirePermit asks an endpoint's owner for a start permit. If the owner is unreachable, this host
// grants permits from its own share of the limit that the endpoint names, and none at a cold
// endpoint.
func (r *Router) AcquirePermit(ctx context.Context, spec *config.Endpoint, a PermitRequest) Permit {
	h, self, err := r.ownerOf(spec)
	if err != nil {
		return r.localPermit(spec)
	}
	asked := clock.Now()
	args, reply := owner.PermitArgs{Endpoint: config.NameNumber(spec.Name), Wait: int(a.Wait.Milliseconds()), Warm: a.Warm, Asker: a.Requester}, owner.PermitReply{}
	if self {
		reply, err = r.owner.Permits.Acquire(args)
	} else {
		args.Limit = r.limitOf(spec)
		err = r.noteOutcome(ctx, h, r.pool.call(ctx, h.Peers, methodStart, &args, &reply, min(permitTimeout, r.timeout())))
	}
	if err != nil {
		return r.localPermit(spec)
	}
	if !self {
		r.ReceivePeerLimit(spec, reply.Limit)
	}
	in := config.Millis(reply.InMillis)
	return Permit{Granted: reply.Given, Delay: in, ReturnAfter: config.Millis(reply.BackMillis), ExpiresAt: asked.Add(in + pace.Lag)}
}

// localPermit grants a permit that no other host knows of.
func (r *Router) localPermit(spec *config.Endpoint) Permit {
	c := r.board.Hosts.Census(time.Now())
	in, given := r.owner.Permits.AcquireIsolated(spec, r.evenShare(c), c.Phase)
	if given {
		return Permit{Granted: true, ExpiresAt: clock.Now().Add(pace.Lag)}
	}
	return Permit{Delay: min(in, ownerlessRetry), ReturnAfter: min(in, ownerlessRetry)}
}

// limitOf returns this host's view of an endpoint's limit, as it is sent to other hosts.
func (r *Router) limitOf(spec *config.Endpoint) (t pace.WireReport) {
	r.board.Endpoints.Find(config.NameNumber(spec.Name), func(_ *config.View, s *route.State) { t = s.Limit.Report().Wire(clock.Now()) })
	return t
}

// Vote implements owner.Peers.
func (r *Router) Vote(ctx context.Context, h blackboard.Host, a owner.VoteArgs) (reply owner.VoteReply, err error) {
	err = r.pool.call(ctx, h.Peers, methodVote, &a, &reply, min(permitTimeout, r.timeout()))
	return reply, err
}

// Vote answers another host's request for a vote.
func (s *server) Vote(a *owner.VoteArgs, reply *owner.VoteReply) error {
	*reply = s.r.owner.Permits.Vote(*a)
	return nil
}

// Start answers another host's request for a start permit.
func (s *server) Start(a *owner.PermitArgs, reply *owner.PermitReply) (err error) {
	*reply, err = s.r.owner.Permits.Acquire(*a)
	return err
}
