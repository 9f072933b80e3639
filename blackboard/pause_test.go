package blackboard

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRanSince holds a process up for less time than a pause, and checks since when it counts as
// having run.
func TestRanSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1600 * time.Millisecond // a tick each 200 ms
		p := NewPause(limit)
		tick := func(n int) {
			for range n {
				time.Sleep(limit / ticksInLimit)
				p.tick()
			}
		}
		check := func(what string, ago time.Duration, want bool) {
			t.Helper()
			if got := p.RanSince(time.Now().Add(-ago)); got != want {
				t.Errorf("%s: ran for %s: %v, want %v", what, ago, got, want)
			}
		}
		check("just started", time.Second, true)
		tick(10)
		check("steady", time.Second, true)
		time.Sleep(700 * time.Millisecond)
		check("held up, before the next tick", 100*time.Millisecond, false)
		p.tick()
		check("after the tick", 100*time.Millisecond, false)
		tick(5)
		check("a second later", 900*time.Millisecond, true)
		check("since before the gap", 1100*time.Millisecond, false)
		if p.Count() != 0 {
			t.Error("the gap counts as a pause")
		}
	})
}

// TestSuspended simulates a suspended machine, during which the monotonic clock stands still. By
// that clock the process ran all the time. A long suspension must count as a pause, and one that
// is shorter than a pause must count as being held up.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1600 * time.Millisecond
		var suspended time.Duration
		p := newPause(limit, func() time.Time { return time.Now().Add(suspended) })
		woke := 0
		p.OnWake(func(time.Time) { woke++ })
		tick := func(n int) {
			for range n {
				time.Sleep(limit / ticksInLimit)
				p.tick()
			}
		}
		tick(10)
		suspended += 700 * time.Millisecond
		if p.RanSince(time.Now().Add(-100 * time.Millisecond)) {
			t.Error("counts as running all the time, with the machine suspended for 0.7 s")
		}
		if tick(1); woke > 0 {
			t.Error("0.7 s count as a pause")
		}
		tick(10)
		if !p.RanSince(time.Now().Add(-time.Second)) {
			t.Error("has not run for a second, two seconds later")
		}
		suspended += 10 * time.Second
		if !p.Check() || woke != 1 || p.Count() != 1 {
			t.Errorf("%d pauses detected, OnWake ran %d times, with the machine suspended for 10 s", p.Count(), woke)
		}
		if p.Check() {
			t.Error("detected twice")
		}
	})
}
