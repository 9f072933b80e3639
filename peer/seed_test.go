package peer

import "testing"

// TestSeeks states in which rounds a host of a part of some size meets a seed.
func TestSeeks(t *testing.T) {
	cases := []struct {
		name        string
		round, live int
		drawn       float64
		want        bool
	}{
		{"alone, any round", 3, 1, 0.99, true},
		{"nobody known", 3, 0, 0.99, true},
		{"few, not its round", 7, 8, 0, false},
		{"few, its round", 8, 8, 0.99, true},
		{"twice as many, every other time: not this one", 8, 16, 0.5, false},
		{"twice as many, every other time", 8, 16, 0.49, true},
		{"hundreds, one in forty", 16, 320, 0.024, true},
		{"hundreds, not one in forty", 16, 320, 0.026, false},
	}
	for _, tc := range cases {
		if got := seeks(tc.round, tc.live, tc.drawn); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
