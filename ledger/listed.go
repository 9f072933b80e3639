package ledger

import (
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
)

// The answer of an unknown request is assumed to be at most 1/foreignAnswerDivisor of its memory.
const foreignAnswerDivisor = 4

// ApplyList applies the engine's own list of its requests. Requests that are listed get a row; rows of
// requests that were listed before and no longer are get dropped.
func (l *Ledger) ApplyList(now time.Time, list map[request.Attempt]endpoint.Running) {
	for a, at := range l.ended {
		if now.Sub(at) > endedKept {
			delete(l.ended, a)
		}
	}
	var g growth
	listed := make(map[request.Attempt]bool, len(list))
	for a, held := range list {
		if _, over := l.ended[a]; over {
			continue // the list is older than the report of the end
		}
		if own, ok := l.byIDHash[a.ID.Counter]; ok && a == listedAttempt(a.ID.Counter) {
			a = own
		}
		listed[a] = true
		r := l.rows[a]
		if r == nil {
			r = &row{attempt: a, tokens: held.Tokens, prompt: held.Tokens, maxAnswer: held.Tokens / foreignAnswerDivisor}
			l.rows[a] = r
		}
		r.seen = true
		l.observeGrowth(now, r, held, &g)
		if l.spec.GrowsMemory && !r.start.IsZero() {
			continue // its start is known better than from such a list
		}
		transfer := r.transferEnd.Sub(r.start)
		r.start = now.Add(-time.Duration(held.AgeMillis) * time.Millisecond)
		r.transferEnd = r.start.Add(transfer)
	}
	l.detectPaceChange(g)
	for a, r := range l.rows {
		if r.seen && !listed[a] {
			l.drop(a)
		}
	}
}

// endedKept is how long the end of an attempt is remembered, so that an outdated list doesn't bring
// it back.
const endedKept = 3 * time.Second
