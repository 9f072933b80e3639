package peer

import (
	"fmt"
	"slices"
	"testing"
)

// TestFetcher has hosts tell of something newer during a fetch, and checks that fetches
// don't run beside each other and who is asked next: who told of the most, then the
// others, the last one first, and of many the last few.
func TestFetcher(t *testing.T) {
	told := func(name string, revision, roster uint64) ahead {
		return ahead{from: Name{Name: name, Peers: name}, revision: revision, roster: roster}
	}
	cases := []struct {
		name  string
		tells []ahead
		want  []string
	}{
		{"nobody", nil, nil},
		{"of more and less", []ahead{told("b", 2, 3), told("c", 3, 4), told("d", 2, 3)}, []string{"c", "d", "b"}},
		{"of the same", []ahead{told("a", 7, 7), told("b", 7, 7), told("c", 7, 7)}, []string{"c", "b", "a"}},
		{"the same host again", []ahead{told("a", 7, 7), told("b", 7, 7), told("a", 8, 8)}, []string{"a", "b"}},
		{"more than are remembered", []ahead{told("a", 1, 1), told("b", 1, 1), told("c", 1, 1), told("d", 1, 1), told("e", 1, 1)},
			[]string{"e", "d", "c", "b"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var f fetcher
			if !f.begin(told("first", 2, 2)) {
				t.Fatal("the first does not fetch")
			}
			for _, a := range tc.tells {
				if f.begin(a) {
					t.Errorf("%s fetches beside another", a.from.Name)
				}
			}
			var got []string
			for a, more := f.end(); more; a, more = f.end() {
				got = append(got, a.from.Name)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("asked next %s, want %s", fmt.Sprint(got), fmt.Sprint(tc.want))
			}
			if !f.begin(told("again", 9, 9)) {
				t.Error("after the last, nobody may fetch")
			}
		})
	}
}
