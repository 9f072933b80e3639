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

// An endpoint that is cold, or names a limit, is sent few requests a second, by all hosts
// together. Its owner gives out the starts: who calls it asks just before each call, of any
// kind. Unlike a book's room, what an owner gives out must hold while two hosts take themselves
// for the owner, so it gives out the part of the bound for which it has votes (package pace).

// StartArgs asks for a start at an endpoint.
type StartArgs struct {
	Endpoint uint32
	Wait     int  // ms that the call may wait for it
	Warm     bool // the asker takes the endpoint for warm: only its limit is asked for
	Asker    pace.Asker
	Limit    pace.Told // what the asker knows of the endpoint's limit
}

// StartReply gives a start out for a moment to come, or says when there is one.
type StartReply struct {
	Given      bool
	InMillis   int       // until the start, or where none is given until one may be asked for
	BackMillis int       // until the caller may come back, where none is given
	Limit      pace.Told // what the owner knows of the endpoint's limit
}

// VoteArgs asks a host for its votes.
type VoteArgs struct {
	Host        uint32
	Incarnation uint64
	Endpoints   []uint32
}

// VoteReply answers in the same order.
type VoteReply struct {
	Given []bool
	Of    []int // hosts that may vote, by what the host knows
}

// Starts gives out the starts at the endpoints that this host owns and that need them.
type Starts struct {
	Given, Refused, Alone atomic.Uint64

	board *blackboard.Board
	peers func() Peers
	log   *zap.Logger

	mu    sync.Mutex
	paces map[uint32]*starts
	lones map[uint32]*lone
	votes *pace.Votes
}

// starts is what a host has given out at an endpoint. Moments are by package clock.
type starts struct {
	pace.Pace
	pace.Order
	right   pace.Right
	asked   time.Time // last, for a start
	used    time.Time
	given   uint64
	refused uint64
	alone   int       // rounds of votes since it last had any
	soon    time.Time // until when the first round may bring votes
	cold    bool      // when it was last looked at
}

func newStarts(b *blackboard.Board, peers func() Peers, log *zap.Logger) *Starts {
	s := &Starts{board: b, peers: peers, log: log, paces: map[uint32]*starts{}, lones: map[uint32]*lone{}, votes: pace.NewVotes(clock.Now())}
	b.Pause.OnWake(s.Wake)
	return s
}

// Wake drops what was known before a pause: others have given out starts meanwhile.
func (s *Starts) Wake(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.votes, s.paces = pace.NewVotes(clock.Now()), map[uint32]*starts{}
}

// pace returns what was given out at an endpoint; the caller holds the lock.
func (s *Starts) pace(number uint32, now time.Time) *starts {
	p := s.paces[number]
	if p == nil {
		p = new(starts)
		s.paces[number] = p
	}
	p.used = now
	return p
}

// spec returns an endpoint under the revision in force.
func (s *Starts) spec(number uint32) (*config.View, *config.Endpoint, error) {
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

// coldTerms returns the terms for a part of what all hosts together may send a cold endpoint.
func (s *Starts) coldTerms(spec *config.Endpoint, part float64) pace.Terms {
	return pace.ColdTerms(part * pace.ColdBound(spec.ColdPerSecond, s.board.Settings.ColdOverrun, s.board.Settings.ColdTolerance))
}

// bounds are what bounds the starts at an endpoint now.
type bounds struct {
	cold, limited bool
	perSecond     float64 // that the endpoint names
}

// bounds returns what bounds the starts at an endpoint. The caller doesn't hold the lock: the
// table of endpoints is locked before it.
func (s *Starts) bounds(spec *config.Endpoint, warm bool, now time.Time) (b bounds) {
	s.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, st *route.State) {
		b.perSecond, b.limited = st.Limit.Limit(now)
		warm = warm && !st.Cold(time.Now())
	})
	b.cold = !warm && spec.ColdPerSecond > 0
	return b
}

// terms returns the terms for a part of what all hosts together may send an endpoint.
func (s *Starts) terms(spec *config.Endpoint, b bounds, part float64) pace.Terms {
	switch {
	case b.cold && b.limited:
		return s.coldTerms(spec, part).Tighter(pace.LimitTerms(b.perSecond, part))
	case b.cold:
		return s.coldTerms(spec, part)
	}
	return pace.LimitTerms(b.perSecond, part)
}

