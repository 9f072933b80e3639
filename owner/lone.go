package owner

import (
	"math/rand/v2"
	"time"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/route"
)

// lone is what this host sends to an endpoint by itself, while its owner is out of reach.
type lone struct {
	pace.Lone
	used time.Time
}

// AskAlone asks for a start at an endpoint that names a limit and whose owner is out of reach;
// even is this host's even part of the fleet. A cold endpoint gets none: its bound has no room
// for what a host doesn't tell the others.
func (s *Starts) AskAlone(spec *config.Endpoint, even float64) (in time.Duration, given bool) {
	number, now := route.Number(spec.Name), clock.Now()
	perSecond, may := 0.0, false
	s.board.Endpoints.Find(number, func(_ *config.View, st *route.State) {
		perSecond, may = st.Limit.Limit(now)
		may = may && !st.Cold(time.Now())
	})
	if !may {
		return pace.Never, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lones[number]
	if l == nil {
		l = &lone{Lone: pace.Lone{Phase: rand.Float64()}}
		s.lones[number] = l
	}
	l.used = now
	if in, given = l.Ask(now, perSecond, even); given {
		s.Alone.Add(1)
	}
	return in, given
}
