package retry

import (
	"testing"
	"time"

	"github.com/embercove/embercove/result"
)

// TestComeBack checks when callers are told to come back, after answers of a pool
// took some time.
func TestComeBack(t *testing.T) {
	cases := []struct {
		name        string
		answers     []time.Duration
		told        time.Duration
		least, most time.Duration
	}{
		{"nothing seen", nil, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"answers of four seconds", []time.Duration{4 * time.Second, 4 * time.Second}, 100 * time.Millisecond, 2 * time.Second, 6 * time.Second},
		{"answers that became shorter", append(make([]time.Duration, 0), 4*time.Second, 200*time.Millisecond), 100 * time.Millisecond, 1800 * time.Millisecond, 5500 * time.Millisecond},
		{"owners told of more", []time.Duration{time.Second}, 3 * time.Second, 3 * time.Second, 3 * time.Second},
		{"an answer of one piece tells nothing", []time.Duration{0}, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewComeBack()
			for _, took := range tc.answers {
				c.Learn("p", took)
			}
			seen := map[time.Duration]bool{}
			for range 50 {
				got := c.After("p", tc.told)
				seen[got] = true
				if got < tc.least || got > tc.most {
					t.Fatalf("come back after %v, want %v to %v", got, tc.least, tc.most)
				}
			}
			if tc.least != tc.most && len(seen) < 10 {
				t.Errorf("only %d different times of 50", len(seen))
			}
		})
	}
	if !LacksRoom(result.TooLate) || !LacksRoom(result.NoDecodeMemory) || LacksRoom(result.NoEndpoint) || LacksRoom(result.Draining) {
		t.Error("only refusals for lack of room are told the time of an answer")
	}
}
