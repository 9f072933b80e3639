package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/route"
)

// Heard counts the calls of this host to endpoints that had said something of themselves, and
// what they said that can't be read.
type Heard struct {
	Limited   atomic.Uint64 // calls to endpoints that named a limit
	Leaving   atomic.Uint64 // to endpoints that had told this host that they leave
	Resting   atomic.Uint64 // to endpoints that wanted no request of this host
	BadLimits atomic.Uint64 // limits that can't be read
	BadRests  atomic.Uint64 // rests that can't be read
}

// hearer returns what takes in what the answer to a call that is about to be made says of its
// endpoint.
func (e *Entry) hearer(spec *config.Endpoint) func(endpoint.Notice) {
	sent, began := clock.Now(), time.Now() // limits are ordered by package clock, rests by the process's own
	e.countHeard(spec, began)
	return func(n endpoint.Notice) {
		e.hearLimit(spec, n, sent)
		e.hearNotice(spec, n, began)
	}
}

// countHeard counts a call to an endpoint that has said something of itself.
func (e *Entry) countHeard(spec *config.Endpoint, now time.Time) {
	e.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, s *route.State) {
		if s.Limit.Word().Named {
			e.Heard.Limited.Add(1)
		}
		if s.Notices == nil {
			return
		}
		if s.Notices.Leaving {
			e.Heard.Leaving.Add(1)
		}
		if now.Before(s.Notices.Rest) {
			e.Heard.Resting.Add(1)
		}
	})
}

// hearLimit takes in the limit that the answer to a call names, or that it names none.
func (e *Entry) hearLimit(spec *config.Endpoint, n endpoint.Notice, sent time.Time) {
	s := n.Limit
	switch {
	case s.Unreadable != "":
		e.unreadable(&e.Heard.BadLimits, "endpoint names a limit that can't be read", spec, s.Unreadable)
	case s.Named:
		e.owners.Heard(spec, pace.Word{Named: true, PerSecond: s.PerSecond, At: clock.Now(), Born: spec.Born})
	case n.Certain:
		e.owners.Heard(spec, pace.Word{At: sent, Born: spec.Born})
	}
}

// hearNotice takes in that an endpoint leaves, or wants no request of this host for some time.
func (e *Entry) hearNotice(spec *config.Endpoint, n endpoint.Notice, sent time.Time) {
	if n.UnreadableRest != "" {
		e.unreadable(&e.Heard.BadRests, "endpoint asks for a rest that can't be read", spec, n.UnreadableRest)
	}
	c := e.board.Endpoints.Notice(route.Number(spec.Name), route.Notice{Leaving: n.Leaving, Rest: n.Rest, Born: spec.Born, Sent: sent, Heard: time.Now()})
	if c.Leaves {
		e.log.Info("endpoint says that it leaves", zap.String("endpoint", spec.Name), zap.String("address", spec.Address))
	}
	if c.Rests {
		e.log.Info("endpoint asks this host for rest", zap.String("endpoint", spec.Name), zap.Duration("rest", n.Rest))
	}
}

// unreadable notes what an endpoint said of itself that can't be read. What was heard before
// holds on: an endpoint in need isn't sent all there is for a slip.
func (e *Entry) unreadable(count *atomic.Uint64, msg string, spec *config.Endpoint, value string) {
	soFar := count.Add(1)
	if e.slips.due(time.Now()) {
		e.log.Warn(msg, zap.String("endpoint", spec.Name), zap.String("value", value), zap.Uint64("so_far", soFar))
	}
}

// slipEvery is the least time between two log lines on what can't be read.
const slipEvery = 10 * time.Second

// slips says when something that can't be read is logged.
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
