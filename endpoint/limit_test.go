package endpoint

import "testing"

// TestReadLimit reads limits that endpoints name, and values that name none.
func TestReadLimit(t *testing.T) {
	for _, tc := range []struct {
		values []string
		want   Said
	}{
		{nil, Said{}},
		{[]string{"5.7"}, Said{Named: true, PerSecond: 5.7}},
		{[]string{" 5.7 "}, Said{Named: true, PerSecond: 5.7}},
		{[]string{"0"}, Said{Named: true}},
		{[]string{"0.05"}, Said{Named: true, PerSecond: 0.05}},
		{[]string{"7", "5.5"}, Said{Named: true, PerSecond: 5.5}},
		{[]string{"5.5", "7"}, Said{Named: true, PerSecond: 5.5}},
		{[]string{"7", "x"}, Said{Unreadable: `"x"`}},
		{[]string{"5,7"}, Said{Unreadable: `"5,7"`}},
		{[]string{"-1"}, Said{Unreadable: `"-1"`}},
		{[]string{"NaN"}, Said{Unreadable: `"NaN"`}},
		{[]string{"Inf"}, Said{Unreadable: `"Inf"`}},
		{[]string{"1e400"}, Said{Unreadable: `"1e400"`}},
		{[]string{"0x1p3"}, Said{Unreadable: `"0x1p3"`}},
		{[]string{"5 7"}, Said{Unreadable: `"5 7"`}},
		{[]string{""}, Said{Unreadable: `""`}},
		{[]string{"."}, Said{Unreadable: `"."`}},
	} {
		if got := ReadLimit(tc.values); got != tc.want {
			t.Errorf("%q: %+v, want %+v", tc.values, got, tc.want)
		}
	}
}
