// Package wait holds the one way in which the program waits for a time to pass.
package wait

import (
	"context"
	"time"

	"github.com/embercove/embercove/clock"
)

// slice is the longest that is waited without a look at the clock: timers don't count the time
// for which the machine is suspended, and ran on for their full rest after it.
const slice = 250 * time.Millisecond

// For waits for d, and reports whether it passed before the context ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	end := clock.Now().Add(d)
	t := time.NewTimer(min(d, slice))
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
		rest := end.Sub(clock.Now())
		if rest <= 0 {
			return true
		}
		t.Reset(min(rest, slice))
	}
}
