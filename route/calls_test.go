package route

import (
	"testing"
	"time"
)

// TestCallsThatFailTogether records calls that were in progress when an endpoint fell silent. They count
// once, and a later one counts again.
func TestCallsThatFailTogether(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	x := new(CallStats)
	for range 5 {
		x.Record(start, OutcomeUnreachable, 0)
	}
	if got, want := x.UnreachableUntil, start.Add(firstUnreachable); got != want {
		t.Errorf("unreachable until %v, want %v", got, want)
	}
	later := start.Add(firstUnreachable)
	x.Record(later, OutcomeUnreachable, 0)
	if got, want := x.UnreachableUntil, later.Add(2*firstUnreachable); got != want {
		t.Errorf("unreachable until %v, want %v", got, want)
	}
}

// TestLateAnswers records calls that take 60 ms, some that end late, and checks the mean time.
func TestLateAnswers(t *testing.T) {
	const usual, late = 60 * time.Millisecond, 1200 * time.Millisecond
	start := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name string
		ends []time.Duration // of late calls, all of which took 1.2 s
		want time.Duration   // at most
		min  time.Duration
	}{
		{"none", nil, usual, usual},
		{"one", []time.Duration{0}, 80 * time.Millisecond, 70 * time.Millisecond},
		{"many that a pause delayed", []time.Duration{0, 0, 0, 10 * time.Millisecond, 20 * time.Millisecond}, 80 * time.Millisecond, 70 * time.Millisecond},
		{"one after the other", []time.Duration{0, 1300 * time.Millisecond, 2600 * time.Millisecond}, 400 * time.Millisecond, 250 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			x := new(CallStats)
			for range 10 {
				x.Record(start, OutcomeCompleted, usual)
			}
			for _, end := range tc.ends {
				x.Record(start.Add(2*late+end), OutcomeCompleted, late)
			}
			got := time.Duration(x.MeanSeconds * float64(time.Second))
			if got > tc.want+time.Microsecond || got < tc.min-time.Microsecond {
				t.Errorf("mean %v, want %v to %v", got, tc.min, tc.want)
			}
		})
	}
}
