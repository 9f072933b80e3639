package ledger

import "testing"

// TestUsual checks that the announced wait is the wait of requests of typical size: an engine that
// is nearly full has memory sooner for short answers.
func TestUsual(t *testing.T) {
	wait := func(estimate, requested int) int {
		l := growingLedger(t)
		for n := range 9 { // these fill it
			l.add(Request{Attempt: attempt(n), Tokens: 9_000, MaxAnswer: 4_000, Expected: 1_000 + 300*n}, at(0), at(0), at(60_000))
		}
		for range 30 {
			l.typical.Learn(9_000, requested, estimate)
		}
		return int(l.waitGrowing(at(0)).Milliseconds())
	}
	short, long := wait(50, 100), wait(4_000, 4_000)
	if short >= long {
		t.Errorf("memory for short answers after %d ms, for long ones after %d", short, long)
	}
}
