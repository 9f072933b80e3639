package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/meter"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
	"github.com/embercove/embercove/tunnel"
)

// Router forwards calls to the owner of an endpoint or the holder of a key, which is this host
// itself or a peer.
type Router struct {
	Traffic        meter.Traffic        // with other hosts
	PurposeTraffic meter.PurposeTraffic // traffic by purpose
	Fetches        meter.Fetches        // fetches of what this host lacked
	// OnAccepted is called with each revision that takes effect. It may be nil, and is set before
	// the router is used.
	OnAccepted func(v *config.View)
	// OnEvacuated is called when more failure domains are evacuated than before. It may be nil,
	// and is set before the router is used.
	OnEvacuated func(v *config.View)

	// Tunnels passes on connections of other hosts to endpoints. It may be nil, and is set before the
	// router is used.
	Tunnels *tunnel.Gateway
	// TunnelDial opens the connections of tunnels to other hosts. It is set before the router is used.
	TunnelDial Dial

	board *blackboard.Board
	owner *owner.Owner
	pool  *pool
	bulk  *pool // for fetches, whose answers may be large
	log   *zap.Logger

	viewMu sync.Mutex // held while the tables are updated; taken before all other locks

	recordersMu  sync.Mutex             // taken before the lock of the host table
	recorderSets map[string]recorderSet // by failure domain

	fetcher    fetcher
	joins      joinExchanges
	startedAt  time.Time // by package clock
	marksKnown atomic.Bool
	learning   map[string]bool // addresses of hosts that said they have just started; guarded by mu
	transits   transits
	roundTrips roundTrips
	packer     packer

	mu              sync.Mutex
	releases        map[string][]owner.Release // by peer address
	unnamed         map[uint32]bool            // hosts known by number only
	listed          map[uint32]bool            // hosts on the platform's list
	missedPings     map[uint32]int             // pings in a row that a watched host didn't answer
	announceUntil   time.Time                  // until when changes are announced again
	seeds           []string                   // nil: the seeds of the settings
	round           uint64
	exchanges       uint64    // number of exchanges made
	exchangeBytes   int       // bytes of the last exchange
	membersDiffer   bool      // another host's members differ from this one's
	allRequestedAt  time.Time // when all heartbeats were last requested
	spreadAt        time.Time // when changes were last announced, or next will be
	rosterSpreadAt  time.Time // the same for rosters
	digestsSentAt   time.Time // when digests were last sent
	standingSentAt  time.Time // when the own domain was last sent this host's revisions
	versionsLearned int       // hosts that this one has asked for recent software versions of answers
	marksComparedAt time.Time // when marks were last compared with another host's
}

// NewRouter returns a router over the board and this host's own owner. If dial is nil, it dials
// TCP.
func NewRouter(b *blackboard.Board, o *owner.Owner, dial Dial, log *zap.Logger) *Router {
	r := &Router{board: b, owner: o, log: log, startedAt: clock.Now(), releases: map[string][]owner.Release{}, recorderSets: map[string]recorderSet{}, unnamed: map[uint32]bool{}, listed: map[uint32]bool{}, missedPings: map[uint32]int{}, learning: map[string]bool{}, membersDiffer: true}
	r.pool = newPool(dial, &r.Traffic, &r.PurposeTraffic)
	r.bulk = newPool(dial, &r.Traffic, &r.PurposeTraffic)
	r.pool.answers, r.pool.gate = b.Answers, b.Intake
	b.Intake.Probe = r.measureDelay
	o.SetPeers(r)
	b.Answers.Ping = r.pingWitnesses
	return r
}

// Close closes the connections to peers.
func (r *Router) Close() {
	r.pool.close()
	r.bulk.close()
}

// Connections returns how many connections to other hosts are open.
func (r *Router) Connections() int { return r.pool.size() + r.bulk.size() }

func (r *Router) timeout() time.Duration { return config.Millis(r.board.Settings.RPCMillis) }

// ownerOf returns the host that owns an endpoint. It fails at once if that host didn't answer
// recently.
func (r *Router) ownerOf(spec *config.Endpoint) (h blackboard.Host, self bool, err error) {
	h, ok := owner.Of(r.board, r.board.Config.View(), spec, time.Now())
	if !ok || h.Unconfirmed || h.Peers == "" || r.board.Domains.CutOff(h.Domain, time.Now()) {
		return h, false, ErrUnreachable
	}
	return h, h.Number == r.board.Number, nil
}

// noteOutcome records whether a call to a host succeeded.
func (r *Router) noteOutcome(ctx context.Context, h blackboard.Host, err error) error {
	if err == nil {
		r.noteAnswered(h)
		return nil
	}
	if ctx.Err() != nil {
		return err
	}
	if errors.Is(err, errNobodyAnswers) {
		return ErrUnreachable
	}
	if !isTimeout(err) || r.pool.dead(h.Peers) {
		r.board.Hosts.MarkUnconfirmed(h.Number)
	}
	if isTimeout(err) {
		r.noteSilent(h)
	}
	r.log.Debug("peer failed", zap.String("host", h.Name), zap.Error(err))
	return ErrUnreachable
}

