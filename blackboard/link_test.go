package blackboard

import (
	"testing"
	"time"
)

// TestLinkDelay checks which delay the latest connections show.
func TestLinkDelay(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name  string
		took  []time.Duration
		after time.Duration // the last connection
		want  time.Duration
	}{
		{"no connections", nil, 0, 0},
		{"one is too few", []time.Duration{400 * ms}, 0, 0},
		{"all are slow", []time.Duration{400 * ms, 410 * ms, 390 * ms}, 0, 390 * ms},
		{"one is fast", []time.Duration{400 * ms, 410 * ms, 2 * ms}, 0, 0},
		{"an earlier one was fast", []time.Duration{2 * ms, 400 * ms, 400 * ms, 400 * ms, 400 * ms}, 0, 400 * ms},
		{"ordinary round trips", []time.Duration{12 * ms, 14 * ms}, 0, 0},
		{"long ago", []time.Duration{400 * ms, 400 * ms}, 1100 * ms, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, now := new(LinkDelay), time.Now()
			for _, took := range tc.took {
				l.Record(now, took)
			}
			if got := l.Estimate(now.Add(tc.after)); got != tc.want {
				t.Errorf("delay %v, want %v", got, tc.want)
			}
		})
	}
}
