// Package queue orders the requests that wait for one prefill engine: which of them is admitted,
// which is evicted for another, and when each is sent.
//
// It takes no locks and reads no clock; the owner of a Queue guards it.
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
	Attempt      request.Attempt
	Team         uint32
	Priority     int
	Tokens       int           // to prefill
	Work         time.Duration // forecast of how long they occupy the engine
	Lag          time.Duration // forecast of the additional time until the answer
	CachedTokens int           // tokens that are cached according to the cache feed
	LatestStart  time.Time     // latest start that keeps the target
	NotBefore    time.Time     // prefill should not end before
	Arrived      time.Time
	Result       chan *result.Error // gets nil when the request is sent, or the refusal
}

// Queue orders the requests of one prefill engine. Requests wait here and not in the engine, so
// that a refused one never ran, a late arrival of higher priority goes first, and a caller that
// disconnects costs nothing. It is not safe for concurrent use.
//
// The order is by priority, then by the team's use, then by latest start. A newcomer is admitted
// only if all admitted requests can still start by their latest start. If not, it may evict
// requests of lower priority or of teams above their fair share.
type Queue struct {
	waiting   []*Item
	inFlight  map[request.Attempt]*sentRequest
	sent      uint64
	busyUntil time.Time         // when the engine will have prefilled what was sent
	interval  forecast.Interval // uninterrupted work up to what was sent last
	Pace      forecast.Prefill  // the learned speed of the engine
	shares    *teamShares
}

// New returns the queue of an engine that is configured to prefill tokensPerSecond. weight returns
// the configured weight of a team.
func New(weight func(team uint32) float64, tokensPerSecond float64) *Queue {
	return &Queue{inFlight: map[request.Attempt]*sentRequest{}, shares: newTeamShares(weight), Pace: forecast.NewPrefill(tokensPerSecond)}
}

// Lookahead is how much work is sent ahead to the engine, so that it never idles while waiting for
// the owner.
const Lookahead = 60 * time.Millisecond

// sorted sorts the items into the order in which they are sent: by priority, then teams not above
// their share before the others, then by latest start.
func (q *Queue) sorted(now time.Time, items []*Item) []*Item {
	minUse := math.Inf(1)
	for _, it := range items {
		minUse = min(minUse, q.shares.use(now, it.Team))
	}
	above := map[uint32]bool{}
	for _, it := range items {
		above[it.Team] = q.shares.use(now, it.Team) > unfairRatio*minUse+shareSlack
	}
	sort.SliceStable(items, func(i, j int) bool {
		a, b := items[i], items[j]
		switch {
		case a.Priority != b.Priority:
			return a.Priority < b.Priority
		case above[a.Team] != above[b.Team]:
			return above[b.Team]
		}
		return a.LatestStart.Before(b.LatestStart)
	})
	return items
}

// shareSlack is a use of the engine, in seconds, that is too small to put one team behind another.
const shareSlack = 0.5

// freeAt returns when the engine can begin with something new.
func (q *Queue) freeAt(now time.Time) time.Time {
	if q.busyUntil.After(now) {
		return q.busyUntil
	}
	return now
}

// feasible reports whether every item can start by its latest start, and when the last of them
// would be prefilled.
func (q *Queue) feasible(now time.Time, items []*Item) (bool, time.Time) {
	t := q.freeAt(now)
	ok := true
	for _, it := range items {
		if t.After(it.LatestStart) {
			ok = false
		}
		t = t.Add(it.Work)
	}
	return ok, t
}

// Admit adds an item or refuses it. It returns the items evicted for it; the caller refuses them as
// not run.
func (q *Queue) Admit(now time.Time, it *Item) (evicted []*Item, refusal *result.Error) {
	candidates := q.sorted(now, append(append([]*Item(nil), q.waiting...), it))
	ok, end := q.feasible(now, candidates)
	for !ok {
		k := q.victim(now, candidates, it)
		if k < 0 {
			late := max(end.Sub(it.LatestStart.Add(it.Work)), 100*time.Millisecond)
			return nil, result.Errorf(result.TooLate, "prefill would end %s too late", late.Round(time.Millisecond)).After(late)
		}
		evicted = append(evicted, candidates[k])
		candidates = append(candidates[:k], candidates[k+1:]...)
		ok, end = q.feasible(now, candidates)
	}
	q.waiting = candidates
	q.shares.addWaiting(it.Team, it.Work)
	for _, p := range evicted {
		q.shares.addWaiting(p.Team, -p.Work)
	}
	return evicted, nil
}

