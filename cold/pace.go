package cold

import "time"

// Lag is how much later than it was given out for a start may be used: a call to the host
// that gives it out may take 150 ms, and the rest is for a process that is scheduled late.
// Who is later asks anew. So the starts of a second and this much may be used within one second.
const Lag = 250 * time.Millisecond

// burstPart is the part of what may start in a second that may start at the same moment.
// The more it is the fewer a second are left: of a share of 36.5 with a tenth 26.3, with a
// fifth 23.4, of 21 that the endpoint bears; half of the votes then still give out 13.
const burstPart = 0.1

// Pace gives out starts at one endpoint, at moments to come if need be. The zero value has
// given out none. Of any sequence of asks no more than the share given is used in any one
// second, if each start is used within Lag.
type Pace struct {
	level float64   // starts that may be used now; below 0: given out for later
	at    time.Time // of level
}

// terms returns how many starts may be used at once and how many a second follow. A share
// of less than one start allows none: many hosts with one each would exceed any bound.
func terms(share float64) (burst, rate float64) {
	if share < 1 {
		return 0, 0
	}
	burst = max(1, burstPart*share)
	return burst, (share - burst) / (1 + Lag.Seconds())
}

// Ask returns in which time from now a start may be used, where that is within wait. Else
// given is false and in is when there will be one; never, if it is Never.
func (p *Pace) Ask(now time.Time, share float64, wait time.Duration) (in time.Duration, given bool) {
	burst, rate := terms(share)
	p.advance(now, burst, rate)
	switch {
	case burst > 0 && p.level >= 1:
	case rate*Never.Seconds() <= 1-p.level:
		return Never, false
	default:
		in = time.Duration((1-p.level)/rate*float64(time.Second)) + 1
	}
	if in > wait {
		return in, false
	}
	p.level--
	return in, true
}

// Never is the time to a start where none can be foreseen.
const Never = time.Hour

// Note takes in a request that was sent while the endpoint was not cold. So one that turns
// cold is not sent a burst beside what it has just been sent. What is noted is forgotten
// after a second.
func (p *Pace) Note(now time.Time, share float64) {
	burst, rate := terms(share)
	p.advance(now, burst, rate)
	p.level = max(p.level-1, min(p.level, -rate))
}

// advance brings the level up to a moment. The first one finds it full.
func (p *Pace) advance(now time.Time, burst, rate float64) {
	if p.at.IsZero() {
		p.level, p.at = burst, now
	}
	p.level = min(burst, p.level+rate*max(0, now.Sub(p.at).Seconds()))
	p.at = now
}
