package entry

import (
	"context"
	"math"
	"time"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Each call to an endpoint that is cold or names a limit needs a start permit, which the
// endpoint's owner grants just before the call.

const (
	// minPermitRetry is the least time for which an endpoint isn't asked for a permit again
	// after it had none.
	minPermitRetry = 20 * time.Millisecond
	// permitHoldExtra is how much longer than to the forecast end of the prefill a permit
	// is held for an answer.
	permitHoldExtra = 500 * time.Millisecond
	// maxPermitHold is the longest time for which a permit is held for an answer: a permit
	// used later adds to the ones granted in the meantime.
	maxPermitHold = 1500 * time.Millisecond
	// maxPermitRetryAfter bounds the retry time of a refused caller.
	maxPermitRetryAfter = 8 * time.Second
)

// acquirePermit waits until a call may be made to an endpoint. It returns why the call may
// not be made: no permit is available there in time, or the endpoint was barred during the
// wait. Nothing has run then.
func (e *Entry) acquirePermit(ctx context.Context, j *job, spec *config.Endpoint) *retryable {
	maxWait := e.maxPermitWait(j, spec)
	for end := time.Now().Add(maxWait); ; {
		b := e.permitReason(spec)
		if b == route.ReasonNone {
			break
		}
		left := time.Until(end)
		s := e.requestPermit(ctx, j, spec, b, left)
		if !s.Granted && s.Delay > left {
			return e.noPermit(j, spec, b, s, left)
		}
		if !wait.For(ctx, s.Delay) {
			return &retryable{endpointName: spec.Name, refusal: result.Errorf(result.TooLate, "the deadline passed before %s had a start permit", spec.Name)}
		}
		if s.Granted && clock.Now().Before(s.ExpiresAt) {
			break
		}
	}
	return e.admitCall(j, spec)
}

// useOrAcquirePermit is acquirePermit for a call that may hold its permit already.
func (e *Entry) useOrAcquirePermit(ctx context.Context, j *job, spec *config.Endpoint, h *heldPermit) *retryable {
	if h.take(spec) {
		return e.admitCall(j, spec)
	}
	return e.acquirePermit(ctx, j, spec)
}

// requestPermit asks the owner for a permit that is valid within wait.
func (e *Entry) requestPermit(ctx context.Context, j *job, spec *config.Endpoint, b route.Reason, wait time.Duration) peer.Permit {
	s := e.owners.AcquirePermit(ctx, spec, peer.PermitRequest{Wait: max(0, wait), Warm: b == route.ReasonLimited,
		Requester: pace.Requester{Team: j.teamNumber, Priority: j.priority}})
	if !s.Granted {
		s.Delay = max(s.Delay, minPermitRetry)
	}
	return s
}

// permitReason returns why a call to an endpoint needs a permit; ReasonNone: it needs none.
func (e *Entry) permitReason(spec *config.Endpoint) (b route.Reason) {
	e.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, s *route.State) {
		_, limited := s.Limit.Limit(clock.Now())
		switch {
		case s.IsCold(time.Now()):
			b = route.ReasonCold
		case limited:
			b = route.ReasonLimited
		}
	})
	return b
}

// maxPermitWait returns how long a call may wait for a permit. A request that could go
// elsewhere shouldn't queue for long, and not at all while other endpoints of the pool have
// capacity.
func (e *Entry) maxPermitWait(j *job, spec *config.Endpoint) time.Duration {
	maxWait := max(pace.MinWait, min(pace.MaxWait, j.slack()))
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		g := j.group(fleet)
		if g == nil || !limitedNotCold(fleet, spec) {
			return
		}
		r := j.criteria
		r.Now = time.Now()
		e.bindRegions(v, j, &r)
		for _, s := range g.ForRole(spec.Role).All() {
			if s.Spec.Name != spec.Name && route.Eligible(s, &r) && s.HasCapacity(r.Now) {
				maxWait = 0
			}
		}
	})
	return maxWait
}