// Ask answers a StartArgs from this or another host.
func (s *Starts) Ask(a StartArgs) (StartReply, error) {
	s.board.Pause.Check()
	v, spec, err := s.spec(a.Endpoint)
	if err != nil {
		return StartReply{}, err
	}
	now := clock.Now()
	if s.peers() != nil {
		s.peers().LimitTold(spec, a.Limit)
	}
	b := s.bounds(spec, a.Warm, now)
	reply := StartReply{Given: true}
	if b.cold || b.limited {
		reply = s.give(v, spec, a, b, now)
	}
	s.board.Endpoints.Find(a.Endpoint, func(_ *config.View, st *route.State) { reply.Limit = st.Limit.Word().Tell(now) })
	return reply, nil
}

// give gives out a start, or says when there is one.
func (s *Starts) give(v *config.View, spec *config.Endpoint, a StartArgs, b bounds, now time.Time) StartReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pace(a.Endpoint, now)
	p.asked = now
	part := p.right.Part(now)
	t := s.terms(spec, b, part)
	if part == 0 && s.first(v, p, spec, now) {
		return StartReply{InMillis: millis(firstRound), BackMillis: millis(firstRound)}
	}
	in, given := p.Ask(now, t, p.Ahead(now, a.Asker, duration(a.Wait)))
	if !given {
		s.Refused.Add(1)
		p.refused++
		return StartReply{InMillis: millis(min(in, mostRetry)), BackMillis: millis(p.Promise(now, t))}
	}
	s.Given.Add(1)
	p.given++
	p.Had(now, a.Asker)
	return StartReply{Given: true, InMillis: millis(in)}
}

// first asks for votes at once for an endpoint that nobody was asked for lately, and reports
// whether they may come soon; the caller holds the lock. Without it the first calls to an
// endpoint that has turned cold wait for the next round, and prompts were read in vain. Calls
// that come before the first answers are told the same: those told that there is none leave
// the endpoint alone for what is left of mostRetry.
func (s *Starts) first(v *config.View, p *starts, spec *config.Endpoint, now time.Time) bool {
	if !s.owns(v, spec, time.Now()) {
		return false
	}
	if p.alone == 0 && !now.Before(p.soon) {
		p.soon = now.Add(startsTick)
		go s.round(context.Background(), spec.Domain, v.Region[spec.Domain], []*config.Endpoint{spec})
	}
	return now.Before(p.soon)
}

// owns reports whether this host owns an endpoint by its own view.
func (s *Starts) owns(v *config.View, spec *config.Endpoint, now time.Time) bool {
	h, ok := Of(s.board, v, spec, now)
	return ok && h.Number == s.board.Number
}

// firstRound is when to ask again for a start while the first votes are asked for: what a
// call to another host takes, and some more.
const firstRound = 30 * time.Millisecond

// mostRetry is the longest time to come back for a start: by then this host may have votes,
// or another one.
const mostRetry = time.Second

// Note takes in that a request is about to go to an endpoint that may turn cold.
func (s *Starts) Note(spec *config.Endpoint) {
	if spec.ColdPerSecond <= 0 || time.Now().Before(spec.ColdUntil) {
		return
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pace(route.Number(spec.Name), now); now.Sub(p.asked) > askedLately { // else a start was asked for
		p.Note(now, s.coldTerms(spec, 1))
	}
}

// Vote answers a VoteArgs from this or another host.
func (s *Starts) Vote(a VoteArgs) (reply VoteReply) {
	s.board.Pause.Check()
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	voters := map[string]int{} // by failure domain; mostly one
	for _, n := range a.Endpoints {
		given, of := false, 0
		if v, spec, err := s.spec(n); err == nil {
			if voters[spec.Domain] == 0 {
				hosts, _ := s.board.Hosts.Voters(spec.Domain, v.Region[spec.Domain], time.Now())
				voters[spec.Domain] = len(hosts)
			}
			holder := pace.Holder{Host: a.Host, Incarnation: a.Incarnation}
			given, of = s.votes.Give(now, n, spec.ColdPerSecond > 0, holder), voters[spec.Domain]
		}
		reply.Given, reply.Of = append(reply.Given, given), append(reply.Of, of)
	}
	return reply
}

// Count returns how many starts this host has given out at an endpoint, and how many asks it
// has refused, since it last had nothing to do with it.
func (s *Starts) Count(number uint32) (given, refused uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.paces[number]; p != nil {
		return p.given, p.refused
	}
	return 0, 0
}
