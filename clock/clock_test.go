package clock

import (
	"testing"
	"time"
)

// TestNow checks that Now advances like time.Now while the machine isn't suspended. The
// small difference that comes from reading the two clocks one after the other must not
// count as a suspension.
func TestNow(t *testing.T) {
	if d := Suspended(); d != 0 {
		t.Errorf("suspended for %v", d)
	}
	start, monotonicStart := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	if elapsed, want := Now().Sub(start), time.Since(monotonicStart); elapsed < want-minSuspension || elapsed > want+minSuspension {
		t.Errorf("%v passed, %v by the monotonic clock", elapsed, want)
	}
}

// BenchmarkNow measures the cost of a call; time.Now alone takes about 40 ns.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
