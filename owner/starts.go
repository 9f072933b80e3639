package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/cold"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// A cold endpoint bears few requests a second, over all hosts together. Its owner gives
// out the starts: who calls it asks just before each call, of any kind. Unlike a book's
// room, what an owner gives out must hold while two hosts take themselves for the owner,
// so it gives out the part of the bound for which it has votes (package cold).

// StartArgs asks for a start at a cold endpoint.
type StartArgs struct {
	Endpoint uint32
	Wait     int // ms that the call may wait for it
}

// StartReply gives a start out for a moment to come, or says when there is one.
type StartReply struct {
	Given    bool
	InMillis int // until the start, or where none is given until one may be asked for
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

// Starts gives out the starts at the cold endpoints that this host owns.
type Starts struct {
	Given, Refused atomic.Uint64

	board *blackboard.Board
	peers func() Peers
	log   *zap.Logger

	mu    sync.Mutex
	paces map[uint32]*pace
	votes *cold.Votes
}

// pace is what a host has given out at an endpoint.
type pace struct {
	cold.Pace
	right cold.Right
	asked time.Time // last, for a start
	used  time.Time
	given uint64
	alone int       // rounds of votes since it last had any
	soon  time.Time // until when the first round may bring votes
	cold  bool      // when it was last looked at
}

func newStarts(b *blackboard.Board, peers func() Peers, log *zap.Logger) *Starts {
	s := &Starts{board: b, peers: peers, log: log, paces: map[uint32]*pace{}, votes: cold.NewVotes(time.Now())}
	b.Pause.OnWake(s.Wake)
	return s
}

// Wake drops what was known before a pause: others have given out starts meanwhile.
func (s *Starts) Wake(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.votes, s.paces = cold.NewVotes(now), map[uint32]*pace{}
}

// pace returns what was given out at an endpoint; the caller holds the lock.
func (s *Starts) pace(number uint32, now time.Time) *pace {
	p := s.paces[number]
	if p == nil {
		p = new(pace)
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
	spec := v.ByNumber[number]
	if spec == nil {
		return nil, nil, result.Errorf(result.NoEndpoint, "endpoint %d is not in revision %d", number, v.Revision)
	}
	return v, spec, nil
}

// bound returns how many starts all hosts together may use at an endpoint in a second.
func (s *Starts) bound(spec *config.Endpoint) float64 {
	return cold.Bound(spec.ColdPerSecond, s.board.Settings.ColdOverrun, s.board.Settings.ColdTolerance)
}

// Ask answers a StartArgs from this or another host.
func (s *Starts) Ask(a StartArgs) (StartReply, error) {
	s.board.Pause.Check()
	v, spec, err := s.spec(a.Endpoint)
	if err != nil {
		return StartReply{}, err
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pace(a.Endpoint, now)
	p.asked = now
	part := p.right.Part(now)
	if part == 0 && s.first(v, p, spec, now) {
		return StartReply{InMillis: millis(firstRound)}, nil
	}
	in, given := p.Ask(now, s.bound(spec)*part, min(duration(a.Wait), cold.MostWait))
	if !given {
		s.Refused.Add(1)
		return StartReply{InMillis: millis(min(in, mostRetry))}, nil
	}
	s.Given.Add(1)
	p.given++
	return StartReply{Given: true, InMillis: millis(in)}, nil
}

// first asks for votes at once for an endpoint that nobody was asked for lately, and reports
// whether they may come soon; the caller holds the lock. Without it the first calls to an
// endpoint that has turned cold wait for the next round, and prompts were read in vain. Calls
// that come before the first answers are told the same: those told that there is none leave
// the endpoint alone for what is left of mostRetry.
func (s *Starts) first(v *config.View, p *pace, spec *config.Endpoint, now time.Time) bool {
	if !s.owns(v, spec, now) {
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

// Note takes in that a request is about to go to an endpoint that is not cold.
func (s *Starts) Note(spec *config.Endpoint, now time.Time) {
	if spec.ColdPerSecond <= 0 || now.Before(spec.ColdUntil) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pace(route.Number(spec.Name), now); now.Sub(p.asked) > askedLately { // else a start was asked for
		p.Note(now, s.bound(spec))
	}
}

// Vote answers a VoteArgs from this or another host.
func (s *Starts) Vote(a VoteArgs) (reply VoteReply) {
	s.board.Pause.Check()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	voters := map[string]int{} // by failure domain; mostly one
	for _, n := range a.Endpoints {
		given, of := false, 0
		if v, spec, err := s.spec(n); err == nil {
			if voters[spec.Domain] == 0 {
				hosts, _ := s.board.Hosts.Voters(spec.Domain, v.Region[spec.Domain], now)
				voters[spec.Domain] = len(hosts)
			}
			given, of = s.votes.Give(now, n, cold.Holder{Host: a.Host, Incarnation: a.Incarnation}), voters[spec.Domain]
		}
		reply.Given, reply.Of = append(reply.Given, given), append(reply.Of, of)
	}
	return reply
}

// Count returns how many starts this host has given out at an endpoint, since it last had
// nothing to do with it.
func (s *Starts) Count(number uint32) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.paces[number]; p != nil {
		return p.given
	}
	return 0
}
