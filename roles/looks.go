package roles

import (
	"time"

	"github.com/embercove/embercove/config"
)

// History holds recent samples of how far a pool is out of balance. The zero value has none.
type History struct{ samples []sample }

// sample is how many runners of a pool should have changed to a role at a time.
type sample struct {
	n  int
	to config.Role
	at time.Time
}

const (
	minDuration = 3 * time.Second         // of an imbalance: a runner that was lost briefly comes back in its old role
	maxGap      = 1500 * time.Millisecond // three times the sampling interval; after a longer gap, earlier samples are dropped
)

// Record records a sample and returns how many runners should change to the role: the minimum
// over the last minDuration, 0 if the direction changed or the samples don't go back that far. In
// a large pool the number varies all the time; the minimum is the part of the imbalance that lasts.
func (l *History) Record(n int, to config.Role, now time.Time) int {
	if k := len(l.samples); k > 0 && now.Sub(l.samples[k-1].at) > maxGap {
		l.samples = nil
	}
	l.samples = append(l.samples, sample{n: n, to: to, at: now})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= minDuration {
		l.samples = l.samples[1:]
	}
	if now.Sub(l.samples[0].at) < minDuration {
		return 0
	}
	for _, past := range l.samples {
		if past.to != to {
			return 0
		}
		n = min(n, past.n)
	}
	return n
}
