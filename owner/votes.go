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
	// voteInterval is the interval at which votes are requested. Votes are valid for three
	// times as long, so that a lost round has no effect.
	voteInterval = 250 * time.Millisecond
	// requestWindow is how long votes are requested after the last request for a permit.
	requestWindow = 2 * time.Second
	// idlePermitsKept is how long the permits handed out at an unused endpoint are remembered. A
	// permit counts for a second.
	idlePermitsKept = 30 * time.Second
)

// VoteController returns the controller that requests the votes needed for handing out permits and
// logs when endpoints of this host turn cold or warm.
func (o *Owner) VoteController() blackboard.Controller {
	return blackboard.Every(voteInterval, func(ctx context.Context) { o.Permits.tick(ctx) })
}

// tick requests votes for the owned endpoints that are cold or name a limit, or for which other
// hosts have recently requested permits, and drops unused state.
func (s *Permits) tick(ctx context.Context) {
	v := s.board.Config.View()
	if v == nil {
		return
	}
	rounds := map[string][]*config.Endpoint{} // by failure domain
	for _, st := range s.relevantStates(clock.Now()) {
		s.logColdChange(&st)
		if s.owns(v, st.Spec, time.Now()) {
			rounds[st.Spec.Domain] = append(rounds[st.Spec.Domain], st.Spec)
		}
	}
	for domain, specs := range rounds {
		s.requestVotes(ctx, domain, v.Region[domain], specs)
	}
}

// relevantStates returns the states of the endpoints that may need permits from this host.
func (s *Permits) relevantStates(now time.Time) (out []route.State) {
	s.mu.Lock()
	s.votes.DropExpired(now)
	wanted := make(map[uint32]bool, len(s.permits))
	for n, p := range s.permits {
		wanted[n] = p.cold || now.Sub(p.lastAsked) < requestWindow
		if now.Sub(p.lastUsed) > idlePermitsKept {
			delete(s.permits, n)
		}
	}
	for n, l := range s.isolated {
		if now.Sub(l.lastUsed) > idlePermitsKept {
			delete(s.isolated, n)
		}
	}
	s.mu.Unlock()
	s.board.Endpoints.Read(func(fleet *route.Fleet) {
		for st := range fleet.Owned() {
			if !wanted[st.Number] && (st.IsCold(time.Now()) || st.Limit.PenaltyLeft(now) > 0) {
				out = append(out, *st)
			}
		}
		for n, lately := range wanted {
			if st := fleet.Find(n); lately && st != nil {
				out = append(out, *st)
			}
		}
	})
	return out
}

// requestVotes requests the votes of a failure domain's hosts for endpoints in it and waits for the
// replies.
func (s *Permits) requestVotes(ctx context.Context, domain, region string, specs []*config.Endpoint) {
	now := clock.Now()
	hosts, alive := s.board.Hosts.Voters(domain, region, time.Now())
	self := s.board.Hosts.Self()
	a := VoteArgs{Host: self.Number, Incarnation: self.Incarnation}
	s.mu.Lock()
	for _, spec := range specs {
		n := route.Number(spec.Name)
		a.Endpoints = append(a.Endpoints, n)
		p := s.permitsAt(n, now)
		p.quorum.BeginRound(len(hosts))
		if p.roundsWithoutVotes == 0 {
			p.firstRoundUntil = now.Add(voteInterval)
		}
		if p.roundsWithoutVotes++; p.quorum.Share(now) > 0 {
			p.roundsWithoutVotes = 0
		}
	}
	s.mu.Unlock()
	var wait sync.WaitGroup
	for i, h := range hosts {
		switch {
		case h.Number == self.Number:
			s.recordVotes(a, h.Number, now, s.Vote(a))
		case alive[i] && h.Peers != "" && s.peers() != nil:
			wait.Go(func() {
				if reply, err := s.peers().Vote(ctx, h, a); err == nil {
					s.recordVotes(a, h.Number, now, reply)
				}
			})
		}
	}
	wait.Wait()
}

// recordVotes records the votes of a host that were requested at the time asked.
func (s *Permits) recordVotes(a VoteArgs, host uint32, asked time.Time, reply VoteReply) {
	if len(reply.Given) != len(a.Endpoints) || len(reply.Of) != len(a.Endpoints) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, n := range a.Endpoints {
		if p := s.permits[n]; p != nil && reply.Given[i] {
			p.quorum.AddVote(host, asked, reply.Of[i])
		}
	}
}

// logColdChange logs an endpoint that has turned cold or warm.
func (s *Permits) logColdChange(st *route.State) {
	now := time.Now()
	isCold := st.IsCold(now)
	s.mu.Lock()
	p := s.permitsAt(st.Number, clock.Now())
	wasCold, given := p.cold, p.given
	p.cold = isCold
	s.mu.Unlock()
	switch {
	case isCold && !wasCold:
		s.log.Info("endpoint is cold", zap.String("endpoint", st.Spec.Name), zap.Duration("left", st.ColdUntil.Sub(now)), zap.Float64("bears_per_s", st.Spec.ColdPerSecond))
	case wasCold && !isCold:
		s.log.Info("endpoint is warm", zap.String("endpoint", st.Spec.Name), zap.Uint64("starts", given))
	}
}
