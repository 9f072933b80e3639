package config

import "time"

// ColdUntilTolerance is the maximum difference between two ends of an endpoint's cold phase that
// count as the same. A cold endpoint registers again with each heartbeat, and each registration
// takes some 100 ms to arrive.
const ColdUntilTolerance = 500 * time.Millisecond

// WithLocalColdTime converts the relative cold time of a registration that has just arrived to a
// time of this process.
func (e Endpoint) WithLocalColdTime(now time.Time) Endpoint {
	e.ColdUntil = time.Time{}
	if e.ColdMillis > 0 {
		e.ColdUntil = now.Add(Millis(e.ColdMillis))
	}
	return e
}

// WithRelativeColdTime converts the time of this process back to a relative cold time, for sending
// the endpoint to another host, whose clock differs.
func (e Endpoint) WithRelativeColdTime(now time.Time) Endpoint {
	e.ColdMillis = 0
	if left := e.ColdUntil.Sub(now); left > 0 {
		e.ColdMillis = int(left/time.Millisecond) + 1
	}
	e.ColdUntil = time.Time{}
	return e
}

// sameCold reports whether two registrations agree on how long an endpoint is cold. Hosts are sent
// only a change of being cold or of its end, and not each heartbeat.
func sameCold(a, b *Endpoint) bool {
	return a.ColdMillis > 0 == (b.ColdMillis > 0) && a.ColdUntil.Sub(b.ColdUntil).Abs() <= ColdUntilTolerance
}
