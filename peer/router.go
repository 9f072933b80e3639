package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/meter"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Router takes calls to whoever owns an endpoint or a key: this host itself
// or a peer.
type Router struct {
	Traffic meter.Traffic // with other hosts
	Spent   meter.Ledger  // the same by purpose
	Fetches meter.Fetches // of what other hosts have and this one lacks
	// Accepted is called with each revision that comes into force; it is
	// set before the router is used, and may be nil.
	Accepted func(v *config.View)
	// Emptied is called when other failure domains are being emptied than before; it is
	// set before the router is used, or nil.
	Emptied func(v *config.View)

	board *blackboard.Board
	owner *owner.Owner
	pool  *pool
	bulk  *pool // of fetches, whose answers may be large
	log   *zap.Logger

	layMu sync.Mutex // held while the tables are laid out; taken before all others

	fetcher fetcher
	joins   joins
	packer  packer

	mu        sync.Mutex
	releases  map[string][]owner.Release // by peer address
	unknown   map[uint32]bool            // hosts to be introduced
	listed    map[uint32]bool            // hosts on the platform's list
	missed    map[uint32]int             // pings in a row that a watched host did not answer
	hot       time.Time                  // until when news is told around
	seeds     []string                   // nil: those of the settings
	round     uint64
	told      uint64    // exchanges made
	size      int       // bytes of the last
	differs   bool      // others named other members
	askedAll  time.Time // when all heartbeats were last asked for
	spreadAt  time.Time // when news was last told around, or will be
	rosterAt  time.Time // the same of a roster
	digestsAt time.Time // when digests were last told
	domainAt  time.Time // when the own domain was last told what is in force here
	marksAt   time.Time // when marks were last compared with another host's
}

// NewRouter returns a router over the board and this host's own owner. A nil
// dial uses TCP.
func NewRouter(b *blackboard.Board, o *owner.Owner, dial Dial, log *zap.Logger) *Router {
	r := &Router{board: b, owner: o, log: log, releases: map[string][]owner.Release{}, unknown: map[uint32]bool{}, listed: map[uint32]bool{}, missed: map[uint32]int{}, differs: true}
	r.pool = newPool(dial, &r.Traffic, &r.Spent)
	r.bulk = newPool(dial, &r.Traffic, &r.Spent)
	o.SetPeers(r)
	return r
}

// Close closes the connections to peers.
func (r *Router) Close() {
	r.pool.close()
	r.bulk.close()
}

// Connections returns how many connections this host keeps to others.
func (r *Router) Connections() int { return r.pool.size() + r.bulk.size() }

func (r *Router) timeout() time.Duration { return config.Millis(r.board.Settings.RPCMillis) }

// ownerOf returns where an endpoint's owner is. It fails at once for an owner
// that didn't answer lately.
func (r *Router) ownerOf(spec *config.Endpoint) (h blackboard.Host, self bool, err error) {
	h, ok := owner.Of(r.board, r.board.Config.View(), spec, time.Now())
	if !ok || h.Doubted || h.Peers == "" || r.board.Domains.CutOff(h.Domain, time.Now()) {
		return h, false, ErrOutOfReach
	}
	return h, h.Number == r.board.Number, nil
}

// fail notes that a host didn't answer.
func (r *Router) fail(ctx context.Context, h blackboard.Host, err error) error {
	if err == nil {
		r.heard(h)
		return nil
	}
	if ctx.Err() != nil {
		return err
	}
	if !silent(err) || r.pool.dead(h.Peers) {
		r.board.Hosts.Doubt(h.Number)
	}
	if silent(err) {
		r.unheard(h)
	}
	r.log.Debug("peer failed", zap.String("host", h.Name), zap.Error(err))
	return ErrOutOfReach
}

// heard notes that a host answered.
func (r *Router) heard(h blackboard.Host) {
	if h.Doubted {
		r.board.Hosts.Answered(h.Number)
		r.board.Wake.All()
	}
	if r.board.Heard(h.Domain) {
		r.log.Info("failure domain back", zap.String("domain", h.Domain), zap.String("heard", h.Name))
	}
}

// unheard notes that a host said nothing to a call.
func (r *Router) unheard(h blackboard.Host) {
	if r.board.Missed(h.Domain, h.Number, time.Now()) {
		r.log.Warn("failure domain cut off", zap.String("domain", h.Domain), zap.String("silent", h.Name))
	}
}

// silent reports whether err means that a host said nothing. One whose process
// is gone refuses instead.
func silent(err error) bool {
	var timeout net.Error
	return errors.Is(err, ErrOutOfReach) || errors.As(err, &timeout) && timeout.Timeout()
}

