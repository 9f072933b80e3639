package ledger

import (
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
)

// foreignAnswer is the part of an unknown request's memory that is taken to
// be its answer.
const foreignAnswer = 4

// Listed takes in the engine's own list: what it holds counts, and what it
// no longer holds doesn't.
func (l *Ledger) Listed(now time.Time, list map[request.Attempt]endpoint.Running) {
	for a, at := range l.ended {
		if now.Sub(at) > endedKept {
			delete(l.ended, a)
		}
	}
	var g growth
	there := make(map[request.Attempt]bool, len(list))
	for a, held := range list {
		if _, over := l.ended[a]; over {
			continue // the list is older than what its holder told
		}
		if own, ok := l.marked[a.ID.Counter]; ok && a == listedAs(a.ID.Counter) {
			a = own
		}
		there[a] = true
		r := l.rows[a]
		if r == nil {
			r = &row{attempt: a, tokens: held.Tokens, prompt: held.Tokens, maxAnswer: held.Tokens / foreignAnswer}
			l.rows[a] = r
		}
		r.seen = true
		l.grow(now, r, held, &g)
		if l.spec.GrowsMemory && !r.start.IsZero() {
			continue // its start is known better than such a list tells it
		}
		move := r.moved.Sub(r.start)
		r.start = now.Add(-time.Duration(held.AgeMillis) * time.Millisecond)
		r.moved = r.start.Add(move)
	}
	l.noticeTurn(g)
	for a, r := range l.rows {
		if r.seen && !there[a] {
			l.drop(a)
		}
	}
}

// endedKept is how long the end of an attempt is remembered, so that a list
// that is behind doesn't bring it back.
const endedKept = 3 * time.Second
