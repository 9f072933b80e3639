package owner

import (
	"math"
	"sort"
	"time"

	"github.com/embercove/embercove/forecast"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
)

// item is a request that waits for a prefill engine.
type item struct {
	attempt  request.Attempt
	team     uint32
	priority int
	tokens   int           // to read
	work     time.Duration // forecast of how long the engine is kept by them
	lag      time.Duration // forecast of what the answer takes besides
	promised int           // tokens that the cache feed said are cached
	latest   time.Time     // latest start that keeps the target
	notYet   time.Time     // reading should not end before
	came     time.Time
	answer   chan *result.Error // gets nil when called, or the refusal
}

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

// queue orders the requests of one prefill engine. Requests wait here and
// not in the engine, so that a refused one never ran, a late arrival of
// higher rank goes first, and a caller that leaves costs nothing. It is not
// safe for concurrent use; Book locks it.
//
// The order is by priority, then by share, then by latest start. A newcomer is admitted
// only if everyone admitted keeps their latest start; if not, it may push out
// requests of lower rank or of teams above their fair share.
type queue struct {
	waiting []*item
	out     map[request.Attempt]*called
	calls   uint64
	busy    time.Time        // when the engine will have read what was sent
	stretch forecast.Stretch // up to what was sent last
	pace    forecast.Reading
	share   *shares
}

func newQueue(s *shares, tokensPerSecond float64) *queue {
	return &queue{out: map[request.Attempt]*called{}, share: s, pace: forecast.NewReading(tokensPerSecond)}
}

// lookahead is how much work is sent ahead of the engine, so that it never
// waits for the owner.
const lookahead = 60 * time.Millisecond

// sorted returns the items in the order in which they are called: by rank,
// then those of teams that are not above their share, then by latest start.
func (q *queue) sorted(now time.Time, items []*item) []*item {
	least := math.Inf(1)
	for _, it := range items {
		least = min(least, q.share.use(now, it.team))
	}
	above := map[uint32]bool{}
	for _, it := range items {
		above[it.team] = q.share.use(now, it.team) > unfair*least+shareGrain
	}
	sort.SliceStable(items, func(i, j int) bool {
		a, b := items[i], items[j]
		switch {
		case a.priority != b.priority:
			return a.priority < b.priority
		case above[a.team] != above[b.team]:
			return above[b.team]
		}
		return a.latest.Before(b.latest)
	})
	return items
}

// shareGrain is a use of the engine, in seconds, that is too little to put
// one team behind another.
const shareGrain = 0.5

// free returns when the engine can begin with something new.
func (q *queue) free(now time.Time) time.Time {
	if q.busy.After(now) {
		return q.busy
	}
	return now
}

// feasible reports whether every item keeps its latest start, and when the
// last of them would be read.
func (q *queue) feasible(now time.Time, items []*item) (bool, time.Time) {
	t := q.free(now)
	ok := true
	for _, it := range items {
		if t.After(it.latest) {
			ok = false
		}
		t = t.Add(it.work)
	}
	return ok, t
}

// admit adds an item or refuses it. Items that it pushes out are returned;
// they are refused as not run by the caller.
func (q *queue) admit(now time.Time, it *item) (pushed []*item, refusal *result.Error) {
	trial := q.sorted(now, append(append([]*item(nil), q.waiting...), it))
	ok, end := q.feasible(now, trial)
	for !ok {
		k := q.victim(now, trial, it)
		if k < 0 {
			late := max(end.Sub(it.latest.Add(it.work)), 100*time.Millisecond)
			return nil, result.Errorf(result.TooLate, "the prompt could be read %s too late", late.Round(time.Millisecond)).After(late)
		}
		pushed = append(pushed, trial[k])
		trial = append(trial[:k], trial[k+1:]...)
		ok, end = q.feasible(now, trial)
	}
	q.waiting = trial
	q.share.wait(it.team, it.work)
	for _, p := range pushed {
		q.share.wait(p.team, -p.work)
	}
	return pushed, nil
}

// unfair is how far above the newcomer's a team's use must be for it to give
// way.
const unfair = 1.5

