package ledger

import (
	"testing"
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
)

// TestStepPace checks the learned time of a step, in microseconds, at an engine that is configured
// with 1,000.
func TestStepPace(t *testing.T) {
	grows := func(l *Ledger, step int) { // lists at 0, 400 and 800 ms
		if _, err := l.Reserve(at(0), growingArgs(1, 3000, 600, 0), evenWeights); err != nil {
			t.Fatal(err)
		}
		for ms := 0; ms <= 800; ms += 400 {
			l.ApplyList(at(ms), map[request.Attempt]endpoint.Running{attempt(1): {Tokens: 3000 + ms*1000/step}})
		}
	}
	cases := []struct {
		name        string
		f           func(l *Ledger)
		least, most int
	}{
		{"nothing seen", func(*Ledger) {}, 1000, 1000},
		{"slow, by its lists", func(l *Ledger) { grows(l, 5000) }, 4500, 5500},
		{"fast, by its lists", func(l *Ledger) { grows(l, 250) }, 225, 275},
		{"by others of its pool", func(l *Ledger) { l.InheritPace(700) }, 7000, 7000},
		{"its own answers outweigh others", func(l *Ledger) {
			l.InheritPace(700)
			for range 20 {
				l.learnPace(500, ms(1000))
			}
		}, 2000, 3000},
		{"its answers outweigh its lists", func(l *Ledger) {
			for range 10 {
				l.learnPace(500, ms(1000))
			}
			grows(l, 5000)
		}, 2000, 2000},
		{"it becomes slow", func(l *Ledger) {
			for range 10 {
				l.learnPace(500, ms(1000))
			}
			grows(l, 10_000)
		}, 9_000, 11_000},
		{"it becomes fast again", func(l *Ledger) {
			for range 10 {
				l.learnPace(500, ms(5000))
			}
			grows(l, 2000)
		}, 1_800, 2_200},
		{"far off what is configured", func(l *Ledger) { l.learnPace(500, ms(20_000)) }, 40_000, 40_000},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := growingLedger(t)
			l.spec.StepMicrosEach = 0
			tc.f(l)
			if got := int(l.step() / time.Microsecond); got < tc.least || got > tc.most {
				t.Errorf("a step of %d µs, want %d to %d", got, tc.least, tc.most)
			}
		})
	}
}
