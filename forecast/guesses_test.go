package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestGuesses learns answers whose guesses are off by a known spread and
// checks the forecast against the answers themselves.
func TestGuesses(t *testing.T) {
	cases := []struct {
		name             string
		answers, guesses float64 // spreads of the logarithms, of answers and of guesses about them
		slope            float64 // that follows from them
	}{
		{"guesses are good", 0.6, 0.15, 0.94},
		{"guesses are off", 0.64, 0.5, 0.62},
		{"guesses say nothing", 0.3, 1.5, 0.04},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := NewGuesses()
			r := rand.New(rand.NewPCG(3, 3))
			draw := func() (answer, guess int) {
				a := 8 + tc.answers*r.NormFloat64()
				return int(math.Exp(a)), int(math.Exp(a + tc.guesses*r.NormFloat64()))
			}
			for range 3000 {
				answer, guess := draw()
				f.See(guess)
				f.Learn(answer, guess)
			}
			if s := f.slope(); math.Abs(s-tc.slope) > 0.1 {
				t.Errorf("slope %.2f, want %.2f", s, tc.slope)
			}
			// A forecast is right if its chances come true.
			below, n := 0, 4000
			for range n {
				answer, guess := draw()
				if f.Survive(float64(answer), guess) > 0.25 {
					below++
				}
			}
			if share := float64(below) / float64(n); math.Abs(share-0.75) > 0.06 {
				t.Errorf("%.2f of answers end before the quarter that is forecast to last longest, want 0.75", share)
			}
		})
	}
}
