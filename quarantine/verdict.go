package quarantine

import (
	"time"

	"github.com/embercove/embercove/request"
)

// Verdict says what a request may do.
type Verdict uint8

// The verdicts.
const (
	Free    Verdict = iota // nothing speaks against it
	Suspect                // it runs only by a trial
	Resting                // it will be Suspect again after a rest
	Blamed                 // it is refused
)

// String returns the verdict in words, as operators see it.
func (v Verdict) String() string { return [...]string{"free", "suspect", "resting", "blamed"}[v] }

// Counts and times of a verdict.
const (
	// mostEnds is after how many ends a request is blamed. One may be chance and two a run
	// of bad luck; each costs an endpoint and what ran there besides.
	mostEnds = 3
	// aloneAfter is after how many ends a request runs beside no other suspect: the next
	// end is the one that it is blamed for.
	aloneAfter = mostEnds - 1
	// mostChances is how often a blamed request is tried again: after firstChance, in case it
	// was there by chance three times, and then each time after chanceGrowth times as long,
	// as endpoints are replaced and models mended: 1, 5 and 25 minutes.
	mostChances  = 3
	firstChance  = time.Minute
	chanceGrowth = 5
	// sureAfter is how long after its third end a request rests before it is blamed: other
	// ends, which go on without it, show by then that there are other causes.
	sureAfter = 10 * time.Second
	// mostOthers is how many ends within othersWithin of a request's last one, at which it
	// wasn't, speak for other causes: beside many requests that each end endpoints, some that
	// are sent again and again and do nothing are there three times by chance. Two requests that end endpoints at the same time have three such ends
	// of each other. One among others isn't blamed; it rests, first for firstRest and then
	// each time restGrowth times as long, so that one that does end endpoints is sent three
	// times in the next 100 s, or until nothing else has ended for othersWithin: what ends
	// then is its own doing.
	mostOthers   = 4
	othersWithin = 10 * time.Second
	firstRest    = 3 * time.Second
	restGrowth   = 3
)

// Judge says what a request may do now, and how long it still rests.
func (r *Registry) Judge(f request.Fingerprint, now time.Time) (v Verdict, rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.judge(f, now)
}

// judge is Judge; the caller holds the lock.
func (r *Registry) judge(f request.Fingerprint, now time.Time) (v Verdict, rest time.Duration) {
	if len(r.cells) == 0 {
		return Free, 0
	}
	ends, last := r.ends(f)
	switch {
	case ends == 0 && !r.wasBeside(f):
		return Free, 0
	case ends < mostEnds, chanceDue(ends, now.Sub(last)):
		return Suspect, 0
	}
	others, latest := r.others(f, last)
	until := last.Add(sureAfter)
	if others >= mostOthers {
		until = earlier(last.Add(grown(firstRest, restGrowth, ends-mostEnds)), latest.Add(othersWithin))
		until = later(until, last.Add(firstRest))
	}
	switch rest = until.Sub(now); {
	case rest > 0:
		return Resting, rest
	case others >= mostOthers:
		return Suspect, 0
	}
	return Blamed, 0
}

// grown returns a time that has grown some times by a factor.
func grown(d time.Duration, by, times int) time.Duration {
	for range times {
		d *= time.Duration(by)
	}
	return d
}

// others returns how many other ends there were about a request's last one, and when the
// latest was; the caller holds the lock.
func (r *Registry) others(f request.Fingerprint, last time.Time) (n int, latest time.Time) {
	for _, e := range r.events.of {
		if last.Sub(e.at).Abs() < othersWithin && !e.has(f) {
			n++
			latest = later(latest, e.at)
		}
	}
	return n, latest
}

// has reports whether a request was there as a process ended.
func (e *event) has(f request.Fingerprint) bool {
	for k := range e.suspects {
		if k.request == f {
			return true
		}
	}
	return false
}

// wasBeside reports whether a request was there as an endpoint ended, though another explains
// that; the caller holds the lock.
func (r *Registry) wasBeside(f request.Fingerprint) bool {
	for s := range stages {
		if c := r.cells[cellKey{f, s}]; c != nil && c.mark.Beside {
			return true
		}
	}
	return false
}

// ends returns how many ends speak against a request, and when the last was; the caller
// holds the lock.
func (r *Registry) ends(f request.Fingerprint) (n int, last time.Time) {
	for s := range stages {
		c := r.cells[cellKey{f, s}]
		if c == nil || c.mark.Ends == 0 {
			continue
		}
		n += int(c.mark.Ends)
		last = later(last, c.at)
	}
	return n, last
}

// chanceDue reports whether a request that is blamed for so many ends may be tried again, so
// long after the last.
func chanceDue(ends int, since time.Duration) bool {
	return ends < mostEnds+mostChances && since >= grown(firstChance, chanceGrowth, ends-mostEnds)
}

// earlier returns the earlier of two moments.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two moments.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
