package entry

import (
	"context"
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

// NoticeCounts counts this host's calls to endpoints that had sent notices about
// themselves, and the notices that can't be parsed.
type NoticeCounts struct {
	Limited     atomic.Uint64 // calls to endpoints that had named a limit
	Leaving     atomic.Uint64 // calls to endpoints that had announced that they are leaving
	BackingOff  atomic.Uint64 // calls to endpoints that had asked this host to back off
	BadLimits   atomic.Uint64 // limits that can't be parsed
	BadBackoffs atomic.Uint64 // backoffs that can't be parsed
}

// noticeHandler returns the function that handles the notices in the answer to a call that
// is about to be made.
func (e *Entry) noticeHandler(spec *config.Endpoint) func(endpoint.Notice) {
	sent, began := clock.Now(), time.Now() // limits are ordered by package clock, backoffs by the process's own clock
	e.countNotices(spec, began)
	return func(n endpoint.Notice) {
		e.receiveLimit(spec, n, sent)
		e.receiveNotice(spec, n, began)
	}
}

// countNotices counts a call to an endpoint that has sent notices about itself.
func (e *Entry) countNotices(spec *config.Endpoint, now time.Time) {
	e.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, s *route.State) {
		if s.Limit.Report().Named {
			e.NoticeCounts.Limited.Add(1)
		}
		if s.Notices == nil {
			return
		}
		if s.Notices.Leaving {
			e.NoticeCounts.Leaving.Add(1)
		}
		if now.Before(s.Notices.BackoffUntil) {
			e.NoticeCounts.BackingOff.Add(1)
		}
	})
}

// receiveLimit records the limit that the answer to a call names, or that it names none.
func (e *Entry) receiveLimit(spec *config.Endpoint, n endpoint.Notice, sent time.Time) {
	s := n.Limit
	switch {
	case s.Unreadable != "":
		e.recordUnreadable(&e.NoticeCounts.BadLimits, "endpoint names a limit that can't be read", spec, s.Unreadable)
	case s.Named:
		e.owners.ReceiveLimit(spec, pace.Report{Named: true, PerSecond: s.PerSecond, At: clock.Now(), Started: spec.Born})
	case n.Authoritative:
		e.owners.ReceiveLimit(spec, pace.Report{At: sent, Started: spec.Born})
	}
}

// receiveNotice records that an endpoint is leaving, or wants no request from this host for
// some time.
func (e *Entry) receiveNotice(spec *config.Endpoint, n endpoint.Notice, sent time.Time) {
	if n.UnreadableBackoff != "" {
		e.recordUnreadable(&e.NoticeCounts.BadBackoffs, "endpoint asks for a rest that can't be read", spec, n.UnreadableBackoff)
	}
	notice := route.Notice{Leaving: n.Leaving, Backoff: n.Backoff, Started: spec.Born, CalledAt: sent, ReceivedAt: time.Now()}
	c := e.board.Endpoints.ObserveNotice(route.Number(spec.Name), notice)
	if c.NewlyLeaving || c.NewBackoff {
		go e.attributeNotice(spec, notice)
	}
	if c.NewlyLeaving {
		e.log.Info("endpoint says that it leaves", zap.String("endpoint", spec.Name), zap.String("address", spec.Address))
	}
	if c.NewBackoff {
		e.log.Info("endpoint asks this host for rest", zap.String("endpoint", spec.Name), zap.Duration("rest", n.Backoff))
	}
}

// attributeNotice asks an endpoint whether a later process than the registered one has given a notice, and records that. As a
// notice of the registered process it would end when the later one is registered.
func (e *Entry) attributeNotice(spec *config.Endpoint, notice route.Notice) {
	if spec.Born == 0 {
		return
	}
	// The question counts against the limit that an endpoint names, which matters to one that doesn't leave.
	if !notice.Leaving && e.permitReason(spec) == route.ReasonLimited {
		return
	}
	for range maxStartAsks {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		st, err := e.engine.State(ctx, spec.Address)
		cancel()
		if err != nil {
			continue
		}
		notice.Started = int64(st.Incarnation)
		if notice.Started > spec.Born && (st.Notice.Leaving || !notice.Leaving) {
			e.board.Endpoints.ObserveNotice(route.Number(spec.Name), notice)
		}
		return
	}
}

// recordUnreadable counts and logs a notice that can't be parsed. The values received
// before stay in force: an overloaded endpoint isn't sent the full load because of a
// malformed notice.
func (e *Entry) recordUnreadable(count *atomic.Uint64, msg string, spec *config.Endpoint, value string) {
	soFar := count.Add(1)
	if e.unreadableLog.due(time.Now()) {
		e.log.Warn(msg, zap.String("endpoint", spec.Name), zap.String("value", value), zap.Uint64("so_far", soFar))
	}
}

// unreadableLogInterval is the least time between two log lines about notices that can't be
// parsed.
const unreadableLogInterval = 10 * time.Second

// logThrottle limits how often notices that can't be parsed are logged.
type logThrottle struct {
	mu   sync.Mutex
	next time.Time
}

func (s *logThrottle) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.next) {
		return false
	}
	s.next = now.Add(unreadableLogInterval)
	return true
}
