package quarantine

import "time"

// trustFor is how long a complete answer counts in favour of a request. It bridges the time between
// a crash and the next complete answer to a request that many callers send, whose answers take
// seconds. A request that was answered and now crashes endpoints, as after an upgrade of these, is
// counted so much later.
const trustFor = 10 * time.Second

// maxRecent is how many completely answered requests are remembered for half of trustFor or more:
// about 100 a second, 0.3 MB. Beyond that the latest ones are remembered.
const maxRecent = 1024

// recent remembers which requests were recently answered completely, in two generations.
type recent struct {
	current, previous map[recordKey]time.Time
	rotatedAt         time.Time // when the current generation began
}

// add records a complete answer.
func (r *recent) add(k recordKey, now time.Time) {
	if r.current == nil || len(r.current) >= maxRecent || now.Sub(r.rotatedAt) >= trustFor {
		r.current, r.previous, r.rotatedAt = map[recordKey]time.Time{}, r.current, now
	}
	r.current[k] = now
}

// contains reports whether a request was recently answered completely.
func (r *recent) contains(k recordKey, now time.Time) bool {
	at, seen := r.current[k]
	if !seen {
		at, seen = r.previous[k]
	}
	return seen && now.Sub(at) < trustFor
}
