// Package queue orders the requests that wait for one prefill engine: which of them
// is admitted, which gives way, and when each is called.
//
// It takes no locks and reads no clock; whoever keeps a Queue guards it.
package queue

import (
	"math"
	"sort"
	"time"

	"github.com/embercove/embercove/forecast"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
)

// Item is a request that waits for a prefill engine.
type Item struct {
	Attempt  request.Attempt
	Team     uint32
	Priority int
	Tokens   int           // to read
	Work     time.Duration // forecast of how long the engine is kept by them
	Lag      time.Duration // forecast of what the answer takes besides
	Promised int           // tokens that the cache feed said are cached
	Latest   time.Time     // latest start that keeps the target
	NotYet   time.Time     // reading should not end before
	Came     time.Time
	Answer   chan *result.Error // gets nil when called, or the refusal
}

// Queue orders the requests of one prefill engine. Requests wait here and
// not in the engine, so that a refused one never ran, a late arrival of
// higher rank goes first, and a caller that leaves costs nothing. It is not
// safe for concurrent use.
//
// The order is by priority, then by share, then by latest start. A newcomer is admitted
// only if everyone admitted keeps their latest start; if not, it may push out
// requests of lower rank or of teams above their fair share.
type Queue struct {
	waiting []*Item
	out     map[request.Attempt]*called
	calls   uint64
	busy    time.Time        // when the engine will have read what was sent
	stretch forecast.Stretch // up to what was sent last
	Pace    forecast.Reading // learned of the engine
	share   *shares
}

// New returns the queue of an engine that is configured to read so many tokens a
// second. weight returns the configured weight of a team.
func New(weight func(team uint32) float64, tokensPerSecond float64) *Queue {
	return &Queue{out: map[request.Attempt]*called{}, share: newShares(weight), Pace: forecast.NewReading(tokensPerSecond)}
}

// Lookahead is how much work is sent ahead of the engine, so that it never
// waits for the owner.
const Lookahead = 60 * time.Millisecond

// sorted returns the items in the order in which they are called: by rank,
// then those of teams that are not above their share, then by latest start.
func (q *Queue) sorted(now time.Time, items []*Item) []*Item {
	least := math.Inf(1)
	for _, it := range items {
		least = min(least, q.share.use(now, it.Team))
	}
	above := map[uint32]bool{}
	for _, it := range items {
		above[it.Team] = q.share.use(now, it.Team) > unfair*least+shareGrain
	}
	sort.SliceStable(items, func(i, j int) bool {
		a, b := items[i], items[j]
		switch {
		case a.Priority != b.Priority:
			return a.Priority < b.Priority
		case above[a.Team] != above[b.Team]:
			return above[b.Team]
		}
		return a.Latest.Before(b.Latest)
	})
	return items
}

// shareGrain is a use of the engine, in seconds, that is too little to put
// one team behind another.
const shareGrain = 0.5

// free returns when the engine can begin with something new.
func (q *Queue) free(now time.Time) time.Time {
	if q.busy.After(now) {
		return q.busy
	}
	return now
}

// feasible reports whether every item keeps its latest start, and when the
// last of them would be read.
func (q *Queue) feasible(now time.Time, items []*Item) (bool, time.Time) {
	t := q.free(now)
	ok := true
	for _, it := range items {
		if t.After(it.Latest) {
			ok = false
		}
		t = t.Add(it.Work)
	}
	return ok, t
}

// Admit adds an item or refuses it. Items that it pushes out are returned;
// they are refused as not run by the caller.
func (q *Queue) Admit(now time.Time, it *Item) (pushed []*Item, refusal *result.Error) {
	trial := q.sorted(now, append(append([]*Item(nil), q.waiting...), it))
	ok, end := q.feasible(now, trial)
	for !ok {
		k := q.victim(now, trial, it)
		if k < 0 {
			late := max(end.Sub(it.Latest.Add(it.Work)), 100*time.Millisecond)
			return nil, result.Errorf(result.TooLate, "the prompt could be read %s too late", late.Round(time.Millisecond)).After(late)
		}
		pushed = append(pushed, trial[k])
		trial = append(trial[:k], trial[k+1:]...)
		ok, end = q.feasible(now, trial)
	}
	q.waiting = trial
	q.share.wait(it.Team, it.Work)
	for _, p := range pushed {
		q.share.wait(p.Team, -p.Work)
	}
	return pushed, nil
}

