package pace

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// maxPerSecond returns the largest number of the sorted times that lie within one second.
func maxPerSecond(used []time.Duration) (maxCount int) {
	for first, last := 0, 0; last < len(used); last++ {
		for used[last]-used[first] > time.Second {
			first++
		}
		maxCount = max(maxCount, last-first+1)
	}
	return maxCount
}

// TestColdBound checks the bound with settings present and missing.
func TestColdBound(t *testing.T) {
	for _, tc := range []struct{ perSecond, overrun, tolerance, want float64 }{
		{21, 1.5, 5, 36.5}, {21, 0, 0, 21}, {0, 1.5, 5, 0}, {0.2, 0, 0, 1}, {-1, 1.5, 5, 0},
	} {
		if got := ColdBound(tc.perSecond, tc.overrun, tc.tolerance); got != tc.want {
			t.Errorf("%v: %v", tc, got)
		}
	}
}

// TestBears checks that a host that has had the votes for a long time grants what a cold endpoint
// can take, and that a refused caller gets the actual time of the next permit.
func TestBears(t *testing.T) {
	share := ColdBound(21, 1.5, 5)
	var p Bucket
	granted := 0
	for at := time.Duration(0); at < 10*time.Second; at += time.Second / 21 {
		if _, ok := p.Acquire(epoch.Add(at), ColdParams(share), 0); ok {
			granted++
		}
	}
	if granted < 210 {
		t.Errorf("%d of 210 were granted", granted)
	}
	now := epoch.Add(time.Minute)
	for range 10 {
		p.Acquire(now, ColdParams(share), 0)
	}
	in, _ := p.Acquire(now, ColdParams(share), 0)
	if _, ok := p.Acquire(now.Add(in-time.Millisecond), ColdParams(share), 0); ok {
		t.Error("a permit was granted before the announced time")
	}
	if _, ok := p.Acquire(now.Add(in), ColdParams(share), 0); !ok {
		t.Errorf("no permit after %s, as announced", in)
	}
}

// TestLate has permits used as late as allowed and, from some time on, at once, so that most uses
// coincide.
func TestLate(t *testing.T) {
	for _, share := range []float64{1, 2, 7.3, 29.2, 500} {
		var p Bucket
		var used []time.Duration
		for at := time.Duration(0); at < 6*time.Second; at += time.Millisecond {
			if _, ok := p.Acquire(epoch.Add(at), ColdParams(share), 0); !ok {
				continue
			}
			if at < 3*time.Second {
				used = append(used, at+Lag)
			} else {
				used = append(used, at)
			}
		}
		slices.Sort(used)
		if n := maxPerSecond(used); float64(n) > share {
			t.Errorf("%d used in one second of a share of %v", n, share)
		}
	}
}

// TestSmallShares checks that a share of less than one permit grants none, and that a refused
// request uses up nothing.
func TestSmallShares(t *testing.T) {
	var p Bucket
	for _, share := range []float64{0, 0.99} {
		if in, ok := p.Acquire(epoch, ColdParams(share), time.Hour); ok || in != Never {
			t.Errorf("a share of %v: %s, %v", share, in, ok)
		}
	}
	var q Bucket
	for range 1000 {
		q.Acquire(epoch, ColdParams(1), 0)
	}
	if in, ok := q.Acquire(epoch, ColdParams(1), time.Minute); ok || in != Never {
		t.Errorf("one permit in all: %s, %v", in, ok)
	}
	if in, ok := q.Acquire(epoch, ColdParams(1+1e-12), time.Minute); ok || in != Never {
		t.Errorf("hardly more than one permit in all: %s, %v", in, ok)
	}
}

// TestNote checks that what was sent while an endpoint was warm counts when it turns cold.
func TestNote(t *testing.T) {
	share := 29.2
	var p Bucket
	for i := range 100 {
		p.ChargeUnpermitted(epoch.Add(time.Duration(i)*10*time.Millisecond), ColdParams(share))
	}
	now := epoch.Add(time.Second)
	if in, ok := p.Acquire(now, ColdParams(share), 0); ok || in > 1200*time.Millisecond {
		t.Errorf("after 100 in a second: %s, %v", in, ok)
	}
	if _, ok := p.Acquire(now.Add(1200*time.Millisecond), ColdParams(share), 0); !ok {
		t.Error("the charge is not forgotten")
	}
}
