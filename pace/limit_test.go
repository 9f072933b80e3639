package pace

import (
	"slices"
	"testing"
	"time"
)

// limitWindow is the interval over which requests to an endpoint are counted against its limit.
const limitWindow = 4 * time.Second

// maxWithin returns the largest number of the sorted times that lie within one interval of a
// length.
func maxWithin(used []time.Duration, within time.Duration) (maxCount int) {
	for first, last := 0, 0; last < len(used); last++ {
		for used[last]-used[first] >= within {
			first++
		}
		maxCount = max(maxCount, last-first+1)
	}
	return maxCount
}

// TestLimitTerms checks that one host with all votes grants the named limit, and that hardly more
// is used in any window however late the permits are used. It also checks what small vote shares
// grant.
func TestLimitTerms(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 5.7, 30, 200} {
		var p Bucket
		var used []time.Duration
		for at := time.Duration(0); at < time.Minute; at += time.Millisecond {
			if _, ok := p.Acquire(epoch.Add(at), LimitParams(limit, 1), 0); !ok {
				continue
			}
			late := time.Duration(0)
			if at < 30*time.Second {
				late = Lag
			}
			used = append(used, at+late)
		}
		slices.Sort(used)
		allowed := 1.1*limit*limitWindow.Seconds() + 1
		if n := maxWithin(used, limitWindow); float64(n) > allowed {
			t.Errorf("%v a second: %d in %v, want at most %.1f", limit, n, limitWindow, allowed)
		}
		if least := 0.9 * 60 * limit; float64(len(used)) < least {
			t.Errorf("%v a second: %d in a minute, want at least %.0f", limit, len(used), least)
		}
	}
	var p Bucket
	granted := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		if _, ok := p.Acquire(epoch.Add(at), LimitParams(0, 1), 0); ok {
			granted++
		}
	}
	if granted < 11 || granted > 13 {
		t.Errorf("%d permits granted in a minute at a limit of 0, want one in 5 s", granted)
	}
	for _, tc := range []struct {
		limit, part float64
		none        bool
	}{{5.7, 1, false}, {5.7, 0.25, false}, {5.7, 0.2, true}, {200, 0.01, false}, {200, 0.009, true}, {0, 1, false}, {0, 0, true}} {
		if got := LimitParams(tc.limit, tc.part) == (BucketParams{}); got != tc.none {
			t.Errorf("vote share %v of limit %v: grants nothing: %v", tc.part, tc.limit, got)
		}
	}
}

// TestLimitChanges has an endpoint change its limit at arbitrary times. Permits granted under the
// previous limit must not delay later ones for long, and must not be granted a second time.
func TestLimitChanges(t *testing.T) {
	var p Bucket
	for at := time.Duration(0); at < time.Second; at += time.Millisecond {
		p.Acquire(epoch.Add(at), LimitParams(200, 1), MaxWait)
	}
	if wait, _ := p.Acquire(epoch.Add(time.Second), LimitParams(0.5, 1), 0); wait > 3*time.Second {
		t.Errorf("the next permit is due in %v, want at most the time of one second's permits", wait)
	}
	p, granted := Bucket{}, 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		limit := 5.7
		if at/(100*time.Millisecond)%2 == 0 {
			limit = 5.6
		}
		if _, ok := p.Acquire(epoch.Add(at), LimitParams(limit, 1), 0); ok {
			granted++
		}
	}
	if granted < 52 || granted > 58 {
		t.Errorf("%d permits granted in 10 s with a limit that changes every 100 ms between 5.6 and 5.7", granted)
	}
}

// TestTighter checks the parameters for an endpoint that is cold and names a limit.
func TestTighter(t *testing.T) {
	if got, want := (BucketParams{2, 30}).Tighter(BucketParams{1, 40}), (BucketParams{1, 30}); got != want {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestPromise checks that callers refused together get successive retry times, none before there is
// a permit and none beyond maxRetryAfter.
func TestPromise(t *testing.T) {
	params := LimitParams(5, 1)
	var p Bucket
	p.Acquire(epoch, params, 0)
	last := time.Duration(0)
	for i := range 100 {
		in, granted := p.Acquire(epoch, params, 0)
		if granted {
			t.Fatal("permit granted")
		}
		retryAfter := p.RetryAfter(epoch, params)
		if retryAfter < in || retryAfter > maxRetryAfter || i > 0 && retryAfter < maxRetryAfter && retryAfter-last < 199*time.Millisecond {
			t.Fatalf("caller %d got retry time %v after %v, with a permit in %v", i, retryAfter, last, in)
		}
		last = retryAfter
	}
	if retryAfter := p.RetryAfter(epoch, BucketParams{}); retryAfter != maxRetryAfter {
		t.Errorf("retry time %v where nothing is granted", retryAfter)
	}
}