// unfair is how far above the newcomer's a team's use must be for it to give
// way.
const unfair = 1.5

// victim returns which item gives way to the newcomer: of lower rank first,
// else of the team that is furthest above its share. -1: none.
func (q *Queue) victim(now time.Time, trial []*Item, newcomer *Item) int {
	best, most := -1, 0.0
	own := q.share.use(now, newcomer.Team)
	for k, it := range trial {
		if it == newcomer {
			continue
		}
		over := 0.0
		if it.Priority > newcomer.Priority {
			over = 1e6 * float64(it.Priority-newcomer.Priority)
		} else if it.Team != newcomer.Team && it.Priority == newcomer.Priority {
			if use := q.share.use(now, it.Team); use > unfair*own {
				over = use
			}
		}
		if over > 0 && over >= most {
			best, most = k, over
		}
	}
	return best
}

// Next takes the items that should be sent now. Items that can no longer be
// in time are returned apart; they are refused as not run.
func (q *Queue) Next(now time.Time) (send, late []*Item) {
	q.quiet(now)
	for _, it := range append([]*Item(nil), q.waiting...) {
		if q.free(now).After(it.Latest.Add(graceLate)) {
			late = append(late, it)
			q.Take(it)
		}
	}
	if len(q.waiting) > 1 {
		q.waiting = q.sorted(now, q.waiting)
	}
	for q.free(now).Sub(now) <= Lookahead {
		it := q.first(q.free(now))
		if it == nil {
			break
		}
		q.Take(it)
		send = append(send, it)
		if !q.busy.After(now) {
			q.stretch = forecast.Stretch{From: now}
		}
		q.stretch.Tokens += it.Tokens
		q.calls++
		q.busy = q.free(now).Add(it.Work)
		q.out[it.Attempt] = &called{number: q.calls, tokens: it.Tokens, stretch: q.stretch, work: it.Work, promised: it.Promised,
			since: now, ends: q.busy.Add(it.Lag)}
		q.share.add(now, it.Team, it.Work)
	}
	return send, late
}

// first returns the first item that may begin at a moment, or nil. An item
// that waits for decode memory lets others pass.
func (q *Queue) first(at time.Time) *Item {
	for _, it := range q.waiting {
		if !it.begins().After(at) {
			return it
		}
	}
	return nil
}

// begins returns the first moment at which the item may begin.
func (it *Item) begins() time.Time { return it.NotYet.Add(-it.Work) }

// graceLate is how much later than its latest start an admitted request is
// still sent: its forecast was a little off, and it has waited already.
const graceLate = 100 * time.Millisecond

// Take removes an item that waits.
func (q *Queue) Take(it *Item) {
	for i, w := range q.waiting {
		if w == it {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			q.share.wait(it.Team, -it.Work)
			return
		}
	}
}

// Cancel removes a waiting attempt and returns it, or nil.
func (q *Queue) Cancel(a request.Attempt) *Item {
	for _, it := range q.waiting {
		if it.Attempt == a {
			q.Take(it)
			return it
		}
	}
	return nil
}

// Due returns when next has something to do again; zero: not by itself.
func (q *Queue) Due(now time.Time) time.Time {
	if len(q.waiting) == 0 {
		return time.Time{}
	}
	soonest := q.waiting[0].begins()
	for _, it := range q.waiting[1:] {
		if b := it.begins(); b.Before(soonest) {
			soonest = b
		}
	}
	if t := q.free(now).Add(-Lookahead); t.After(soonest) {
		return t
	}
	return soonest
}

// Backlog returns the work ahead of a newcomer.
func (q *Queue) Backlog(now time.Time) time.Duration {
	d := q.free(now).Sub(now)
	for _, it := range q.waiting {
		d += it.Work
	}
	return d
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Clear takes all requests that wait and returns them. Their teams have no longer used
// what they waited for: else newcomers of others would push theirs out for good.
func (q *Queue) Clear() []*Item {
	out := q.waiting
	q.waiting = nil
	for _, it := range out {
		q.share.wait(it.Team, -it.Work)
	}
	return out
}

// Forget drops what is known of teams without any use worth counting.
func (q *Queue) Forget(now time.Time) { q.share.forget(now) }
