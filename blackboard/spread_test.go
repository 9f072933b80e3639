package blackboard

import (
	"fmt"
	"testing"
	"time"
)

// TestSpread draws hosts from failure domains of which one has many.
func TestSpread(t *testing.T) {
	now := time.Now()
	table := newHostTable(Host{Name: "self", Number: 1, Domain: "a", Region: "r"}, time.Second, time.Second)
	number := uint32(1)
	learn := func(domain, region string, n int) {
		for range n {
			number++
			table.Learn(Host{Name: fmt.Sprint("h", number), Number: number, Domain: domain, Region: region, Peers: "10.0.0.1:1", Incarnation: 1}, now)
		}
	}
	learn("a", "r", 40)
	learn("b", "r", 3)
	learn("c", "r", 1)
	learn("x", "s", 5)
	watched, _, _ := table.Get(2, now)
	for _, tc := range []struct {
		n    int
		want map[string]int // hosts by domain
	}{
		{0, map[string]int{}},
		{2, map[string]int{"b": 1, "c": 1}},
		{3, map[string]int{"a": 1, "b": 1, "c": 1}},
		{6, map[string]int{"a": 2, "b": 3, "c": 1}},
		{50, map[string]int{"a": 39, "b": 3, "c": 1}},
	} {
		got, seen := map[string]int{}, map[uint32]bool{1: true, 2: true}
		for _, h := range table.Spread(tc.n, &watched, now) {
			if seen[h.Number] {
				t.Errorf("%d hosts: %s is drawn twice, or not to be drawn", tc.n, h.Name)
			}
			seen[h.Number] = true
			got[h.Domain]++
		}
		if fmt.Sprint(got) != fmt.Sprint(tc.want) {
			t.Errorf("%d hosts: %v, want %v", tc.n, got, tc.want)
		}
	}
}
