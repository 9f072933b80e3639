package blackboard

import (
	"testing"
	"time"
)

// TestHostCutOff checks when a host that gets no answers counts as cut off: a single answer shows
// that it isn't.
func TestHostCutOff(t *testing.T) {
	start := time.Now()
	cases := []struct {
		name     string
		waits    bool // for an answer, since start
		answered bool
		at       time.Duration
		want     bool
	}{
		{"it waits for nothing", false, false, time.Hour, false},
		{"no answer yet", true, false, 900 * time.Millisecond, false},
		{"no answer for long", true, false, 1100 * time.Millisecond, true},
		{"a late answer", true, true, 1100 * time.Millisecond, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := new(Answers)
			if tc.waits {
				a.wait(start)
			}
			if tc.answered {
				a.Record(start)
			}
			if got := a.CutOff(start.Add(tc.at)); got != tc.want {
				t.Errorf("cut off: %t, want %t", got, tc.want)
			}
		})
	}
}
