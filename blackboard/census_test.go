package blackboard

import (
	"fmt"
	"slices"
	"testing"

	"github.com/embercove/embercove/request"
)

// TestCensusPhase checks that the places of hosts are even, among all of them and among those of
// some failure domains, as these are cut off together.
func TestCensusPhase(t *testing.T) {
	const perDomain = 20
	domains := []string{"a", "b", "c"}
	var all []Host
	for _, d := range domains {
		for i := range perDomain {
			name := fmt.Sprint(d, i)
			all = append(all, Host{Name: name, Number: request.HostNumber(name), Domain: d, Incarnation: 1, Heartbeat: 1, Peers: "127.0.0.1:1"})
		}
	}
	phases := map[string][]float64{}
	for _, self := range all {
		table := newHostTable(self, 0, 0)
		for _, h := range all {
			table.Learn(h, start)
		}
		phases[self.Domain] = append(phases[self.Domain], table.Census(start).Phase)
	}
	for _, of := range [][]string{{"a"}, {"b"}, {"c"}, {"a", "c"}, domains} {
		var got []float64
		for _, d := range of {
			got = append(got, phases[d]...)
		}
		slices.Sort(got)
		// Each arc of a quarter of the circle has a quarter of the hosts, give or take one a domain.
		for from := 0.0; from < 0.75; from += 0.01 {
			n := 0
			for _, p := range got {
				if from <= p && p < from+0.25 {
					n++
				}
			}
			if want := len(got) / 4; n < want-len(of) || n > want+len(of) {
				t.Errorf("domains %v: %d of %d places from %.2f to %.2f", of, n, len(got), from, from+0.25)
			}
		}
	}
}
