package owner

import (
	"time"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/route"
)

// isolatedPace paces this host's calls to an endpoint whose owner is unreachable.
type isolatedPace struct {
	pace.IsolatedLimiter
	lastUsed time.Time
}

// AcquireIsolated requests a permit at an endpoint that names a limit and whose owner is unreachable.
// fairShare is this host's equal share of the fleet, and phase its place among the hosts. A cold endpoint gets no such permits: its bound
// leaves no margin for calls that the other hosts don't know of.
func (s *Permits) AcquireIsolated(spec *config.Endpoint, fairShare, phase float64) (in time.Duration, given bool) {
	number, now := route.Number(spec.Name), clock.Now()
	perSecond, allowed := 0.0, false
	s.board.Endpoints.Find(number, func(_ *config.View, st *route.State) {
		perSecond, allowed = st.Limit.Limit(now)
		allowed = allowed && !st.IsCold(time.Now())
	})
	if !allowed {
		return pace.Never, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.isolated[number]
	if p == nil {
		p = &isolatedPace{IsolatedLimiter: pace.IsolatedLimiter{Phase: phase}}
		s.isolated[number] = p
	}
	p.lastUsed = now
	if in, given = p.Acquire(now, perSecond, fairShare); given {
		s.Isolated.Add(1)
	}
	return in, given
}
