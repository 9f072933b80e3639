package pace

import (
	"math"
	"time"
)

const (
	// lonePart is the part of its even share of a limit that a host uses which reaches none of
	// those that give out starts. The others may go on with all of the limit until they take it
	// for gone, and many may be cut off at once: half of it keeps the sum below one and a half.
	lonePart = 0.5
	// loneKept is how long after its moment such a host may use a start.
	loneKept = time.Second
)

// Lone is what a host sends to one endpoint by itself. Starts come at moments that differ from
// host to host and aren't saved up: of hundreds that are cut off for long each would else have
// one ready at the same time.
type Lone struct {
	Phase float64 // in [0, 1), drawn by each host

	began time.Time
	used  float64 // number of the last moment that was used
}

// Ask returns in which time from now a start may be used: now, where given, else when to ask
// again. even is the host's even part of the fleet.
func (l *Lone) Ask(now time.Time, perSecond, even float64) (in time.Duration, given bool) {
	rate := max(perSecond, leastLimit) * even * lonePart
	if rate <= 0 {
		return Never, false
	}
	if l.began.IsZero() {
		l.began = now
	}
	passed := now.Sub(l.began).Seconds()*rate + l.Phase
	moment := math.Floor(passed)
	if moment > l.used && (passed-moment)/rate < loneKept.Seconds() {
		l.used = moment
		return 0, true
	}
	return time.Duration((moment+1-passed)/rate*float64(time.Second)) + 1, false
}
