package blackboard

import (
	"testing"
	"time"

	"github.com/embercove/embercove/region"
)

// TestSummaryToldAgain checks that a summary forwarded by other hosts doesn't count as a new one.
// Ages are sent in steps of 10 ms and exclude the time on the way, so the summary seems a little
// fresher after each hop. If it counted as new, the requests sent since would be forgotten and
// the region's capacity used twice.
func TestSummaryToldAgain(t *testing.T) {
	const sent = 3
	now := time.Now()
	table := newRegionTable()
	table.Learn(region.Summary{Region: 1, Pool: 2, Capacity: 5, AgeMillis: 1000}, now)
	for range sent {
		table.CountRedirect(1, 2)
	}
	for hop := range 100 {
		table.Learn(region.Summary{Region: 1, Pool: 2, Capacity: 5, AgeMillis: 1000}, now.Add(time.Duration(hop%2+1)*20*time.Millisecond))
	}
	if got := table.Find(1, 2, now); got.Sent != sent || got.Age != time.Second {
		t.Errorf("forwarded again: %d sent since a summary of age %v, want %d and 1s", got.Sent, got.Age, sent)
	}
	table.Learn(region.Summary{Region: 1, Pool: 2, Capacity: 4, AgeMillis: 1000}, now.Add(time.Second))
	if got := table.Find(1, 2, now); got.Sent != 0 || got.Capacity != 4 {
		t.Errorf("a new summary: %+v", got)
	}
}
