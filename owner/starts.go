package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// An endpoint that is cold, or names a limit, may be sent only few requests a second by all hosts
// together. Its owner hands out start permits, and a host acquires one just before each call of
// any kind. Unlike a scheduler's capacity, the bound on permits must hold even while two hosts
// consider themselves the owner. An owner therefore hands out only the share of the bound for
// which it has votes (package pace).

// PermitArgs requests a start permit at an endpoint.
type PermitArgs struct {
	Endpoint uint32
	Wait     int  // ms that the call may wait for it
	Warm     bool // the requester considers the endpoint warm, so only its limit applies
	Asker    pace.Requester
	Limit    pace.WireReport // the endpoint's limit as known to the requester
}

// PermitReply grants a permit for a call in InMillis, or says when to ask again.
type PermitReply struct {
	Given      bool
	InMillis   int             // until the call may start; without a permit, until the next request for one
	BackMillis int             // without a permit: until the caller may retry
	Limit      pace.WireReport // the endpoint's limit as known to the owner
}

// VoteArgs requests a host's votes.
type VoteArgs struct {
	Host        uint32
	Incarnation uint64
	Endpoints   []uint32
}

// VoteReply holds the votes, in the order of VoteArgs.Endpoints.
type VoteReply struct {
	Given []bool
	Of    []int // number of hosts that may vote, as far as the voter knows
}

// Permits hands out start permits for the endpoints that this host owns and that need them.
type Permits struct {
	Given, Refused, Isolated atomic.Uint64

	board *blackboard.Board
	peers func() Peers
	log   *zap.Logger

	mu       sync.Mutex
	permits  map[uint32]*endpointPermits
	isolated map[uint32]*isolatedPace
	votes    *pace.Votes
}

// endpointPermits tracks the permits that a host has handed out at one endpoint. Times are by package
// clock.
type endpointPermits struct {
	pace.Bucket
	pace.Order
	quorum             pace.GrantedVotes
	lastAsked          time.Time // last request for a permit
	lastUsed           time.Time
	given              uint64
	refused            uint64
	roundsWithoutVotes int       // voting rounds since this host last had any votes
	firstRoundUntil    time.Time // end of the time in which the first round may bring votes
	cold               bool      // as of the last check
}

func newPermits(b *blackboard.Board, peers func() Peers, log *zap.Logger) *Permits {
	s := &Permits{board: b, peers: peers, log: log, permits: map[uint32]*endpointPermits{}, isolated: map[uint32]*isolatedPace{}, votes: pace.NewVotes(clock.Now())}
	b.Pause.OnWake(s.Reset)
	return s
}

// Reset drops the state from before a pause: other hosts may have handed out permits since.
func (s *Permits) Reset(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.votes, s.permits = pace.NewVotes(clock.Now()), map[uint32]*endpointPermits{}
}

// permitsAt returns the permits handed out at an endpoint. The caller holds the lock.
func (s *Permits) permitsAt(number uint32, now time.Time) *endpointPermits {
	p := s.permits[number]
	if p == nil {
		p = new(endpointPermits)
		s.permits[number] = p
	}
	p.lastUsed = now
	return p
}

// spec returns an endpoint of the revision in force.
func (s *Permits) spec(number uint32) (*config.View, *config.Endpoint, error) {
	v := s.board.Config.View()
	if v == nil {
		return nil, nil, result.Errorf(result.NotReady, "no configuration yet")
	}
	spec := v.Endpoints.Get(number)
	if spec == nil {
		return nil, nil, result.Errorf(result.NoEndpoint, "endpoint %d is not in revision %d", number, v.Revision)
	}
	return v, spec, nil
}

// coldTerms returns the terms for a share of what all hosts together may send a cold endpoint.
func (s *Permits) coldTerms(spec *config.Endpoint, share float64) pace.BucketParams {
	return pace.ColdParams(share * pace.ColdBound(spec.ColdPerSecond, s.board.Settings.ColdOverrun, s.board.Settings.ColdTolerance))
}

// bounds says which bounds apply to the permits at an endpoint.
type bounds struct {
	cold, limited bool
	perSecond     float64 // the limit named by the endpoint
}

// bounds returns the bounds that apply at an endpoint. The caller must not hold the lock, because
// this locks the endpoint table, whose lock is taken before it.
func (s *Permits) bounds(spec *config.Endpoint, warm bool, now time.Time) (b bounds) {
	s.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, st *route.State) {
		b.perSecond, b.limited = st.Limit.Limit(now)
		warm = warm && !st.IsCold(time.Now())
	})
	b.cold = !warm && spec.ColdPerSecond > 0
	return b
}

// terms returns the terms for a share of what all hosts together may send an endpoint.
func (s *Permits) terms(spec *config.Endpoint, b bounds, share float64) pace.BucketParams {
	switch {
	case b.cold && b.limited:
		return s.coldTerms(spec, share).Tighter(pace.LimitParams(b.perSecond, share))
	case b.cold:
		return s.coldTerms(spec, share)
	}
	return pace.LimitParams(b.perSecond, share)
}

