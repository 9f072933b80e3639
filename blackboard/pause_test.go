package blackboard

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRanSince holds a process up for less time than a pause takes, and states since when
// it is known to have run.
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
		check("just begun", time.Second, true)
		tick(10)
		check("steady", time.Second, true)
		time.Sleep(700 * time.Millisecond)
		check("held up, before the next tick", 100*time.Millisecond, false)
		p.tick()
		check("after the tick", 100*time.Millisecond, false)
		tick(5)
		check("a second later", 900*time.Millisecond, true)
		check("from before on", 1100*time.Millisecond, false)
		if p.Count() != 0 {
			t.Error("that counts as a pause")
		}
	})
}
