package endpoint

import "testing"

// TestReadLimit parses valid and invalid limits, and no limit.
func TestReadLimit(t *testing.T) {
	for _, tc := range []struct {
		values []string
		want   RateLimit
	}{
		{nil, RateLimit{}},
		{[]string{"5.7"}, RateLimit{Named: true, PerSecond: 5.7}},
		{[]string{" 5.7 "}, RateLimit{Named: true, PerSecond: 5.7}},
		{[]string{"0"}, RateLimit{Named: true}},
		{[]string{"0.05"}, RateLimit{Named: true, PerSecond: 0.05}},
		{[]string{"7", "5.5"}, RateLimit{Named: true, PerSecond: 5.5}},
		{[]string{"5.5", "7"}, RateLimit{Named: true, PerSecond: 5.5}},
		{[]string{"7", "x"}, RateLimit{Unreadable: `"x"`}},
		{[]string{"5,7"}, RateLimit{Unreadable: `"5,7"`}},
		{[]string{"-1"}, RateLimit{Unreadable: `"-1"`}},
		{[]string{"NaN"}, RateLimit{Unreadable: `"NaN"`}},
		{[]string{"Inf"}, RateLimit{Unreadable: `"Inf"`}},
		{[]string{"1e400"}, RateLimit{Unreadable: `"1e400"`}},
		{[]string{"0x1p3"}, RateLimit{Unreadable: `"0x1p3"`}},
		{[]string{"5 7"}, RateLimit{Unreadable: `"5 7"`}},
		{[]string{""}, RateLimit{Unreadable: `""`}},
		{[]string{"."}, RateLimit{Unreadable: `"."`}},
	} {
		if got := ParseLimit(tc.values); got != tc.want {
			t.Errorf("%q: %+v, want %+v", tc.values, got, tc.want)
		}
	}
}