// limitedNotCold reports whether an endpoint names a limit and isn't cold.
func limitedNotCold(fleet *route.Fleet, spec *config.Endpoint) bool {
	s := fleet.Find(route.Number(spec.Name))
	return s != nil && s.IsLimited(time.Now()) && !s.IsCold(time.Now())
}

// noPermit records that an endpoint has no permit for some time for a call that would wait
// that long, and returns the refusal.
func (e *Entry) noPermit(j *job, spec *config.Endpoint, b route.Reason, s peer.Permit, wait time.Duration) *retryable {
	now := time.Now()
	e.board.Endpoints.Update(route.Number(spec.Name), func(st *route.State) {
		st.NoPermitUntil, st.RetryAt = now.Add(max(minPermitRetry, s.Delay-wait)), now.Add(max(s.Delay, s.ReturnAfter))
	})
	e.WithoutPermit.Add(1)
	refusal := result.Errorf(barCode(b), "%s: %s", spec.Name, b).After(max(s.Delay, s.ReturnAfter))
	e.logRefused(j, spec, "start", refusal, 0)
	return &retryable{endpointName: spec.Name, notSent: true, bar: b, refusal: refusal}
}

// acquireDecodePermit requests the permit for an answer before its prompt is prefilled, if
// the decode endpoint names a limit: a prompt shouldn't be prefilled for an answer that the
// endpoint won't take. prefillIn is the time until the prefill ends.
func (e *Entry) acquireDecodePermit(ctx context.Context, j *job, p *plan, prefillIn time.Duration) *result.Error {
	p.permit = heldPermit{}
	b := e.permitReason(p.decodeSpec)
	if b != route.ReasonLimited {
		return nil
	}
	maxWait := e.maxPermitWait(j, p.decodeSpec) + prefillIn
	s := e.requestPermit(ctx, j, p.decodeSpec, b, maxWait)
	if !s.Granted {
		return e.noPermit(j, p.decodeSpec, b, s, maxWait).refusal
	}
	p.transferStart = later(p.transferStart, time.Now().Add(s.Delay))
	p.permit = heldPermit{endpoint: p.decodeSpec.Name, until: s.ExpiresAt.Add(min(maxPermitHold, max(prefillIn, time.Until(p.transferStart))+p.TransferDuration+permitHoldExtra))}
	return nil
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// heldPermit is the permit that a plan already has for its answer. The zero value is none.
type heldPermit struct {
	endpoint string // name of the endpoint that it is for
	until    time.Time
}

// take consumes the permit, and reports whether it was valid for an endpoint.
func (h *heldPermit) take(spec *config.Endpoint) bool {
	there := h.endpoint == spec.Name && clock.Now().Before(h.until)
	*h = heldPermit{}
	return there
}

// permitRetryAfter returns when a caller should retry that found no permit at any of the
// listed endpoints. That time is given to this caller alone: the next one that this host
// refuses gets a later one.
func (e *Entry) permitRetryAfter(list []uint32) time.Duration {
	now := time.Now()
	soonest, retryAfter := uint32(0), time.Duration(math.MaxInt64)
	for _, number := range list {
		e.board.Endpoints.Find(number, func(_ *config.View, s *route.State) {
			if !s.IsCold(now) && !s.Limit.Report().Named {
				return
			}
			if in := max(s.NoPermitUntil.Sub(now)+pace.MinWait, s.RetryAt.Sub(now)); in < retryAfter {
				soonest, retryAfter = number, in
			}
		})
	}
	if soonest == 0 {
		return time.Second
	}
	retryAfter = min(max(retryAfter, 0), maxPermitRetryAfter)
	e.board.Endpoints.Update(soonest, func(s *route.State) {
		if w := s.Limit.Report(); w.Named {
			s.RetryAt = now.Add(retryAfter + time.Duration(float64(time.Second)/max(w.PerSecond, 1/maxPermitRetryAfter.Seconds())))
		}
	})
	return retryAfter
}
