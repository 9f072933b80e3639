package entry

import (
	"context"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Each call to a cold endpoint needs a start, which its owner gives out just before.

const (
	// coldWait is the longest that a call waits for a start: its owner gives them out
	// so far ahead, and a request that could go elsewhere shouldn't stand in line for long.
	coldWait = 400 * time.Millisecond
	// coldWaitLeast is what a call may wait in any case: late is better than refused.
	coldWaitLeast = 100 * time.Millisecond
	// startRest is the least time for which an endpoint isn't asked for a start after
	// it had none.
	startRest = 20 * time.Millisecond
)

// start waits until a call may go to an endpoint. It returns why it may not: the endpoint
// is cold and no start is to be had there in time, or it was barred while the call waited.
// Nothing has run then.
func (e *Entry) start(ctx context.Context, j *job, spec *config.Endpoint) *retryable {
	waited := false
	most := max(coldWaitLeast, min(coldWait, j.slack()))
	for end := time.Now().Add(most); e.cold(spec); {
		left := time.Until(end)
		s := e.owners.Start(ctx, spec, max(0, left))
		if !s.Given {
			s.In = max(s.In, startRest)
		}
		if !s.Given && s.In > left {
			return e.noStart(j, spec, s.In, left)
		}
		if !wait.For(ctx, s.In) {
			return &retryable{name: spec.Name, refusal: result.Errorf(result.TooLate, "the caller's time ended before %s had a start", spec.Name)}
		}
		waited = true
		if s.Given && time.Now().Before(s.Until) {
			break
		}
	}
	if !waited {
		return nil
	}
	if b := e.bars(j, spec); b != route.BarNone {
		return barredSince(spec, b)
	}
	return nil
}

// cold reports whether an endpoint is cold now.
func (e *Entry) cold(spec *config.Endpoint) (is bool) {
	e.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, s *route.State) { is = s.Cold(time.Now()) })
	return is
}

// noStart notes that there is no start at an endpoint before some time for a call that
// would wait, and returns the refusal.
func (e *Entry) noStart(j *job, spec *config.Endpoint, in, wait time.Duration) *retryable {
	until := time.Now().Add(max(startRest, in-wait))
	e.board.Endpoints.Touch(route.Number(spec.Name), func(s *route.State) { s.NoStart = until })
	e.Unstarted.Add(1)
	refusal := result.Errorf(result.Cold, "%s: %s", spec.Name, route.BarCold).After(in)
	e.logRefused(j, spec, "start", refusal, 0)
	return &retryable{name: spec.Name, refusal: refusal}
}

// coldBack is when one of some endpoints that are all cold will have a start.
func coldBack(states []route.State, list []int, now time.Time) time.Duration {
	back := time.Second
	for _, i := range list {
		if s := &states[i]; s.Cold(now) {
			back = min(back, max(0, s.NoStart.Sub(now))+coldWaitLeast)
		}
	}
	return back
}
