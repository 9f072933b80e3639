package ledger

import "testing"

// TestReserveCopy checks how many replicas an engine takes beside what it holds: they leave memory
// for requests, take no slot, and expire with their lease.
func TestReserveCopy(t *testing.T) {
	cases := []struct {
		name    string
		running int // requests of 8,000 tokens, of 90,000
		slots   int
		want    int // replicas of the same size that are granted
	}{
		{"idle", 0, 64, 7},
		{"half full", 5, 64, 2},
		{"nearly full", 8, 64, 0},
		{"no slot is free", 2, 2, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := growingLedger(t)
			for n := range tc.running {
				if _, err := l.Reserve(at(0), growingArgs(n, 8000, 300, 0), evenWeights); err != nil {
					t.Fatal(err)
				}
			}
			l.slots = tc.slots
			granted := 0
			for n := range 20 {
				if l.ReserveReplica(at(0), growingArgs(100+n, 8000, 300, 0), 18_000) == nil {
					granted++
				}
			}
			if granted < tc.want || granted > tc.want+1 {
				t.Errorf("%d replicas granted, want %d", granted, tc.want)
			}
			free, _, _ := l.Free(at(0))
			if free < 18_000 && granted > 0 {
				t.Errorf("%d tokens free beside replicas", free)
			}
			later := at(growingLeases*int(l.lease.Milliseconds()) + 10)
			if free, _, _ := l.Free(later); free != 90_000 {
				t.Errorf("%d tokens free after the lease, want all", free)
			}
		})
	}
}
