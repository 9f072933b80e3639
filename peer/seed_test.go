package peer

import "testing"

// TestSeeks checks in which rounds a host contacts a seed, by the number of live hosts it knows.
func TestSeeks(t *testing.T) {
	cases := []struct {
		name        string
		round, live int
		drawn       float64
		want        bool
	}{
		{"alone, any round", 3, 1, 0.99, true},
		{"no host known", 3, 0, 0.99, true},
		{"few, not a seed round", 7, 8, 0, false},
		{"few, a seed round", 8, 8, 0.99, true},
		{"twice as many, in half of the seed rounds: not this one", 8, 16, 0.5, false},
		{"twice as many, in half of the seed rounds", 8, 16, 0.49, true},
		{"hundreds, in one of forty", 16, 320, 0.024, true},
		{"hundreds, not in one of forty", 16, 320, 0.026, false},
	}
	for _, tc := range cases {
		if got := contactsSeed(tc.round, tc.live, tc.drawn); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
