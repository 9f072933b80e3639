package route

import (
	"time"

	"github.com/embercove/embercove/config"
)

// gone is an endpoint whose registration was gone.
type gone struct {
	born int64 // start of its process; 0: unknown
	era  uint64
	at   time.Time
}

const (
	// goneKept is for how long it is known that an endpoint was gone. Copies of stores are some
	// seconds old.
	goneKept = time.Minute
	// fewGone is how many are known whatever their age.
	fewGone = 64
	// doubtedFor is how long an endpoint isn't used that was gone and is registered again by a
	// store that came back from a copy. The registration of one that doesn't live runs out by then.
	doubtedFor = 5 * time.Second
)

// goneTable knows the endpoints that have gone lately.
type goneTable struct {
	of   map[uint32]gone
	left int // when old ones were dropped last
}

// note takes in that an endpoint has gone.
func (t *goneTable) note(number uint32, e *config.Endpoint, era uint64, now time.Time) {
	if t.of == nil {
		t.of = map[uint32]gone{}
	}
	if len(t.of) >= max(fewGone, 2*t.left) {
		for n, g := range t.of {
			if now.Sub(g.at) > goneKept {
				delete(t.of, n)
			}
		}
		t.left = len(t.of)
	}
	t.of[number] = gone{e.Born, era, now}
}

// back takes in that an endpoint is registered that wasn't, and returns until when it is in
// doubt: it was gone in an earlier era, and hasn't started since.
func (t *goneTable) back(number uint32, e *config.Endpoint, era uint64, now time.Time) (until time.Time) {
	g, was := t.of[number]
	if !was {
		return time.Time{}
	}
	delete(t.of, number)
	restarted := g.born != 0 && e.Born > g.born
	if restarted || era <= g.era || now.Sub(g.at) > goneKept {
		return time.Time{}
	}
	return now.Add(doubtedFor)
}
