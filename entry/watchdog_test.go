package entry

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestWatchdogStops checks that no engine is asked for a call that is over, also where
// the call ends while its engine is being asked.
func TestWatchdogStops(t *testing.T) {
	cases := []struct {
		name  string
		ends  time.Duration // when the call ends; the engine is asked after 100 ms, for 50 ms
		asked int32
	}{
		{"before the engine is asked", 90 * time.Millisecond, 0},
		{"while it is asked", 120 * time.Millisecond, 1},
		{"after it answered", 200 * time.Millisecond, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked atomic.Int32
				w := newWatchdog(100*time.Millisecond, forever, func() { t.Error("cancelled") }, func() bool {
					asked.Add(1)
					time.Sleep(50 * time.Millisecond)
					return true
				})
				w.asks.Store(true)
				time.Sleep(tc.ends)
				w.stop()
				time.Sleep(time.Minute)
				if n := asked.Load(); n != tc.asked {
					t.Errorf("asked %d times, want %d", n, tc.asked)
				}
			})
		})
	}
}
