package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/clock"
)

// TestSuspended suspends the machine during a wait. The wait must end soon after the machine
// resumes if its deadline has passed by then, and at its deadline otherwise. The monotonic clock
// stops during a suspension, so a wait that relies on it alone is late by the whole suspension.
func TestSuspended(t *testing.T) {
	const maxDelay = 250 * time.Millisecond // by which a wait may end after its deadline
	for _, tc := range []struct {
		name                   string
		waits, suspended, want time.Duration
	}{
		{"no suspension", 2 * time.Second, 0, 2 * time.Second},
		{"a short wait", 30 * time.Millisecond, 0, 30 * time.Millisecond},
		{"over while it is suspended", 2 * time.Second, 10 * time.Second, time.Second},
		{"not over yet", 2 * time.Second, 500 * time.Millisecond, 1500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.AfterFunc(time.Second, func() { clock.SimulateSuspension(tc.suspended) })
				start := time.Now()
				if !For(t.Context(), tc.waits) {
					t.Error("the context ended")
				}
				if took := time.Since(start); took < tc.want || took > tc.want+maxDelay {
					t.Errorf("ended after %v, want %v", took, tc.want)
				}
			})
		})
	}
}

// TestContext checks that a wait ends with its context, and that a wait of zero or less returns at once.
func TestContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		if For(ctx, time.Minute) || time.Since(start) != time.Second {
			t.Errorf("ended after %v", time.Since(start))
		}
		if For(ctx, 0) || !For(t.Context(), -time.Second) {
			t.Error("a wait of zero or less: wrong result")
		}
	})
}
