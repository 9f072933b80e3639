package quota

import "time"

// IsolatedLimiter admits requests while no holder is reachable: as much as was admitted through the
// holder before, plus the part of the limit that was free then. All isolated hosts of a fleet
// together keep roughly to the limit, because each continues with its own share of it.
type IsolatedLimiter struct {
	admitted meter   // through the holder
	use      float64 // of the limit, by the last answer of the holder
	active   bool
	rate     float64 // while isolated
	level    float64
	at       time.Time
}

// Limits of an IsolatedLimiter.
const (
	// maxGrowth is how many times as much as before may be admitted if most of the limit was free.
	// A host that had a small share by chance may need more.
	maxGrowth = 2.5
	// isolatedFullShare is the part of the limit from which isolated hosts compute their rates. For
	// the seconds until the others notice that these hosts are gone, the others still admit the
	// whole limit as well.
	// With a third of the hosts cut off and a team at 7.5 times its usual load, 1.02 of what a
	// limit allows in eight seconds was admitted when this was 1, and 0.92 to 0.97 with this value.
	isolatedFullShare = 0.6
	// isolatedBurstSeconds is the initial and the maximum level of an isolated host, in seconds of
	// its rate.
	isolatedBurstSeconds = 1.0
)

// ObserveAnswer records the holder's answer to a request of n units.
func (l *IsolatedLimiter) ObserveAnswer(now time.Time, n float64, a Answer) {
	l.active = false
	l.use = a.Use
	if a.OK {
		l.admitted.add(now, n)
	}
}

// Admit reports whether a request of n units is admitted. even is this host's even share of the
// limit, 1/hosts.
func (l *IsolatedLimiter) Admit(now time.Time, n float64, limit Limit, even float64) Answer {
	if !l.active {
		l.active = true
		l.rate = max(l.admitted.at(now)*min(isolatedFullShare/max(l.use, 1/maxGrowth), maxGrowth), limit.Rate*even)
		l.level, l.at = isolatedBurstSeconds*l.rate, now
	}
	l.level = min(l.level+l.rate*now.Sub(l.at).Seconds(), isolatedBurstSeconds*l.rate)
	l.at = now
	if l.level > 0 {
		l.level -= n
		return Answer{OK: true, Use: l.use, Level: l.level}
	}
	return Answer{After: min(maxRetryAfter, seconds((n-l.level)/max(l.rate, 1))), Use: l.use, Level: l.level}
}