// victim returns which item gives way to the newcomer: of lower rank first,
// else of the team that is furthest above its share. -1: none.
func (q *queue) victim(now time.Time, trial []*item, newcomer *item) int {
	best, most := -1, 0.0
	own := q.share.use(now, newcomer.team)
	for k, it := range trial {
		if it == newcomer {
			continue
		}
		over := 0.0
		if it.priority > newcomer.priority {
			over = 1e6 * float64(it.priority-newcomer.priority)
		} else if it.team != newcomer.team && it.priority == newcomer.priority {
			if use := q.share.use(now, it.team); use > unfair*own {
				over = use
			}
		}
		if over > 0 && over >= most {
			best, most = k, over
		}
	}
	return best
}

// next takes the items that should be sent now. Items that can no longer be
// in time are returned apart; they are refused as not run.
func (q *queue) next(now time.Time) (send, late []*item) {
	q.quiet(now)
	for _, it := range append([]*item(nil), q.waiting...) {
		if q.free(now).After(it.latest.Add(graceLate)) {
			late = append(late, it)
			q.take(it)
		}
	}
	if len(q.waiting) > 1 {
		q.waiting = q.sorted(now, q.waiting)
	}
	for q.free(now).Sub(now) <= lookahead {
		it := q.first(q.free(now))
		if it == nil {
			break
		}
		q.take(it)
		send = append(send, it)
		if !q.busy.After(now) {
			q.stretch = forecast.Stretch{From: now}
		}
		q.stretch.Tokens += it.tokens
		q.calls++
		q.busy = q.free(now).Add(it.work)
		q.out[it.attempt] = &called{number: q.calls, tokens: it.tokens, stretch: q.stretch, work: it.work, promised: it.promised,
			since: now, ends: q.busy.Add(it.lag)}
		q.share.add(now, it.team, it.work)
	}
	return send, late
}

// first returns the first item that may begin at a moment, or nil. An item
// that waits for decode memory lets others pass.
func (q *queue) first(at time.Time) *item {
	for _, it := range q.waiting {
		if !it.begins().After(at) {
			return it
		}
	}
	return nil
}

// begins returns the first moment at which the item may begin.
func (it *item) begins() time.Time { return it.notYet.Add(-it.work) }

// graceLate is how much later than its latest start an admitted request is
// still sent: its forecast was a little off, and it has waited already.
const graceLate = 100 * time.Millisecond

// take removes an item that waits.
func (q *queue) take(it *item) {
	for i, w := range q.waiting {
		if w == it {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			q.share.wait(it.team, -it.work)
			return
		}
	}
}

// cancel removes a waiting attempt and returns it, or nil.
func (q *queue) cancel(a request.Attempt) *item {
	for _, it := range q.waiting {
		if it.attempt == a {
			q.take(it)
			return it
		}
	}
	return nil
}

// due returns when next has something to do again; zero: not by itself.
func (q *queue) due(now time.Time) time.Time {
	if len(q.waiting) == 0 {
		return time.Time{}
	}
	soonest := q.waiting[0].begins()
	for _, it := range q.waiting[1:] {
		if b := it.begins(); b.Before(soonest) {
			soonest = b
		}
	}
	if t := q.free(now).Add(-lookahead); t.After(soonest) {
		return t
	}
	return soonest
}

// done notes that the engine has read a request in a time, or was told to
// forget it. An end that comes late or early tells when the engine will be
// through with what it was sent after it.
func (q *queue) done(now time.Time, a request.Attempt, finished bool, took time.Duration) {
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
	q.busy = now.Add(left - q.pace.Lag())
}

// learn takes in how long a call took, and begins a new stretch of work at its
// end.
func (q *queue) learn(c *called, took time.Duration) {
	end := c.since.Add(took)
	q.pace.Learn(c.tokens, took, c.stretch, end)
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
func (q *queue) quiet(now time.Time) {
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

// backlog returns the work ahead of a newcomer.
func (q *queue) backlog(now time.Time) time.Duration {
	d := q.free(now).Sub(now)
	for _, it := range q.waiting {
		d += it.work
	}
	return d
}