// Reserve asks the endpoint's owner for decode memory.
func (r *Router) Reserve(ctx context.Context, spec *config.Endpoint, a owner.ReserveArgs) (owner.ReserveReply, error) {
	h, self, err := r.ownerOf(spec)
	if err != nil {
		return owner.ReserveReply{}, err
	}
	var reply owner.ReserveReply
	if self {
		reply, err = r.owner.Reserve(ctx, a)
	} else if err = r.fail(ctx, h, r.pool.call(ctx, h.Peers, methodReserve, &a, &reply, r.timeout())); err != nil {
		return owner.ReserveReply{}, err
	}
	if err == nil {
		r.board.Endpoints.Learn(reply.Digest, time.Now())
	}
	return reply, err
}

// Enqueue waits at the endpoint's owner for its turn. When the caller leaves
// meanwhile, the owner is told so.
func (r *Router) Enqueue(ctx context.Context, spec *config.Endpoint, a owner.EnqueueArgs) (owner.EnqueueReply, error) {
	h, self, err := r.ownerOf(spec)
	if err != nil {
		return owner.EnqueueReply{}, err
	}
	var reply owner.EnqueueReply
	if self {
		reply, err = r.owner.Enqueue(ctx, a)
	} else {
		// An owner that froze is found out long before the request's slack
		// is over.
		wait := r.timeout() + config.Millis(a.Slack)
		if a.Expect > 0 {
			wait = r.timeout() + config.Millis(min(a.Slack, waitFactor*a.Expect+waitLeast))
		}
		err = r.callWatched(ctx, h, methodEnqueue, &a, &reply, wait, r.watchOf(a))
	}
	if err != nil || reply.Code == result.CallerGone {
		left := owner.Release{Attempt: a.Attempt, Endpoint: a.Endpoint, Outcome: owner.GivenUp}
		if ctx.Err() != nil {
			left.Outcome = owner.Left
		}
		r.Release(spec, left)
	}
	if err = r.fail(ctx, h, err); err != nil {
		return owner.EnqueueReply{}, err
	}
	r.board.Endpoints.Learn(reply.Digest, time.Now())
	return reply, nil
}

// abroadWatch is how soon an owner of another region is asked for a sign of life. The
// request has been refused at home, and is to be tried in a third region if this one is cut
// off: with the ordinary time for a call, 625 ms of its 810 ms were gone by then.
const abroadWatch = 100 * time.Millisecond

// watchOf returns how long an owner may say nothing to a request for a turn.
func (r *Router) watchOf(a owner.EnqueueArgs) time.Duration {
	if a.Abroad {
		return min(abroadWatch, r.timeout())
	}
	return r.timeout()
}

// callWatched makes a call that may take long. While it waits the host is asked
// now and then for a sign of life, so that one that froze or was cut off is found out soon.
func (r *Router) callWatched(ctx context.Context, h blackboard.Host, method string, args, reply any, timeout, watch time.Duration) error {
	watched, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for wait.For(watched, watch) {
			if r.pool.heardWithin(h.Peers, watch) {
				continue
			}
			if err := r.pool.call(watched, h.Peers, methodPing, &Nothing{}, new(Beat), signPatience*watch/2); err != nil {
				cancel(ErrOutOfReach)
			}
		}
	}()
	err := r.pool.call(watched, h.Peers, method, args, reply, timeout)
	if err != nil && context.Cause(watched) == ErrOutOfReach {
		return ErrOutOfReach
	}
	return err
}

// signPatience is how long a sign of life may take, in halves of the time for a
// call: a packet that was lost is sent again after some 200 ms.
const signPatience = 3

// How long an owner may keep a queued request beyond what was expected.
const (
	waitFactor = 3
	waitLeast  = 400 // ms
)

// Claims implements owner.Peers.
func (r *Router) Claims(ctx context.Context, h blackboard.Host, attempts []request.Attempt) ([]bool, error) {
	var reply ClaimsReply
	err := r.pool.call(ctx, h.Peers, methodClaims, &ClaimsArgs{attempts}, &reply, r.timeout())
	return reply.Held, err
}

// Handover implements owner.Peers.
func (r *Router) Handover(ctx context.Context, h blackboard.Host, ho owner.Handover) error {
	return r.pool.call(ctx, h.Peers, methodHandover, &ho, &Nothing{}, r.timeout())
}

// Inherit implements owner.Peers.
func (r *Router) Inherit(ctx context.Context, h blackboard.Host, endpoint uint32) (owner.Handover, error) {
	var reply owner.Handover
	err := r.pool.call(ctx, h.Peers, methodInherit, &InheritArgs{Endpoint: endpoint}, &reply, r.timeout())
	return reply, err
}

// Touched notes that this host sent a request to an endpoint (n 1) or that
// one ended (n -1), for the baselines that know no more.
func (r *Router) Touched(number uint32, n int) {
	r.board.Endpoints.Touch(number, func(s *route.State) { s.Sent += n })
}
