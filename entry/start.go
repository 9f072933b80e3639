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

// Each call to an endpoint that is cold or names a limit needs a start, which its owner gives
// out just before.

const (
	// startRest is the least time for which an endpoint isn't asked for a start after
	// it had none.
	startRest = 20 * time.Millisecond
	// aheadKept is how much longer than until its prompt is taken to be read a start is kept for
	// an answer.
	aheadKept = 500 * time.Millisecond
	// aheadMost is the longest that a start is kept for an answer: what is used so late adds to
	// what was given out meanwhile.
	aheadMost = 1500 * time.Millisecond
	// backMost bounds what a refused caller is told.
	backMost = 8 * time.Second
)

// start waits until a call may go to an endpoint. It returns why it may not: no start is to
// be had there in time, or it was barred while the call waited. Nothing has run then.
func (e *Entry) start(ctx context.Context, j *job, spec *config.Endpoint) *retryable {
	most := e.startWait(j, spec)
	for end := time.Now().Add(most); ; {
		b := e.startBar(spec)
		if b == route.BarNone {
			break
		}
		left := time.Until(end)
		s := e.askStart(ctx, j, spec, b, left)
		if !s.Given && s.In > left {
			return e.noStart(j, spec, b, s, left)
		}
		if !wait.For(ctx, s.In) {
			return &retryable{name: spec.Name, refusal: result.Errorf(result.TooLate, "the caller's time ended before %s had a start", spec.Name)}
		}
		if s.Given && clock.Now().Before(s.Until) {
			break
		}
	}
	return e.mayCall(j, spec)
}

// startHeld is start for a call that may have its start already.
func (e *Entry) startHeld(ctx context.Context, j *job, spec *config.Endpoint, h *heldStart) *retryable {
	if h.take(spec) {
		return e.mayCall(j, spec)
	}
	return e.start(ctx, j, spec)
}

// askStart asks for a start that comes within wait.
func (e *Entry) askStart(ctx context.Context, j *job, spec *config.Endpoint, b route.Bar, wait time.Duration) peer.Start {
	s := e.owners.Start(ctx, spec, peer.StartAsk{Wait: max(0, wait), Warm: b == route.BarLimited,
		Asker: pace.Asker{Team: j.teamNum, Priority: j.priority}})
	if !s.Given {
		s.In = max(s.In, startRest)
	}
	return s
}

// startBar returns what a call to an endpoint needs a start for; BarNone: it needs none.
func (e *Entry) startBar(spec *config.Endpoint) (b route.Bar) {
	e.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, s *route.State) {
		_, limited := s.Limit.Limit(clock.Now())
		switch {
		case s.Cold(time.Now()):
			b = route.BarCold
		case limited:
			b = route.BarLimited
		}
	})
	return b
}

// startWait returns how long a call may wait for a start: a request that could go elsewhere
// shouldn't stand in line for long, and not at all while others of the pool have room.
func (e *Entry) startWait(j *job, spec *config.Endpoint) time.Duration {
	most := max(pace.LeastWait, min(pace.MostWait, j.slack()))
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		g := j.group(fleet)
		if g == nil || !limitedOnly(fleet, spec) {
			return
		}
		r := j.pick
		r.Now = time.Now()
		e.bind(v, j, &r)
		for _, s := range g.Of(spec.Role).All() {
			if s.Spec.Name != spec.Name && route.Open(s, &r) && s.Free(r.Now) {
				most = 0
			}
		}
	})
	return most
}

// limitedOnly reports whether an endpoint names a limit and isn't cold.
func limitedOnly(fleet *route.Fleet, spec *config.Endpoint) bool {
	s := fleet.Find(route.Number(spec.Name))
	return s != nil && s.Limited(time.Now()) && !s.Cold(time.Now())
}

// noStart notes that there is no start at an endpoint before some time for a call that
// would wait, and returns the refusal.
func (e *Entry) noStart(j *job, spec *config.Endpoint, b route.Bar, s peer.Start, wait time.Duration) *retryable {
	now := time.Now()
	e.board.Endpoints.Touch(route.Number(spec.Name), func(st *route.State) {
		st.NoStart, st.Back = now.Add(max(startRest, s.In-wait)), now.Add(max(s.In, s.Back))
	})
	e.Unstarted.Add(1)
	refusal := result.Errorf(codeOf(b), "%s: %s", spec.Name, b).After(max(s.In, s.Back))
	e.logRefused(j, spec, "start", refusal, 0)
	return &retryable{name: spec.Name, unsent: true, bar: b, refusal: refusal}
}

// startAhead asks for the start of an answer before its prompt is read, where the endpoint
// that is to write it names a limit: what it doesn't take is not to be read for it. in is when
// the prompt will be read.
func (e *Entry) startAhead(ctx context.Context, j *job, p *plan, in time.Duration) *result.Error {
	p.held = heldStart{}
	b := e.startBar(p.dec)
	if b != route.BarLimited {
		return nil
	}
	most := e.startWait(j, p.dec) + in
	s := e.askStart(ctx, j, p.dec, b, most)
	if !s.Given {
		return e.noStart(j, p.dec, b, s, most).refusal
	}
	p.start = later(p.start, time.Now().Add(s.In))
	p.held = heldStart{at: p.dec.Name, until: s.Until.Add(min(aheadMost, max(in, time.Until(p.start))+p.Move+aheadKept))}
	return nil
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// heldStart is the start that a plan has for its answer already; the zero value: none.
type heldStart struct {
	at    string // endpoint
	until time.Time
}

// take uses the start up, and reports whether there is one at an endpoint.
func (h *heldStart) take(spec *config.Endpoint) bool {
	there := h.at == spec.Name && clock.Now().Before(h.until)
	*h = heldStart{}
	return there
}

// startBack returns when a caller is to come back that none of some endpoints has a start for,
// and names that time to it alone: the next one that this host refuses is told a later one.
func (e *Entry) startBack(list []uint32) time.Duration {
	now := time.Now()
	first, back := uint32(0), time.Duration(math.MaxInt64)
	for _, number := range list {
		e.board.Endpoints.Find(number, func(_ *config.View, s *route.State) {
			if !s.Cold(now) && !s.Limit.Word().Named {
				return
			}
			if in := max(s.NoStart.Sub(now)+pace.LeastWait, s.Back.Sub(now)); in < back {
				first, back = number, in
			}
		})
	}
	if first == 0 {
		return time.Second
	}
	back = min(max(back, 0), backMost)
	e.board.Endpoints.Touch(first, func(s *route.State) {
		if w := s.Limit.Word(); w.Named {
			s.Back = now.Add(back + time.Duration(float64(time.Second)/max(w.PerSecond, 1/backMost.Seconds())))
		}
	})
	return back
}
