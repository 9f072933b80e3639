package pace

import "time"

// Lag is how long after its due time a permit may still be used. The call to the host that grants
// it may take 150 ms; the rest covers late scheduling of the process. A caller that is later
// requests a new permit.
const Lag = 250 * time.Millisecond

// BucketParams are the parameters of a Bucket. The zero value grants nothing.
type BucketParams struct {
	Burst float64 // permits at the same instant
	Rate  float64 // permits a second after that
}

// Tighter returns parameters that satisfy both t and o.
func (t BucketParams) Tighter(o BucketParams) BucketParams {
	return BucketParams{min(t.Burst, o.Burst), min(t.Rate, o.Rate)}
}

// Bucket is a token bucket that grants the start permits of one endpoint, also ahead of time. The
// zero value has granted none. For any sequence of calls, no more permits are used in any interval
// than the burst and what the rate yields in that interval plus Lag, provided that each permit is
// used within Lag.
type Bucket struct {
	level         float64      // permits available now; below 0: granted ahead
	at            time.Time    // time of level
	params        BucketParams // of the last call
	promisedUntil time.Time    // until when future permits were announced to refused callers
}

// Acquire returns how long from now a permit may be used, if that is within wait. Otherwise granted
// is false and in is the time until there will be a permit, or Never.
func (p *Bucket) Acquire(now time.Time, t BucketParams, wait time.Duration) (in time.Duration, granted bool) {
	p.advance(now, t)
	if in = p.timeToNext(t); in > wait || in == Never {
		return in, false
	}
	p.level--
	return in, true
}

// timeToNext returns the time until there is a permit.
func (p *Bucket) timeToNext(t BucketParams) time.Duration {
	switch {
	case t.Burst > 0 && p.level >= 1:
		return 0
	case t.Rate*Never.Seconds() <= 1-p.level:
		return Never
	}
	return time.Duration((1-p.level)/t.Rate*float64(time.Second)) + 1
}

// Never is returned as the time to a permit when none is foreseeable.
const Never = time.Hour

// maxRetryAfter bounds the retry time announced to a refused caller. Callers give up within that
// time, so a later time is of no use.
const maxRetryAfter = 8 * time.Second

// RetryAfter returns when a caller that was just refused should come back: when there is a permit
// that wasn't announced to another caller. Callers that are refused together get successive times.
func (p *Bucket) RetryAfter(now time.Time, t BucketParams) time.Duration {
	in := p.timeToNext(t)
	if in >= maxRetryAfter {
		return maxRetryAfter
	}
	at := now.Add(in)
	if at.Before(p.promisedUntil) {
		at = p.promisedUntil
	}
	if at.Sub(now) >= maxRetryAfter {
		return maxRetryAfter
	}
	p.promisedUntil = at.Add(time.Duration(float64(time.Second) / t.Rate))
	return at.Sub(now)
}

// ChargeUnpermitted counts a request that was sent while the endpoint needed no permits. An
// endpoint that turns cold then isn't sent a burst on top of what it has just been sent. The charge
// is forgotten after a second.
func (p *Bucket) ChargeUnpermitted(now time.Time, t BucketParams) {
	p.advance(now, t)
	p.level = max(p.level-1, min(p.level, -t.Rate))
}

// advance brings the level up to date; the bucket starts full. When the parameters change, permits
// granted under the old ones count for at most a second of the new rate: permits granted ahead at a
// high rate would otherwise block a low rate for minutes.
func (p *Bucket) advance(now time.Time, t BucketParams) {
	if p.at.IsZero() {
		p.level, p.at = t.Burst, now
	}
	if t != p.params {
		p.level = max(p.level, -t.Rate)
		p.params = t
	}
	p.level = min(t.Burst, p.level+t.Rate*max(0, now.Sub(p.at).Seconds()))
	p.at = now
}
