package pace

import "time"

// Lag is how much later than it was given out for a start may be used: a call to the host
// that gives it out may take 150 ms, and the rest is for a process that is scheduled late.
// Who is later asks anew.
const Lag = 250 * time.Millisecond

// Terms are those by which one host gives out starts at an endpoint. The zero value gives out
// none.
type Terms struct {
	Burst float64 // starts at the same moment
	Rate  float64 // starts a second that follow
}

// Tighter returns terms that keep to both.
func (t Terms) Tighter(o Terms) Terms { return Terms{min(t.Burst, o.Burst), min(t.Rate, o.Rate)} }

// Pace gives out starts at one endpoint, at moments to come if need be. The zero value has
// given out none. Of any sequence of asks no more is used in any time than the burst and what
// the rate comes to in that time and Lag, if each start is used within Lag.
type Pace struct {
	level    float64   // starts that may be used now; below 0: given out for later
	at       time.Time // of level
	terms    Terms     // of the last ask
	promised time.Time // until when what will be free was named to refused callers
}

// Ask returns in which time from now a start may be used, where that is within wait. Else
// given is false and in is when there will be one; never, if it is Never.
func (p *Pace) Ask(now time.Time, t Terms, wait time.Duration) (in time.Duration, given bool) {
	p.advance(now, t)
	if in = p.next(t); in > wait || in == Never {
		return in, false
	}
	p.level--
	return in, true
}

// next returns in which time there is a start.
func (p *Pace) next(t Terms) time.Duration {
	switch {
	case t.Burst > 0 && p.level >= 1:
		return 0
	case t.Rate*Never.Seconds() <= 1-p.level:
		return Never
	}
	return time.Duration((1-p.level)/t.Rate*float64(time.Second)) + 1
}

// Never is the time to a start where none can be foreseen.
const Never = time.Hour

// longestPromise bounds what a refused caller is told. Callers give up in that time, so that
// what is further ahead says little.
const longestPromise = 8 * time.Second

// Promise returns when a caller that was refused now is to come back: when there is a start
// that wasn't named to another one. Callers that are refused together come one after the other.
func (p *Pace) Promise(now time.Time, t Terms) time.Duration {
	in := p.next(t)
	if in >= longestPromise {
		return longestPromise
	}
	at := now.Add(in)
	if at.Before(p.promised) {
		at = p.promised
	}
	if at.Sub(now) >= longestPromise {
		return longestPromise
	}
	p.promised = at.Add(time.Duration(float64(time.Second) / t.Rate))
	return at.Sub(now)
}

// Note takes in a request that was sent while the endpoint's starts were not given out. So one
// that turns cold is not sent a burst beside what it has just been sent. What is noted is
// forgotten after a second.
func (p *Pace) Note(now time.Time, t Terms) {
	p.advance(now, t)
	p.level = max(p.level-1, min(p.level, -t.Rate))
}

// advance brings the level up to a moment. The first one finds it full. What was given out by
// other terms counts for a second of the new ones at the most: what was given out ahead by a high
// rate would else stand for minutes of a low one.
func (p *Pace) advance(now time.Time, t Terms) {
	if p.at.IsZero() {
		p.level, p.at = t.Burst, now
	}
	if t != p.terms {
		p.level = max(p.level, -t.Rate)
		p.terms = t
	}
	p.level = min(t.Burst, p.level+t.Rate*max(0, now.Sub(p.at).Seconds()))
	p.at = now
}
