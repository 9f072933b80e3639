package blackboard

import (
	"testing"
	"time"

	"github.com/embercove/embercove/region"
)

// TestSummaryToldAgain checks that a summary which comes back by other hosts is not taken
// for a new one: times are told in steps of 10 ms, and the way isn't counted, so it seems a
// little fresher each time. What was sent on it stays counted, until a new one comes.
func TestSummaryToldAgain(t *testing.T) {
	const sent = 3
	now := time.Now()
	table := newRegionTable()
	table.Learn(region.Summary{Region: 1, Pool: 2, Places: 5, AgeMillis: 1000}, now)
	for range sent {
		table.Leave(1, 2)
	}
	for hop := range 100 {
		table.Learn(region.Summary{Region: 1, Pool: 2, Places: 5, AgeMillis: 1000}, now.Add(time.Duration(hop%2+1)*20*time.Millisecond))
	}
	if got := table.Find(1, 2, now); got.Sent != sent || got.Age != time.Second {
		t.Errorf("told again: %d sent on a summary of %v, want %d and 1s", got.Sent, got.Age, sent)
	}
	table.Learn(region.Summary{Region: 1, Pool: 2, Places: 4, AgeMillis: 1000}, now.Add(time.Second))
	if got := table.Find(1, 2, now); got.Sent != 0 || got.Places != 4 {
		t.Errorf("a new summary: %+v", got)
	}
}
