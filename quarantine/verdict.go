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
	// maxRetries is how often a request is tried again after its third crash, in case it was there by chance three
	// times, and as endpoints are replaced and models fixed. The first retry of a blamed request is after firstRetry,
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
	// With other causes a request isn't blamed but backs off until nothing else has crashed for otherWindow,
	// for firstBackoff at least and firstRetry at most: what crashes then is its own doing.
	otherCauses  = 4
	otherWindow  = 10 * time.Second
	firstBackoff = 3 * time.Second
)

// Evaluate returns what a request may do now, and how long it still has to back off.
func (r *Registry) Evaluate(f request.Fingerprint, now time.Time) (v Verdict, backoff time.Duration) {
	return r.EvaluateFor(f, 0, now)
}

// EvaluateFor is like Evaluate for the holder of a probe, which may go on with a retry that was granted to it.
func (r *Registry) EvaluateFor(f request.Fingerprint, holder uint64, now time.Time) (v Verdict, backoff time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evaluate(f, holder, now)
}

// evaluate is like EvaluateFor. The caller holds the lock.
func (r *Registry) evaluate(f request.Fingerprint, holder uint64, now time.Time) (v Verdict, backoff time.Duration) {
	if len(r.records) == 0 {
		return Free, 0
	}
	s := r.summarize(f)
	switch {
	case s.processes == 0 && !s.beside:
		return Free, 0
	case !s.isLimited():
		return Suspect, 0
	case s.isRetrying(now) && r.isRetry(f, holder):
		return Suspect, 0
	case s.isRetrying(now):
		return BackingOff, min(exclusiveFor, s.lastRetry.Add(maxProbeTime).Sub(now))
	}
	others := r.otherCrashes(f, s.last)
	due, more := s.nextRetry(others, r.events.latest())
	backoff = due.Sub(now)
	switch confirming := s.last.Add(confirmAfter).Sub(now); {
	case more && backoff <= 0:
		return Suspect, 0
	case more && (others >= otherCauses || s.moments < blameAt && s.failedRetries(others) == 0):
		return BackingOff, backoff
	case confirming > 0:
		return BackingOff, confirming
	}
	return Blamed, 0
}

// isRetry reports whether a probe's holder was granted a retry of a request. The caller holds the lock.
func (r *Registry) isRetry(f request.Fingerprint, holder uint64) bool {
	for s := range stages {
		if c := r.records[recordKey{f, s}]; c != nil {
			if retry, ok := c.history.retries[holder]; ok && retry.end != RetryUnsent {
				return true
			}
		}
	}
	return false
}

// clearableFor is how long after a crash under a request its answers that were in progress at other
// endpoints may still clear it.
const clearableFor = 3 * time.Second

// MayBeCleared reports whether answers in progress may still clear a suspected request.
func (r *Registry) MayBeCleared(f request.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summarize(f)
	return now.Sub(s.last) < clearableFor || s.isRetrying(now)
}

// scaled returns d multiplied by a factor the given number of times.
func scaled(d time.Duration, by, times int) time.Duration {
	for range times {
		d *= time.Duration(by)
	}
	return d
}

// otherCrashes returns how many other crashes there were around the time of a request's last one. The caller holds the lock.
func (r *Registry) otherCrashes(f request.Fingerprint, last time.Time) (n int) {
	for _, e := range r.events.byProcess {
		if last.Sub(e.at).Abs() < otherWindow && !e.involves(f) {
			n++
		}
	}
	return n
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