// unfairRatio is how many times the newcomer's use a team's use must exceed for its items to be
// evicted.
const unfairRatio = 1.5

// victim returns the index of the item to evict for the newcomer: one of the lowest priority below
// the newcomer's, else one of the team furthest above its share, or -1.
func (q *Queue) victim(now time.Time, candidates []*Item, newcomer *Item) int {
	best, maxOver := -1, 0.0
	own := q.shares.use(now, newcomer.Team)
	for k, it := range candidates {
		if it == newcomer {
			continue
		}
		over := 0.0
		if it.Priority > newcomer.Priority {
			over = 1e6 * float64(it.Priority-newcomer.Priority)
		} else if it.Team != newcomer.Team && it.Priority == newcomer.Priority {
			if use := q.shares.use(now, it.Team); use > unfairRatio*own {
				over = use
			}
		}
		if over > 0 && over >= maxOver {
			best, maxOver = k, over
		}
	}
	return best
}

// Next removes and returns the items to send now. Items that can no longer be in time are returned
// separately; they are refused as not run.
func (q *Queue) Next(now time.Time) (send, late []*Item) {
	q.presumeDone(now)
	for _, it := range append([]*Item(nil), q.waiting...) {
		if q.freeAt(now).After(it.LatestStart.Add(lateGrace)) {
			late = append(late, it)
			q.Remove(it)
		}
	}
	if len(q.waiting) > 1 {
		q.waiting = q.sorted(now, q.waiting)
	}
	for q.freeAt(now).Sub(now) <= Lookahead {
		it := q.nextReady(q.freeAt(now))
		if it == nil {
			break
		}
		q.Remove(it)
		send = append(send, it)
		if !q.busyUntil.After(now) {
			q.interval = forecast.Interval{From: now}
		}
		q.interval.Tokens += it.Tokens
		q.sent++
		q.busyUntil = q.freeAt(now).Add(it.Work)
		q.inFlight[it.Attempt] = &sentRequest{number: q.sent, tokens: it.Tokens, interval: q.interval, work: it.Work, cachedTokens: it.CachedTokens,
			sentAt: now, forecastEnd: q.busyUntil.Add(it.Lag)}
		q.shares.addUse(now, it.Team, it.Work)
	}
	return send, late
}

// nextReady returns the first item that may begin at a time, or nil. An item that waits for decode
// memory lets others pass.
func (q *Queue) nextReady(at time.Time) *Item {
	for _, it := range q.waiting {
		if !it.earliestStart().After(at) {
			return it
		}
	}
	return nil
}

// earliestStart returns the first time at which the item may begin.
func (it *Item) earliestStart() time.Time { return it.NotBefore.Add(-it.Work) }

// lateGrace is how much later than its latest start an admitted request is still sent: its forecast
// was slightly off, and it has already waited.
const lateGrace = 100 * time.Millisecond

// Remove removes a waiting item.
func (q *Queue) Remove(it *Item) {
	for i, w := range q.waiting {
		if w == it {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			q.shares.addWaiting(it.Team, -it.Work)
			return
		}
	}
}

// Cancel removes a waiting attempt and returns it, or nil.
func (q *Queue) Cancel(a request.Attempt) *Item {
	for _, it := range q.waiting {
		if it.Attempt == a {
			q.Remove(it)
			return it
		}
	}
	return nil
}

// Due returns when Next has something to do again; zero if nothing waits.
func (q *Queue) Due(now time.Time) time.Time {
	if len(q.waiting) == 0 {
		return time.Time{}
	}
	soonest := q.waiting[0].earliestStart()
	for _, it := range q.waiting[1:] {
		if b := it.earliestStart(); b.Before(soonest) {
			soonest = b
		}
	}
	if t := q.freeAt(now).Add(-Lookahead); t.After(soonest) {
		return t
	}
	return soonest
}

// Backlog returns the work ahead of a newcomer.
func (q *Queue) Backlog(now time.Time) time.Duration {
	d := q.freeAt(now).Sub(now)
	for _, it := range q.waiting {
		d += it.Work
	}
	return d
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Clear removes and returns all waiting requests. The work they waited for no longer counts as
// their teams' use: otherwise newcomers of other teams would keep evicting theirs.
func (q *Queue) Clear() []*Item {
	out := q.waiting
	q.waiting = nil
	for _, it := range out {
		q.shares.addWaiting(it.Team, -it.Work)
	}
	return out
}

// DropIdle drops the records of teams with negligible use.
func (q *Queue) DropIdle(now time.Time) { q.shares.dropIdle(now) }
