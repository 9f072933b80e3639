package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

const (
	// startsTick is how often votes are asked for. They count for three times as long,
	// so that a round that is lost costs nothing.
	startsTick = 250 * time.Millisecond
	// askedLately is how long votes are asked for where nobody asks for starts.
	askedLately = 2 * time.Second
	// idlePace is how long it is remembered what was given out at an endpoint that
	// nobody asks for. What was given out counts for a second.
	idlePace = 30 * time.Second
)

// StartsWatch returns the controller that asks for the votes by which starts are given out,
// and logs when endpoints of this host turn cold and warm.
func (o *Owner) StartsWatch() blackboard.Controller {
	return blackboard.Every(startsTick, func(ctx context.Context) { o.Starts.tick(ctx) })
}

// tick asks for votes for the endpoints that this host owns and that are cold or name a limit,
// or of which others say so, and forgets what nobody asks for.
func (s *Starts) tick(ctx context.Context) {
	v := s.board.Config.View()
	if v == nil {
		return
	}
	rounds := map[string][]*config.Endpoint{} // by failure domain
	for _, st := range s.concern(clock.Now()) {
		s.logCold(&st)
		if s.owns(v, st.Spec, time.Now()) {
			rounds[st.Spec.Domain] = append(rounds[st.Spec.Domain], st.Spec)
		}
	}
	for domain, specs := range rounds {
		s.round(ctx, domain, v.Region[domain], specs)
	}
}

// concern returns the states of the endpoints that this host may have to do with.
func (s *Starts) concern(now time.Time) (out []route.State) {
	s.mu.Lock()
	s.votes.Forget(now)
	asked := make(map[uint32]bool, len(s.paces))
	for n, p := range s.paces {
		asked[n] = p.cold || now.Sub(p.asked) < askedLately
		if now.Sub(p.used) > idlePace {
			delete(s.paces, n)
		}
	}
	for n, l := range s.lones {
		if now.Sub(l.used) > idlePace {
			delete(s.lones, n)
		}
	}
	s.mu.Unlock()
	s.board.Endpoints.Read(func(fleet *route.Fleet) {
		for st := range fleet.Own() {
			if !asked[st.Number] && (st.Cold(time.Now()) || st.Limit.Fresh(now) > 0) {
				out = append(out, *st)
			}
		}
		for n, lately := range asked {
			if st := fleet.Find(n); lately && st != nil {
				out = append(out, *st)
			}
		}
	})
	return out
}

// round asks the hosts of a failure domain for their votes for endpoints in it, and waits
// for the answers.
func (s *Starts) round(ctx context.Context, domain, region string, specs []*config.Endpoint) {
	now := clock.Now()
	hosts, alive := s.board.Hosts.Voters(domain, region, time.Now())
	self := s.board.Hosts.Self()
	a := VoteArgs{Host: self.Number, Incarnation: self.Incarnation}
	s.mu.Lock()
	for _, spec := range specs {
		n := route.Number(spec.Name)
		a.Endpoints = append(a.Endpoints, n)
		p := s.pace(n, now)
		p.right.Ask(len(hosts))
		if p.alone == 0 {
			p.soon = now.Add(startsTick)
		}
		if p.alone++; p.right.Part(now) > 0 {
			p.alone = 0
		}
	}
	s.mu.Unlock()
	var wait sync.WaitGroup
	for i, h := range hosts {
		switch {
		case h.Number == self.Number:
			s.take(a, h.Number, now, s.Vote(a))
		case alive[i] && h.Peers != "" && s.peers() != nil:
			wait.Go(func() {
				if reply, err := s.peers().Vote(ctx, h, a); err == nil {
					s.take(a, h.Number, now, reply)
				}
			})
		}
	}
	wait.Wait()
}

// take takes in the votes of a host that was asked for them at a moment.
func (s *Starts) take(a VoteArgs, host uint32, asked time.Time, reply VoteReply) {
	if len(reply.Given) != len(a.Endpoints) || len(reply.Of) != len(a.Endpoints) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, n := range a.Endpoints {
		if p := s.paces[n]; p != nil && reply.Given[i] {
			p.right.Take(host, asked, reply.Of[i])
		}
	}
}

// logCold logs an endpoint that has turned cold or warm.
func (s *Starts) logCold(st *route.State) {
	now := time.Now()
	is := st.Cold(now)
	s.mu.Lock()
	p := s.pace(st.Number, clock.Now())
	was, given := p.cold, p.given
	p.cold = is
	s.mu.Unlock()
	switch {
	case is && !was:
		s.log.Info("endpoint is cold", zap.String("endpoint", st.Spec.Name), zap.Duration("left", st.ColdUntil.Sub(now)), zap.Float64("bears_per_s", st.Spec.ColdPerSecond))
	case was && !is:
		s.log.Info("endpoint is warm", zap.String("endpoint", st.Spec.Name), zap.Uint64("starts", given))
	}
}
