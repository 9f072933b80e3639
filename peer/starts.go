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

// StartAsk is what a call needs a start for.
type StartAsk struct {
	Wait  time.Duration // that the call may wait for it
	Warm  bool          // the endpoint isn't cold, as far as this host knows
	Asker pace.Asker
}

// Start is a start at an endpoint.
type Start struct {
	Given bool
	In    time.Duration // until it, or where none is given until one may be asked for
	Back  time.Duration // until the caller may come back, where none is given
	Until time.Time     // when it lapses, by package clock
}

const (
	// startTimeout bounds an ask for a start. What it takes is lost of pace.Lag.
	startTimeout = 150 * time.Millisecond
	// unheldRest is when to ask again for a start whose owner is out of reach: a doubt
	// of it ends with its next heartbeat.
	unheldRest = 500 * time.Millisecond
)

// Start asks an endpoint's owner for a start. Where the owner is out of reach, there is what
// this host may send by itself to one that names a limit, and none at a cold one.
func (r *Router) Start(ctx context.Context, spec *config.Endpoint, a StartAsk) Start {
	h, self, err := r.ownerOf(spec)
	if err != nil {
		return r.startAlone(spec)
	}
	asked := clock.Now()
	args, reply := owner.StartArgs{Endpoint: config.NameNumber(spec.Name), Wait: int(a.Wait.Milliseconds()), Warm: a.Warm, Asker: a.Asker}, owner.StartReply{}
	if self {
		reply, err = r.owner.Starts.Ask(args)
	} else {
		args.Limit = r.limitOf(spec)
		err = r.fail(ctx, h, r.pool.call(ctx, h.Peers, methodStart, &args, &reply, min(startTimeout, r.timeout())))
	}
	if err != nil {
		return r.startAlone(spec)
	}
	if !self {
		r.LimitTold(spec, reply.Limit)
	}
	in := config.Millis(reply.InMillis)
	return Start{Given: reply.Given, In: in, Back: config.Millis(reply.BackMillis), Until: asked.Add(in + pace.Lag)}
}

// startAlone gives a start out that no other host knows of.
func (r *Router) startAlone(spec *config.Endpoint) Start {
	in, given := r.owner.Starts.AskAlone(spec, r.evenPart(r.board.Hosts.Census(time.Now())))
	if given {
		return Start{Given: true, Until: clock.Now().Add(pace.Lag)}
	}
	return Start{In: min(in, unheldRest), Back: min(in, unheldRest)}
}

// limitOf returns what this host tells of an endpoint's limit.
func (r *Router) limitOf(spec *config.Endpoint) (t pace.Told) {
	r.board.Endpoints.Find(config.NameNumber(spec.Name), func(_ *config.View, s *route.State) { t = s.Limit.Word().Tell(clock.Now()) })
	return t
}

// Vote implements owner.Peers.
func (r *Router) Vote(ctx context.Context, h blackboard.Host, a owner.VoteArgs) (reply owner.VoteReply, err error) {
	err = r.pool.call(ctx, h.Peers, methodVote, &a, &reply, min(startTimeout, r.timeout()))
	return reply, err
}

// Vote answers another host.
func (s *server) Vote(a *owner.VoteArgs, reply *owner.VoteReply) error {
	*reply = s.r.owner.Starts.Vote(*a)
	return nil
}

// Start answers another host.
func (s *server) Start(a *owner.StartArgs, reply *owner.StartReply) (err error) {
	*reply, err = s.r.owner.Starts.Ask(*a)
	return err
}
