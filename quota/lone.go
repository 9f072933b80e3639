package quota

import "time"

// Lone lets requests in where no holder is in reach: as many as were let in through
// the holder before, and the part of the limit that was free then. All hosts of a
// fleet that do so together keep about to the limit, because each goes on with its
// own part of it.
type Lone struct {
	letIn meter   // through the holder
	use   float64 // of the limit, as the holder last said
	alone bool
	rate  float64 // while alone
	level float64
	at    time.Time
}

// Shares of a Lone.
const (
	// mostSpare is how much more than before may be let in where most of the limit
	// was free. A host that had a small part by chance may need more of it.
	mostSpare = 2.5
	// loneFull is the part of the limit that hosts go by which are all alone. For the
	// seconds until the others notice that they are gone, these let the whole limit in
	// as well: with a third of the hosts cut off and a team at 7.5 times its usual, 1.02
	// of what a limit allows in eight seconds was let in with the whole, 0.92 to 0.97 with this.
	loneFull = 0.6
	// loneBurst is the level that a host begins alone with and may rise to, in
	// seconds of its rate.
	loneBurst = 1.0
)

// Passed notes an answer of the holder to a request of n.
func (l *Lone) Passed(now time.Time, n float64, a Answer) {
	l.alone = false
	l.use = a.Use
	if a.OK {
		l.letIn.add(now, n)
	}
}

// Ask reports whether a request of n is let in. even is this host's even part of the
// limit: one of a fleet of so many hosts.
func (l *Lone) Ask(now time.Time, n float64, limit Limit, even float64) Answer {
	if !l.alone {
		l.alone = true
		l.rate = max(l.letIn.at(now)*min(loneFull/max(l.use, 1/mostSpare), mostSpare), limit.Rate*even)
		l.level, l.at = loneBurst*l.rate, now
	}
	l.level = min(l.level+l.rate*now.Sub(l.at).Seconds(), loneBurst*l.rate)
	l.at = now
	if l.level > 0 {
		l.level -= n
		return Answer{OK: true, Use: l.use, Level: l.level}
	}
	return Answer{After: min(longestWait, seconds((n-l.level)/max(l.rate, 1))), Use: l.use, Level: l.level}
}
