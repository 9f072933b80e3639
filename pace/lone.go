package pace

import (
	"math"
	"time"
)

const (
	// isolatedPart is the part of its even share of a limit that a host uses while it reaches no
	// host that grants permits. The others may use the whole limit until they consider this host
	// gone, and many hosts may be cut off at once. Half a share keeps the sum below one and a half
	// times the limit.
	isolatedPart = 0.5
	// slotValidFor is how long after its due time an isolated host may use a send slot.
	slotValidFor = time.Second
)

// IsolatedLimiter limits what a host sends to one endpoint while it can't reach the endpoint's owner.
// Send slots come at times that differ from host to host and aren't saved up: otherwise, after a long
// partition, each of hundreds of hosts would have one ready at the same instant. They come evenly,
// as isolated hosts don't know of each other: at random times many would coincide now and then.
type IsolatedLimiter struct {
	Phase float64 // in [0, 1), at even distances from host to host

	started  time.Time
	first    float64 // slots until started, in the time of day, so that hosts begin independently
	lastSlot float64 // number of the last slot that was used
}

// Acquire returns how long to wait before sending: 0 if a slot was granted, else the time after
// which to try again. even is this host's even share of the fleet, 1/hosts.
func (l *IsolatedLimiter) Acquire(now time.Time, perSecond, even float64) (in time.Duration, granted bool) {
	rate := max(perSecond, minLimit) * even * isolatedPart
	if rate <= 0 {
		return Never, false
	}
	if l.started.IsZero() {
		l.started = now
		l.first = fraction(float64(now.UnixNano())/float64(time.Second)*rate + l.Phase)
	}
	elapsed := now.Sub(l.started).Seconds()*rate + l.first
	slot := math.Floor(elapsed)
	if slot > l.lastSlot && (elapsed-slot)/rate < slotValidFor.Seconds() {
		l.lastSlot = slot
		return 0, true
	}
	return time.Duration((slot+1-elapsed)/rate*float64(time.Second)) + 1, false
}

func fraction(x float64) float64 { return x - math.Floor(x) }
