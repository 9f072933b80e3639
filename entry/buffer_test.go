package entry

import "testing"

// TestEventBoundary guards against streams that end within an event, or before the first, and count as whole.
func TestEventBoundary(t *testing.T) {
	cases := []struct {
		stream string
		broken bool
	}{
		{"", true},
		{"\n", true},
		{"id: 1", true},
		{"id: 1\n", true},
		{"id: 1\ndata: x\n", true},
		{"id: 1\ndata: x\n\n", false},
		{"id: 1\r\ndata: x\r\n\r\n", false},
		{"id: 1\r\ndata: x\r\n\r", true},
		{": a comment", true},
		{": a comment\n", true},
		{": a comment\n\nid: 1\n\n", false},
		{"id: 1\n\n: a comment", false},
		{"id: 1\n: a comment\n", true},
		{"id: 1\n\n: a comment\nid: 2", true},
		{"id: 1\n\nid: 2\n\n", false},
	}
	for _, tc := range cases {
		for size := 1; size <= len(tc.stream)+1; size++ {
			var b eventBoundary
			for rest := tc.stream; rest != ""; rest = rest[min(size, len(rest)):] {
				b.advance([]byte(rest[:min(size, len(rest))]))
			}
			if b.isBrokenOff() != tc.broken {
				t.Errorf("%q in pieces of %d: broken off %v, want %v", tc.stream, size, b.isBrokenOff(), tc.broken)
			}
		}
	}
}