// noteAnswered records that a host answered.
func (r *Router) noteAnswered(h blackboard.Host) {
	if h.Unconfirmed {
		r.board.Hosts.Confirm(h.Number)
		r.board.Wake.All()
	}
	if r.board.RecordAnswer(h.Domain) {
		r.log.Info("failure domain back", zap.String("domain", h.Domain), zap.String("heard", h.Name))
	}
}

// noteSilent records that a host didn't respond to a call.
func (r *Router) noteSilent(h blackboard.Host) {
	now := time.Now()
	if r.board.RecordMiss(h.Domain, h.Number, now, now) {
		r.log.Warn("failure domain cut off", zap.String("domain", h.Domain), zap.String("silent", h.Name))
	}
}

// isTimeout reports whether err means that a host didn't respond. A host whose process is gone
// refuses the connection instead.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, ErrUnreachable) || errors.As(err, &timeout) && timeout.Timeout()
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
	} else if err = r.noteOutcome(ctx, h, r.pool.call(ctx, h.Peers, methodReserve, &a, &reply, r.timeout())); err != nil {
		return owner.ReserveReply{}, err
	}
	if err == nil {
		r.board.Endpoints.Learn(reply.Digest, time.Now())
	}
	return reply, err
}

// Enqueue waits at the endpoint's owner for admission. If the caller leaves meanwhile, the owner
// is informed.
func (r *Router) Enqueue(ctx context.Context, spec *config.Endpoint, a owner.EnqueueArgs) (owner.EnqueueReply, error) {
	h, self, err := r.ownerOf(spec)
	if err != nil {
		return owner.EnqueueReply{}, err
	}
	var reply owner.EnqueueReply
	if self {
		reply, err = r.owner.Enqueue(ctx, a)
	} else {
		// A frozen owner is detected long before the request's slack is used up.
		wait := r.timeout() + config.Millis(a.Slack)
		if a.Expect > 0 {
			wait = r.timeout() + config.Millis(min(a.Slack, waitFactor*a.Expect+minWaitMillis))
		}
		err = r.callWatched(ctx, h, methodEnqueue, &a, &reply, wait, r.watchTimeout(a))
	}
	if err != nil || reply.Code == result.CallerGone {
		rel := owner.Release{Attempt: a.Attempt, Endpoint: a.Endpoint, Outcome: owner.Abandoned}
		if ctx.Err() != nil {
			rel.Outcome = owner.CallerLeft
		}
		r.Release(spec, rel)
	}
	if err = r.noteOutcome(ctx, h, err); err != nil {
		return owner.EnqueueReply{}, err
	}
	r.board.Endpoints.Learn(reply.Digest, time.Now())
	return reply, nil
}

// remoteRegionWatch is how long an owner in another region may be silent before it is pinged. The
// request was already refused in its home region and has to be tried in a third one if this one
// is cut off: with the ordinary call timeout, 625 ms of the request's 810 ms had passed by then.
const remoteRegionWatch = 100 * time.Millisecond

// watchTimeout returns how long an owner may be silent while a request waits for admission.
func (r *Router) watchTimeout(a owner.EnqueueArgs) time.Duration {
	if a.Abroad {
		return min(remoteRegionWatch, r.timeout())
	}
	return r.timeout()
}

// callWatched makes a call that may take long. While it waits, the host is pinged from time to
// time, so that a host that froze or was cut off is detected soon.
func (r *Router) callWatched(ctx context.Context, h blackboard.Host, method string, args, reply any, timeout, watch time.Duration) error {
	watched, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for wait.For(watched, watch) {
			if r.pool.answeredWithin(h.Peers, watch) {
				continue
			}
			if err := r.pool.call(watched, h.Peers, methodPing, &Nothing{}, new(Heartbeat), pingTimeoutHalves*watch/2); err != nil && !errors.Is(err, errNobodyAnswers) {
				cancel(ErrUnreachable)
			}
		}
	}()
	err := r.pool.call(watched, h.Peers, method, args, reply, timeout)
	if err != nil && context.Cause(watched) == ErrUnreachable {
		return ErrUnreachable
	}
	return err
}

// pingTimeoutHalves is how long callWatched's pings may take, in halves of the silence after which
// they are sent: a lost packet is resent after about 200 ms.
const pingTimeoutHalves = 3

// How long an owner may keep a queued request beyond the expected wait.
const (
	waitFactor    = 3
	minWaitMillis = 400 // added to waitFactor times the expected wait
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

// AddCalls counts a request that this host sent to an endpoint (n is 1) or that ended there (n is
// -1). The baseline policies, which have no other information, use the count.
func (r *Router) AddCalls(number uint32, n int) {
	r.board.Endpoints.Update(number, func(s *route.State) { s.InFlight += n })
}
