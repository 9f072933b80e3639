// Package wait holds the one way in which the program waits for a time to pass.
package wait

import (
	"context"
	"time"
)

// For waits for d, and reports whether it passed before the context ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
