package pace

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWords has reports of an endpoint arrive in any order at two hosts that exchange them in any
// order. Both must end with the newest report of the newest process.
func TestWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Report
		for range rapid.IntRange(1, 8).Draw(t, "words") {
			reports = append(reports, Report{Named: rapid.Bool().Draw(t, "named"), PerSecond: float64(rapid.IntRange(0, 3).Draw(t, "limit")),
				At: epoch.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "at")) * time.Millisecond), Started: int64(rapid.IntRange(1, 2).Draw(t, "born"))})
		}
		newest := reports[0]
		for _, w := range reports[1:] {
			if w.Started > newest.Started || w.Started == newest.Started && w.At.After(newest.At) {
				newest = w
			}
		}
		var hosts [2]LimitState
		now := epoch.Add(time.Minute)
		for i := range hosts {
			for _, w := range rapid.Permutation(reports).Draw(t, "order") {
				hosts[i].Observe(now, w)
				other := hosts[i].Report().Wire(now).Report(now)
				if rapid.Bool().Draw(t, "told") {
					hosts[1-i].Observe(now, other)
				}
			}
		}
		for i := range hosts {
			// Of two reports with the same time the first one to arrive holds.
			if w := hosts[i].Report(); w.Started != newest.Started || !w.At.Equal(newest.At) {
				t.Fatalf("host %d has %+v, want %+v", i, w, newest)
			}
		}
	})
}

// TestBelief follows an endpoint that names a limit, then another, then none, and one that
// restarts.
func TestBelief(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	var b LimitState
	for _, tc := range []struct {
		name    string
		now     int
		report  Report
		want    Change
		limit   float64
		bounded bool
	}{
		{"nothing named", 0, Report{At: at(-50), Started: 1}, ChangeNone, 0, false},
		{"named", 100, Report{Named: true, PerSecond: 5, At: at(100), Started: 1}, ChangeBegan, 5, true},
		{"an answer in flight", 120, Report{At: at(90), Started: 1}, ChangeNone, 5, true},
		{"an older limit", 130, Report{Named: true, PerSecond: 9, At: at(95), Started: 1}, ChangeNone, 5, true},
		{"the same", 200, Report{Named: true, PerSecond: 5, At: at(200), Started: 1}, ChangeNone, 5, true},
		{"another one", 300, Report{Named: true, PerSecond: 2, At: at(300), Started: 1}, ChangeValue, 2, true},
		{"none, sent before", 340, Report{At: at(290), Started: 1}, ChangeNone, 2, true},
		{"none, sent since", 400, Report{At: at(310), Started: 1}, ChangeEnded, minRampRate, true},
		{"a limit named earlier", 410, Report{Named: true, PerSecond: 3, At: at(305), Started: 1}, ChangeNone, math.NaN(), true},
		{"none again", 1300, Report{At: at(1250), Started: 1}, ChangeNone, 0, false},
		{"named again", 1400, Report{Named: true, PerSecond: 1, At: at(1400), Started: 1}, ChangeBegan, 1, true},
		{"a process without a start time", 1500, Report{At: at(1450)}, ChangeEnded, minRampRate, true},
		{"named by the same", 1550, Report{Named: true, PerSecond: 1, At: at(1550)}, ChangeBegan, 1, true},
		{"a process with a start time", 1560, Report{Named: true, PerSecond: 1, At: at(1560), Started: 1}, ChangeNone, 1, true},
		{"a later process", 1600, Report{At: at(1550), Started: 2}, ChangeNone, 0, false},
		{"the process before", 1700, Report{Named: true, PerSecond: 1, At: at(1700), Started: 1}, ChangeNone, 0, false},
	} {
		if got := b.Observe(at(tc.now), tc.report); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
		limit, bounded := b.Limit(at(tc.now))
		if bounded != tc.bounded || !math.IsNaN(tc.limit) && math.Abs(limit-tc.limit) > 0.01 {
			t.Errorf("%s: %v, %v, want %v, %v", tc.name, limit, bounded, tc.limit, tc.bounded)
		}
	}
	b = LimitState{}
	b.Observe(at(0), Report{Named: true, PerSecond: 5, At: at(0)})
	if f := b.PenaltyLeft(at(500)); f != penaltyFor-500*time.Millisecond {
		t.Errorf("penalty left: %v", f)
	}
	if f := b.PenaltyLeft(at(60_000)); f != 0 {
		t.Errorf("penalty left a minute later: %v", f)
	}
	if b.DropIfRestarted(7); b.Report().Named != true {
		t.Error("report dropped when the process start became known")
	}
}

// TestRamp checks that the rate after the end of a limit rises without a jump and is unbounded
// within a second.
func TestRamp(t *testing.T) {
	var b LimitState
	b.Observe(epoch, Report{Named: true, PerSecond: 5.7, At: epoch})
	b.Observe(epoch.Add(time.Second), Report{At: epoch.Add(900 * time.Millisecond)})
	before, p, used := 5.7, Bucket{}, 0
	for at := time.Second; at < time.Second+rampDuration; at += time.Millisecond {
		now := epoch.Add(at)
		limit, bounded := b.Limit(now)
		if !bounded || limit < before || limit > 1.02*before {
			t.Fatalf("%v, %v %v after the end, %v just before", limit, bounded, at-time.Second, before)
		}
		before = limit
		if _, ok := p.Acquire(now, LimitParams(limit, 1), 0); ok {
			used++
		}
	}
	if used < 20 || used > 120 {
		t.Errorf("%d used as it rose", used)
	}
	if _, bounded := b.Limit(epoch.Add(2 * time.Second)); bounded {
		t.Error("bounded a second after the end")
	}
}
