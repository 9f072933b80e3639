package pace

import (
	"slices"
	"testing"
	"time"
)

// limitWindow is the time over which what an endpoint gets is counted against its limit.
const limitWindow = 4 * time.Second

// fullestIn returns the most of some moments, in order, that lie within a time.
func fullestIn(used []time.Duration, within time.Duration) (most int) {
	for first, last := 0, 0; last < len(used); last++ {
		for used[last]-used[first] >= within {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestLimitTerms checks that one host that has all votes gives out what is named and, however
// late starts are used, hardly more in any window; and what small parts give out.
func TestLimitTerms(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 5.7, 30, 200} {
		var p Pace
		var used []time.Duration
		for at := time.Duration(0); at < time.Minute; at += time.Millisecond {
			if _, ok := p.Ask(begin.Add(at), LimitTerms(limit, 1), 0); !ok {
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
		if n := fullestIn(used, limitWindow); float64(n) > allowed {
			t.Errorf("%v a second: %d in %v, want %.1f at the most", limit, n, limitWindow, allowed)
		}
		if least := 0.9 * 60 * limit; float64(len(used)) < least {
			t.Errorf("%v a second: %d in a minute, want %.0f at the least", limit, len(used), least)
		}
	}
	var p Pace
	given := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		if _, ok := p.Ask(begin.Add(at), LimitTerms(0, 1), 0); ok {
			given++
		}
	}
	if given < 11 || given > 13 {
		t.Errorf("%d given in a minute of a limit of 0, want one in 5 s", given)
	}
	for _, tc := range []struct {
		limit, part float64
		none        bool
	}{{5.7, 1, false}, {5.7, 0.25, false}, {5.7, 0.2, true}, {200, 0.01, false}, {200, 0.009, true}, {0, 1, false}, {0, 0, true}} {
		if got := LimitTerms(tc.limit, tc.part) == (Terms{}); got != tc.none {
			t.Errorf("%v of %v: none %v", tc.part, tc.limit, got)
		}
	}
}

// TestLimitChanges has an endpoint name another limit at any moment: what was given out under
// the one before delays nothing for long, and is not given out again.
func TestLimitChanges(t *testing.T) {
	var p Pace
	for at := time.Duration(0); at < time.Second; at += time.Millisecond {
		p.Ask(begin.Add(at), LimitTerms(200, 1), MostWait)
	}
	if in, _ := p.Ask(begin.Add(time.Second), LimitTerms(0.5, 1), 0); in > 3*time.Second {
		t.Errorf("the next start in %v, want that of a second's starts", in)
	}
	p, given := Pace{}, 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		limit := 5.7
		if at/(100*time.Millisecond)%2 == 0 {
			limit = 5.6
		}
		if _, ok := p.Ask(begin.Add(at), LimitTerms(limit, 1), 0); ok {
			given++
		}
	}
	if given < 52 || given > 58 {
		t.Errorf("%d given in 10 s by a limit that changes each 100 ms between 5.6 and 5.7", given)
	}
}

// TestTighter checks terms of an endpoint that is cold and names a limit.
func TestTighter(t *testing.T) {
	if got, want := (Terms{2, 30}).Tighter(Terms{1, 40}), (Terms{1, 30}); got != want {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestPromise checks that callers that are refused together are told times one after the other,
// that no time is before there is a start, and that none is further than callers wait.
func TestPromise(t *testing.T) {
	terms := LimitTerms(5, 1)
	var p Pace
	p.Ask(begin, terms, 0)
	last := time.Duration(0)
	for i := range 100 {
		in, given := p.Ask(begin, terms, 0)
		if given {
			t.Fatal("given")
		}
		back := p.Promise(begin, terms)
		if back < in || back > longestPromise || i > 0 && back < longestPromise && back-last < 199*time.Millisecond {
			t.Fatalf("caller %d is told %v after %v, with a start in %v", i, back, last, in)
		}
		last = back
	}
	if back := p.Promise(begin, Terms{}); back != longestPromise {
		t.Errorf("told %v where nothing is given out", back)
	}
}
