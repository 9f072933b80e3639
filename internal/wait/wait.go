// Package wait holds the one function with which the program waits for an interval to pass.
package wait

import (
	"context"
	"time"

	"github.com/embercove/embercove/clock"
)

// maxSlice is the longest wait between two checks of the clock. Timers don't count the time for
// which the machine is suspended: without the checks a wait would go on for all of its remaining
// time after the machine resumes.
const maxSlice = 250 * time.Millisecond

// For waits for d and reports whether it passed before the context was done.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	deadline := clock.Now().Add(d)
	t := time.NewTimer(min(d, maxSlice))
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
		remaining := deadline.Sub(clock.Now())
		if remaining <= 0 {
			return true
		}
		t.Reset(min(remaining, maxSlice))
	}
}
