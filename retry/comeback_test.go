package retry

import (
	"testing"
	"time"

	"github.com/embercove/embercove/result"
)

// TestComeBack checks the delay before a retry, by how long answers of a pool took and what owners
// reported. A fixed or too short delay makes refused callers return together to full engines.
func TestComeBack(t *testing.T) {
	cases := []struct {
		name               string
		answers            []time.Duration
		reported           time.Duration
		minDelay, maxDelay time.Duration
	}{
		{"nothing seen", nil, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"answers of four seconds", []time.Duration{4 * time.Second, 4 * time.Second}, 100 * time.Millisecond, 2 * time.Second, 6 * time.Second},
		{"answers that became shorter", append(make([]time.Duration, 0), 4*time.Second, 200*time.Millisecond), 100 * time.Millisecond, 1800 * time.Millisecond, 5500 * time.Millisecond},
		{"owners reported more", []time.Duration{time.Second}, 3 * time.Second, 3 * time.Second, 3 * time.Second},
		{"an answer of one chunk is ignored", []time.Duration{0}, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewDelay()
			for _, took := range tc.answers {
				c.Learn("p", took)
			}
			seen := map[time.Duration]bool{}
			for range 50 {
				got := c.After("p", tc.reported)
				seen[got] = true
				if got < tc.minDelay || got > tc.maxDelay {
					t.Fatalf("retry after %v, want %v to %v", got, tc.minDelay, tc.maxDelay)
				}
			}
			if tc.minDelay != tc.maxDelay && len(seen) < 10 {
				t.Errorf("only %d different times of 50", len(seen))
			}
		})
	}
	if !LacksCapacity(result.TooLate) || !LacksCapacity(result.NoDecodeMemory) || LacksCapacity(result.NoEndpoint) || LacksCapacity(result.Draining) {
		t.Error("only refusals for lack of capacity get the typical time of an answer")
	}
}
