package quarantine

import (
	"time"

	"github.com/embercove/embercove/request"
)

// Verdict says what a request may do.
type Verdict uint8

// Kinds of verdicts.
const (
	Free       Verdict = iota // nothing speaks against it
	Suspect                   // it runs only as a probe
	BackingOff                // it backs off, and is Suspect again after that
	Blamed                    // the crashes are attributed to it; it is refused
)

// String returns the verdict as operators see it.
func (v Verdict) String() string { return [...]string{"free", "suspect", "resting", "blamed"}[v] }

// Thresholds and times of verdicts.
const (
	// blameAt is the number of crashes at which a request is blamed. One may be chance and two bad
	// luck; each costs an endpoint and whatever else ran there.
	blameAt = 3
	// aloneAt is the number of crashes from which on a request runs beside no other suspect: the
	// next crash gets it blamed.
	aloneAt = blameAt - 1
	// maxRetries is how often a blamed request is tried again, in case it was there by chance three
	// times, and as endpoints are replaced and models fixed. The first retry is after firstRetry,
	// and each further one after retryGrowth times as long: 1, 5 and 25 minutes.
	maxRetries  = 3
	firstRetry  = time.Minute
	retryGrowth = 5
	// confirmAfter is how long a request backs off after its third crash before it is blamed: by
	// then crashes that continue without it show that there are other causes.
	confirmAfter = 10 * time.Second
	// otherCauses is how many crashes, within otherWindow of a request's last one and without the
	// request, indicate other causes. Beside many requests that each crash endpoints, some harmless
	// requests that are sent again and again are there three times by chance. Two requests that
	// crash endpoints at the same time see three such crashes of each other, so the threshold is
	// higher than that.
	// With other causes a request isn't blamed but backs off, first for firstBackoff and then each
	// time backoffGrowth times as long. So one that does crash endpoints is sent three times in the
	// next 100 s, or until nothing else has crashed for otherWindow: what crashes then is its own
	// doing.
	otherCauses   = 4
	otherWindow   = 10 * time.Second
	firstBackoff  = 3 * time.Second
	backoffGrowth = 3
)

// Evaluate returns what a request may do now, and how long it still has to back off.
func (r *Registry) Evaluate(f request.Fingerprint, now time.Time) (v Verdict, backoff time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evaluate(f, now)
}

// evaluate is like Evaluate. The caller holds the lock.
func (r *Registry) evaluate(f request.Fingerprint, now time.Time) (v Verdict, backoff time.Duration) {
	if len(r.records) == 0 {
		return Free, 0
	}
	crashCount, last := r.crashes(f)
	switch {
	case crashCount == 0 && !r.wasBystander(f):
		return Free, 0
	case crashCount < blameAt, retryDue(crashCount, now.Sub(last)):
		return Suspect, 0
	}
	otherCount, latestOther := r.otherCrashes(f, last)
	until := last.Add(confirmAfter)
	if otherCount >= otherCauses {
		until = earlier(last.Add(scaled(firstBackoff, backoffGrowth, crashCount-blameAt)), latestOther.Add(otherWindow))
		until = later(until, last.Add(firstBackoff))
	}
	switch backoff = until.Sub(now); {
	case backoff > 0:
		return BackingOff, backoff
	case otherCount >= otherCauses:
		return Suspect, 0
	}
	return Blamed, 0
}

// clearableFor is how long after a crash under a request its answers that were in progress at other
// endpoints may still clear it.
const clearableFor = 3 * time.Second

// MayBeCleared reports whether answers in progress may still clear a suspected request.
func (r *Registry) MayBeCleared(f request.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range stages {
		if c := r.records[recordKey{f, s}]; c != nil && !c.mark.isClear() && now.Sub(c.at) < clearableFor {
			return true
		}
	}
	return false
}

// scaled returns d multiplied by a factor the given number of times.
func scaled(d time.Duration, by, times int) time.Duration {
	for range times {
		d *= time.Duration(by)
	}
	return d
}

// otherCrashes returns how many other crashes there were around the time of a request's last one,
// and when the latest was. The caller holds the lock.
func (r *Registry) otherCrashes(f request.Fingerprint, last time.Time) (n int, latest time.Time) {
	for _, e := range r.events.byProcess {
		if last.Sub(e.at).Abs() < otherWindow && !e.involves(f) {
			n++
			latest = later(latest, e.at)
		}
	}
	return n, latest
}

// involves reports whether a request was there when the process crashed.
func (e *event) involves(f request.Fingerprint) bool {
	for k := range e.suspects {
		if k.request == f {
			return true
		}
	}
	return false
}

// wasBystander reports whether a request was there when an endpoint crashed, although another one
// explains that. The caller holds the lock.
func (r *Registry) wasBystander(f request.Fingerprint) bool {
	for s := range stages {
		if c := r.records[recordKey{f, s}]; c != nil && c.mark.Beside {
			return true
		}
	}
	return false
}

// crashes returns how many crashes speak against a request, and when the last was. The caller holds
// the lock.
func (r *Registry) crashes(f request.Fingerprint) (n int, last time.Time) {
	for s := range stages {
		c := r.records[recordKey{f, s}]
		if c == nil || c.mark.Ends == 0 {
			continue
		}
		n += int(c.mark.Ends)
		last = later(last, c.at)
	}
	return n, last
}

// retryDue reports whether a request that is blamed for so many crashes may be tried again, given
// the time since the last one.
func retryDue(crashes int, since time.Duration) bool {
	return crashes < blameAt+maxRetries && since >= scaled(firstRetry, retryGrowth, crashes-blameAt)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
