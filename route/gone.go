package route

import (
	"time"

	"github.com/embercove/embercove/config"
)

// removal records an endpoint whose registration was removed.
type removal struct {
	started int64 // start time of its process; 0: unknown
	era     uint64
	at      time.Time
}

const (
	// removalTTL is how long a removal is remembered. It is far longer than the age of a copy that
	// the store is restored from, which is some seconds.
	removalTTL = time.Minute
	// minRemovals is how many removals are kept regardless of age.
	minRemovals = 64
	// unconfirmedFor is how long an endpoint isn't used after a store restored from an old copy
	// brought its removed registration back. The registration of a dead endpoint expires by then.
	unconfirmedFor = 5 * time.Second
)

// removals remembers the endpoints that were removed recently.
type removals struct {
	byNumber   map[uint32]removal
	afterSweep int // len(byNumber) after old ones were last dropped
}

// add records that an endpoint was removed.
func (t *removals) add(number uint32, e *config.Endpoint, era uint64, now time.Time) {
	if t.byNumber == nil {
		t.byNumber = map[uint32]removal{}
	}
	if len(t.byNumber) >= max(minRemovals, 2*t.afterSweep) {
		for n, g := range t.byNumber {
			if now.Sub(g.at) > removalTTL {
				delete(t.byNumber, n)
			}
		}
		t.afterSweep = len(t.byNumber)
	}
	t.byNumber[number] = removal{e.Born, era, now}
}

// returned handles a new registration and returns until when the endpoint counts as unconfirmed:
// it was removed in an earlier era of the store and hasn't restarted since.
func (t *removals) returned(number uint32, e *config.Endpoint, era uint64, now time.Time) (until time.Time) {
	g, was := t.byNumber[number]
	if !was {
		return time.Time{}
	}
	delete(t.byNumber, number)
	restarted := g.started != 0 && e.Born > g.started
	if restarted || era <= g.era || now.Sub(g.at) > removalTTL {
		return time.Time{}
	}
	return now.Add(unconfirmedFor)
}
