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
// out the starts: who calls it asks just before each call, of any kind. Unlike a book, a
// start is given out by the one host alone that owns the endpoint by its own view, whether
// others doubt it or not, and by how much of its failure domain it sees (package cold).

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

// Starts gives out the starts at the cold endpoints that this host owns.
type Starts struct {
	Given, Refused atomic.Uint64

	board *blackboard.Board

	mu     sync.Mutex
	paces  map[uint32]*pace
	set    uint64    // of the live hosts of the own failure domain
	alike  time.Time // since when it is that
	looked time.Time // when it was last looked at
	began  time.Time // the process, or its last waking
}

// pace is what a host has given out at an endpoint.
type pace struct {
	cold.Pace
	used  time.Time
	given uint64
	cold  bool // when it was last looked at
}

func newStarts(b *blackboard.Board, now time.Time) *Starts {
	s := &Starts{board: b, paces: map[uint32]*pace{}, began: now}
	b.Pause.OnWake(s.wake)
	return s
}

// wake drops what was known before a pause: others have given out starts meanwhile.
func (s *Starts) wake(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began, s.paces = now, map[uint32]*pace{}
}

// startsTick is how often the hosts of the failure domain are looked at. It is small beside
// the time for which they have to be alike.
const startsTick = 250 * time.Millisecond

// mostUnlooked is how long they may go unlooked at and count as alike: some ticks of a
// busy process, and less than it takes a host to vanish and come back unnoticed.
const mostUnlooked = time.Second

// look notes since when the live hosts of the failure domain are the same; the caller
// holds the lock.
func (s *Starts) look(now time.Time) blackboard.Fellows {
	f := s.board.Hosts.Fellows(now)
	if f.Set != s.set || now.Sub(s.looked) > mostUnlooked {
		s.set, s.alike = f.Set, now
	}
	s.looked = now
	return f
}

// tenure returns what this host knows of its right to give out the starts at an endpoint;
// without any its part is 0. The caller holds the lock.
func (s *Starts) tenure(v *config.View, spec *config.Endpoint, now time.Time) cold.Tenure {
	f := s.look(now)
	t := cold.Tenure{Alike: now.Sub(s.alike), Up: now.Sub(s.began), Silence: s.board.Hosts.Silence()}
	key, hosts := uint64(route.Number(spec.Name)), s.board.Hosts
	if h, ok := hosts.FirstSteady(key, spec.Domain, now); ok {
		if h.Number == s.board.Number && spec.Domain == s.board.Settings.Domain && !s.unmet(f) {
			t.Part = float64(f.Live) / float64(f.Known)
		}
		return t
	}
	// The endpoint's failure domain has no host. Another one's gives out starts if none
	// was ever known there, of which there may be two at a time.
	h, ok := hosts.FirstOfRegion(key, v.Region[spec.Domain], now)
	if ok && h.Number == s.board.Number && !hosts.Knows(spec.Domain) && hosts.Majority(now, len(s.board.Settings.Seeds)) {
		t.Part, t.Alike = 1, 0
	}
	return t
}

// unmet reports whether this host has met no other of its failure domain though it was
// told of others.
func (s *Starts) unmet(f blackboard.Fellows) bool {
	if f.Known > 1 || s.board.Hosts.Len() > 1 {
		return false
	}
	for _, a := range s.board.Settings.Seeds {
		if a != s.board.Settings.Peers {
			return true
		}
	}
	return false
}

// share returns how many starts in any one second this host may give out at an endpoint;
// the caller holds the lock.
func (s *Starts) share(v *config.View, spec *config.Endpoint, now time.Time) float64 {
	return cold.Share(s.bound(spec), s.tenure(v, spec, now))
}

// bound returns how many starts all hosts together may use at an endpoint in a second.
func (s *Starts) bound(spec *config.Endpoint) float64 {
	return cold.Bound(spec.ColdPerSecond, s.board.Settings.ColdOverrun, s.board.Settings.ColdTolerance)
}

func (s *Starts) pace(number uint32, now time.Time) *pace {
	p := s.paces[number]
	if p == nil {
		p = new(pace)
		s.paces[number] = p
	}
	p.used = now
	return p
}

// Ask answers a StartArgs from this or another host.
func (s *Starts) Ask(a StartArgs) (StartReply, error) {
	s.board.Pause.Check()
	v := s.board.Config.View()
	if v == nil {
		return StartReply{}, result.Errorf(result.NotReady, "no configuration yet")
	}
	spec := v.ByNumber[a.Endpoint]
	if spec == nil {
		return StartReply{}, result.Errorf(result.NoEndpoint, "endpoint %d is not in revision %d", a.Endpoint, v.Revision)
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pace(a.Endpoint, now)
	in, given := p.Ask(now, s.share(v, spec, now), duration(a.Wait))
	if !given {
		s.Refused.Add(1)
		return StartReply{InMillis: millis(min(in, mostRetry))}, nil
	}
	s.Given.Add(1)
	p.given++
	return StartReply{Given: true, InMillis: millis(in)}, nil
}

// mostRetry is the longest time to come back for a start: by then another host may give
// them out.
const mostRetry = time.Second

// Note takes in that a request is about to go to an endpoint that is not cold.
func (s *Starts) Note(spec *config.Endpoint, now time.Time) {
	if spec.ColdPerSecond <= 0 || now.Before(spec.ColdUntil) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace(route.Number(spec.Name), now).Note(now, s.bound(spec))
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

// idlePace is how long it is remembered what was given out at an endpoint that nobody asks
// for. What was given out counts for a second.
const idlePace = 30 * time.Second

// StartsWatch returns the controller that watches the hosts by which starts are given out,
// and logs when endpoints of this host turn cold and warm.
func (o *Owner) StartsWatch() blackboard.Controller {
	return blackboard.Every(startsTick, func(context.Context) {
		now := time.Now()
		o.Starts.tick(now)
		o.logCold(now)
	})
}

// tick looks at the hosts and forgets endpoints that nobody asks for.
func (s *Starts) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.look(now)
	for n, p := range s.paces {
		if now.Sub(p.used) > idlePace {
			delete(s.paces, n)
		}
	}
}

// logCold logs the endpoints of this host that have turned cold or warm.
func (o *Owner) logCold(now time.Time) {
	var own []route.State
	o.board.Endpoints.Read(func(_ *config.View, states []route.State) {
		for i := range states {
			if st := &states[i]; st.Own && st.Spec.ColdPerSecond > 0 {
				own = append(own, *st)
			}
		}
	})
	for i := range own {
		o.noteCold(&own[i], now)
	}
}

func (o *Owner) noteCold(st *route.State, now time.Time) {
	is := st.Cold(now)
	o.Starts.mu.Lock()
	defer o.Starts.mu.Unlock()
	p := o.Starts.paces[st.Number]
	if p == nil && !is || p != nil && p.cold == is {
		return
	}
	p = o.Starts.pace(st.Number, now)
	p.cold = is
	if is {
		o.log.Info("endpoint is cold", zap.String("endpoint", st.Spec.Name), zap.Duration("left", st.ColdUntil.Sub(now)), zap.Float64("bears_per_s", st.Spec.ColdPerSecond))
		return
	}
	o.log.Info("endpoint is warm", zap.String("endpoint", st.Spec.Name), zap.Uint64("starts", p.given))
}