// Acquire handles a PermitArgs from this or another host.
func (s *Permits) Acquire(a PermitArgs) (PermitReply, error) {
	s.board.Pause.Check()
	v, spec, err := s.spec(a.Endpoint)
	if err != nil {
		return PermitReply{}, err
	}
	now := clock.Now()
	if s.peers() != nil {
		s.peers().ReceivePeerLimit(spec, a.Limit)
	}
	b := s.bounds(spec, a.Warm, now)
	reply := PermitReply{Given: true}
	if b.cold || b.limited {
		reply = s.grant(v, spec, a, b, now)
	}
	s.board.Endpoints.Find(a.Endpoint, func(_ *config.View, st *route.State) { reply.Limit = st.Limit.Report().Wire(now) })
	return reply, nil
}

// grant hands out a permit, or says when to ask again.
func (s *Permits) grant(v *config.View, spec *config.Endpoint, a PermitArgs, b bounds, now time.Time) PermitReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.permitsAt(a.Endpoint, now)
	p.lastAsked = now
	share := p.quorum.Share(now)
	t := s.terms(spec, b, share)
	if share == 0 && s.requestFirstVotes(v, p, spec, now) {
		return PermitReply{InMillis: millis(firstRoundDelay), BackMillis: millis(firstRoundDelay)}
	}
	in, given := p.Acquire(now, t, p.WaitLimit(now, a.Asker, duration(a.Wait)))
	if !given {
		s.Refused.Add(1)
		p.refused++
		return PermitReply{InMillis: millis(min(in, maxRetryDelay)), BackMillis: millis(p.RetryAfter(now, t))}
	}
	s.Given.Add(1)
	p.given++
	p.NoteGrant(now, a.Asker)
	return PermitReply{Given: true, InMillis: millis(in)}
}

// requestFirstVotes requests votes at once for an endpoint for which none were requested lately,
// and reports whether votes may arrive soon. The caller holds the lock. Without it the first calls
// to an endpoint that has turned cold waited for the next round, and prefills were wasted. Calls
// that arrive before the first votes get the same answer, because a call that is refused without
// it avoids the endpoint for the rest of maxRetryDelay.
func (s *Permits) requestFirstVotes(v *config.View, p *endpointPermits, spec *config.Endpoint, now time.Time) bool {
	if !s.owns(v, spec, time.Now()) {
		return false
	}
	if p.roundsWithoutVotes == 0 && !now.Before(p.firstRoundUntil) {
		p.firstRoundUntil = now.Add(voteInterval)
		go s.requestVotes(context.Background(), spec.Domain, v.Region[spec.Domain], []*config.Endpoint{spec})
	}
	return now.Before(p.firstRoundUntil)
}

// owns reports whether this host owns an endpoint according to its own view.
func (s *Permits) owns(v *config.View, spec *config.Endpoint, now time.Time) bool {
	h, ok := Of(s.board, v, spec, now)
	return ok && h.Number == s.board.Number
}

// firstRoundDelay is the delay before asking again while the first votes are requested. It exceeds
// the time of a call to another host.
const firstRoundDelay = 30 * time.Millisecond

// maxRetryDelay is the longest delay before asking for a permit again. By then this host, or
// another one, may have votes.
const maxRetryDelay = time.Second

// RecordSent records that a request is about to be sent to an endpoint that may turn cold.
func (s *Permits) RecordSent(spec *config.Endpoint) {
	if spec.ColdPerSecond <= 0 || time.Now().Before(spec.ColdUntil) {
		return
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.permitsAt(route.Number(spec.Name), now); now.Sub(p.lastAsked) > requestWindow { // otherwise a permit was acquired for it
		p.ChargeUnpermitted(now, s.coldTerms(spec, 1))
	}
}

// Vote handles a VoteArgs from this or another host.
func (s *Permits) Vote(a VoteArgs) (reply VoteReply) {
	s.board.Pause.Check()
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	voters := map[string]int{} // by failure domain; usually only one
	for _, n := range a.Endpoints {
		given, of := false, 0
		if v, spec, err := s.spec(n); err == nil {
			if voters[spec.Domain] == 0 {
				hosts, _ := s.board.Hosts.Voters(spec.Domain, v.Region[spec.Domain], time.Now())
				voters[spec.Domain] = len(hosts)
			}
			holder := pace.Holder{Host: a.Host, Incarnation: a.Incarnation}
			given, of = s.votes.Grant(now, n, spec.ColdPerSecond > 0, holder), voters[spec.Domain]
		}
		reply.Given, reply.Of = append(reply.Given, given), append(reply.Of, of)
	}
	return reply
}

// Count returns how many permits this host has granted and refused at an endpoint, since it began
// to track the endpoint.
func (s *Permits) Count(number uint32) (given, refused uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.permits[number]; p != nil {
		return p.given, p.refused
	}
	return 0, 0
}
