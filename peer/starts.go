package peer

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/cold"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
)

// Start is a start at a cold endpoint.
type Start struct {
	Given bool
	In    time.Duration // until it, or where none is given until one may be asked for
	Until time.Time     // when it lapses
}

const (
	// startTimeout bounds an ask for a start. What it takes is lost of cold.Lag.
	startTimeout = 150 * time.Millisecond
	// unheldRest is when to ask again for a start whose owner is out of reach: a doubt
	// of it ends with its next heartbeat.
	unheldRest = 500 * time.Millisecond
)

// Start asks an endpoint's owner for a start that comes within wait. Where the owner is out
// of reach there is none: hosts that went on by themselves would exceed what a cold endpoint
// bears as soon as there are more of them than it bears requests.
func (r *Router) Start(ctx context.Context, spec *config.Endpoint, wait time.Duration) Start {
	h, self, err := r.ownerOf(spec)
	if err != nil {
		return Start{In: unheldRest}
	}
	asked := time.Now()
	args, reply := owner.StartArgs{Endpoint: config.NameNumber(spec.Name), Wait: int(wait.Milliseconds())}, owner.StartReply{}
	if self {
		reply, err = r.owner.Starts.Ask(args)
	} else {
		err = r.fail(ctx, h, r.pool.call(ctx, h.Peers, methodStart, &args, &reply, min(startTimeout, r.timeout())))
	}
	if err != nil {
		return Start{In: unheldRest}
	}
	in := config.Millis(reply.InMillis)
	return Start{Given: reply.Given, In: in, Until: asked.Add(in + cold.Lag)}
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
