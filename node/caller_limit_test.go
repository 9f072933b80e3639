package node

import (
	"testing"

	"github.com/embercove/embercove/config"
)

// TestCallerLimitLeavesRoomForTables guards against a limit that callers and large tables exceed the process's memory with.
func TestCallerLimitLeavesRoomForTables(t *testing.T) {
	cases := []struct {
		memory, callers, tables, want float64 // in MB
	}{
		{100, 25, 0, 25},
		{100, 25, -5, 25},
		{100, 25, 34, 25},
		{100, 25, 49.5, 10},
		{100, 25, 90, 6.25},
		{512, 128, 200, 104.64},
		{100, 50, 20, 39.5},
	}
	for _, tc := range cases {
		s := &config.Settings{MemoryMegabytes: tc.memory, CallerMegabytes: tc.callers}
		got := float64(callerLimit(s, tc.tables*megabyte)) / megabyte
		if got < tc.want-0.01 || got > tc.want+0.01 {
			t.Errorf("%.0f MB, %.0f for callers, tables of %.1f: limit %.2f MB, want %.2f", tc.memory, tc.callers, tc.tables, got, tc.want)
		}
	}
}
