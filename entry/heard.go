package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/route"
)

// hearer returns what takes in what the answer to a call that is about to be made says of its
// endpoint's limit.
func (e *Entry) hearer(spec *config.Endpoint) func(endpoint.Said) {
	sent := clock.Now()
	e.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, s *route.State) {
		if s.Limit.Word().Named {
			e.Limited.Add(1)
		}
	})
	return func(s endpoint.Said) {
		if s.Unreadable != "" {
			e.unreadable(spec, s)
			return
		}
		w := pace.Word{Named: s.Named, PerSecond: s.PerSecond, At: sent, Born: spec.Born}
		if s.Named {
			w.At = clock.Now()
		}
		e.owners.Heard(spec, w)
	}
}

// unreadable notes a limit that can't be read. What was heard before holds on: an endpoint in
// need isn't sent all there is for a slip.
func (e *Entry) unreadable(spec *config.Endpoint, s endpoint.Said) {
	e.Unreadable.Add(1)
	if e.slips.due(time.Now()) {
		e.log.Warn("endpoint names a limit that can't be read", zap.String("endpoint", spec.Name), zap.String("limit", s.Unreadable),
			zap.Uint64("so_far", e.Unreadable.Load()))
	}
}

// slipEvery is the least time between two log lines on limits that can't be read.
const slipEvery = 10 * time.Second

// slips says when a limit that can't be read is logged.
type slips struct {
	mu   sync.Mutex
	next time.Time
}

func (s *slips) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.next) {
		return false
	}
	s.next = now.Add(slipEvery)
	return true
}
