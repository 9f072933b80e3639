package config

import "time"

// SameCold is how far two moments until which an endpoint is cold may lie apart to be
// the same. A cold endpoint registers anew with each heartbeat, and each registration is
// some 100 ms under way.
const SameCold = 500 * time.Millisecond

// Heard returns the endpoint as it registered itself just now: what is relative in its
// registration becomes a time of this process.
func (e Endpoint) Heard(now time.Time) Endpoint {
	e.ColdUntil = time.Time{}
	if e.ColdMillis > 0 {
		e.ColdUntil = now.Add(Millis(e.ColdMillis))
	}
	return e
}

// Told returns the endpoint as another host is told of it, which has another clock.
func (e Endpoint) Told(now time.Time) Endpoint {
	e.ColdMillis = 0
	if left := e.ColdUntil.Sub(now); left > 0 {
		e.ColdMillis = int(left/time.Millisecond) + 1
	}
	e.ColdUntil = time.Time{}
	return e
}

// sameCold reports whether two registrations say the same of how long an endpoint is
// cold. Only that it is, and a moment that has moved, is told around: not each heartbeat.
func sameCold(a, b *Endpoint) bool {
	return a.ColdMillis > 0 == (b.ColdMillis > 0) && a.ColdUntil.Sub(b.ColdUntil).Abs() <= SameCold
}
