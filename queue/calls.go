package queue

import (
	"time"

	"github.com/embercove/embercove/forecast"
	"github.com/embercove/embercove/request"
)

// sentRequest is a request that was sent to the engine.
type sentRequest struct {
	number       uint64 // in the order of sending
	tokens       int
	interval     forecast.Interval // the uninterrupted work of the engine that ends with this request
	work         time.Duration
	cachedTokens int
	sentAt       time.Time
	forecastEnd  time.Time // forecast of when the engine reports its end
	presumedDone bool      // counts as prefilled, though no end was reported
}

// Done records that the engine has prefilled a request in a given time or, if finished is false, that
// it dropped the request. The time of the end also corrects the forecast of when the engine will have
// prefilled what was sent to it after that request.
func (q *Queue) Done(now time.Time, a request.Attempt, finished bool, took time.Duration) {
	c, ok := q.inFlight[a]
	if !ok {
		return
	}
	delete(q.inFlight, a)
	left := time.Duration(0)
	for _, o := range q.inFlight {
		switch {
		case finished && o.number < c.number:
			o.presumedDone = true // it was prefilled before this one
		case finished || !o.presumedDone:
			left += o.work
		}
	}
	if !finished {
		if t := now.Add(left); t.Before(q.busyUntil) {
			q.busyUntil = t
		}
		return
	}
	if took > 0 {
		q.learn(c, took)
	}
	q.busyUntil = now.Add(left - q.Pace.Lag())
}

// learn updates the pace with the duration of a call, and begins a new interval of work at its end.
func (q *Queue) learn(c *sentRequest, took time.Duration) {
	end := c.sentAt.Add(took)
	q.Pace.Learn(c.tokens, took, c.interval, end)
	restart := func(s *forecast.Interval) {
		if s.From.Equal(c.interval.From) {
			*s = forecast.Interval{From: end, AfterCall: true, Tokens: s.Tokens - c.interval.Tokens}
		}
	}
	for _, o := range q.inFlight {
		if o.number > c.number {
			restart(&o.interval)
		}
	}
	restart(&q.interval)
}

// presumeDone marks requests as prefilled whose end was not reported in time, and later drops them.
func (q *Queue) presumeDone(now time.Time) {
	for a, c := range q.inFlight {
		switch overdue := now.Sub(c.forecastEnd); {
		case overdue > forgetAfter+2*c.work:
			delete(q.inFlight, a)
		case overdue > presumeDoneAfter:
			c.presumedDone = true
		}
	}
}

// forgetAfter is how long past its forecast an end can still be reported.
const forgetAfter = 5 * time.Second

// presumeDoneAfter is how long after its forecast end a request counts as prefilled.
const presumeDoneAfter = 150 * time.Millisecond

// CachedTokens returns how many tokens of a request in flight were expected to be cached, and
// whether the request is known.
func (q *Queue) CachedTokens(a request.Attempt) (tokens int, known bool) {
	c, known := q.inFlight[a]
	if !known {
		return 0, false
	}
	return c.cachedTokens, true
}
