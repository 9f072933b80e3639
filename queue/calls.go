package queue

import (
	"time"

	"github.com/embercove/embercove/forecast"
	"github.com/embercove/embercove/request"
)

// called is a request that was sent to the engine.
type called struct {
	number   uint64 // in the order of calls
	tokens   int
	stretch  forecast.Stretch // of the engine's work that ends with it
	work     time.Duration
	promised int
	since    time.Time
	ends     time.Time // forecast
	quiet    bool      // taken for read, though nobody told
}

// Done notes that the engine has read a request in a time, or was told to
// forget it. An end that comes late or early tells when the engine will be
// through with what it was sent after it.
func (q *Queue) Done(now time.Time, a request.Attempt, finished bool, took time.Duration) {
	c, ok := q.out[a]
	if !ok {
		return
	}
	delete(q.out, a)
	left := time.Duration(0)
	for _, o := range q.out {
		switch {
		case finished && o.number < c.number:
			o.quiet = true // it was read before this one
		case finished || !o.quiet:
			left += o.work
		}
	}
	if !finished {
		if t := now.Add(left); t.Before(q.busy) {
			q.busy = t
		}
		return
	}
	if took > 0 {
		q.learn(c, took)
	}
	q.busy = now.Add(left - q.Pace.Lag())
}

// learn takes in how long a call took, and begins a new stretch of work at its
// end.
func (q *Queue) learn(c *called, took time.Duration) {
	end := c.since.Add(took)
	q.Pace.Learn(c.tokens, took, c.stretch, end)
	restart := func(s *forecast.Stretch) {
		if s.From.Equal(c.stretch.From) {
			*s = forecast.Stretch{From: end, Told: true, Tokens: s.Tokens - c.stretch.Tokens}
		}
	}
	for _, o := range q.out {
		if o.number > c.number {
			restart(&o.stretch)
		}
	}
	restart(&q.stretch)
}

// quiet marks called requests whose ordinary end was not told, and forgets
// them for good after a while.
func (q *Queue) quiet(now time.Time) {
	for a, c := range q.out {
		switch past := now.Sub(c.ends); {
		case past > forgetAfter+2*c.work:
			delete(q.out, a)
		case past > quietAfter:
			c.quiet = true
		}
	}
}

// forgetAfter is how long past its forecast an end can still be told.
const forgetAfter = 5 * time.Second

// quietAfter is how long after its forecast end a request counts as read.
const quietAfter = 150 * time.Millisecond

// Promised returns how many tokens of a called request were said to be cached, and
// whether the request is known.
func (q *Queue) Promised(a request.Attempt) (tokens int, known bool) {
	c, known := q.out[a]
	if !known {
		return 0, false
	}
	return c.promised, true
}
