package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestGuesses learns answers whose estimates have a known error, and checks the learned slope and
// that forecast probabilities match the actual lengths.
func TestGuesses(t *testing.T) {
	cases := []struct {
		name               string
		answers, estimates float64 // standard deviations of the logarithms: of answers, and of estimates around them
		slope              float64 // expected
	}{
		{"good estimates", 0.6, 0.15, 0.94},
		{"inaccurate estimates", 0.64, 0.5, 0.62},
		{"useless estimates", 0.3, 1.5, 0.04},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := NewEstimates()
			r := rand.New(rand.NewPCG(3, 3))
			draw := func() (answer, estimate int) {
				a := 8 + tc.answers*r.NormFloat64()
				return int(math.Exp(a)), int(math.Exp(a + tc.estimates*r.NormFloat64()))
			}
			for range 3000 {
				answer, estimate := draw()
				f.Observe(estimate)
				f.Learn(answer, estimate)
			}
			if s := f.slope(); math.Abs(s-tc.slope) > 0.1 {
				t.Errorf("slope %.2f, want %.2f", s, tc.slope)
			}
			// A forecast is right if its probabilities match the observed shares.
			shorter, n := 0, 4000
			for range n {
				answer, estimate := draw()
				if f.Survival(float64(answer), estimate) > 0.25 {
					shorter++
				}
			}
			if share := float64(shorter) / float64(n); math.Abs(share-0.75) > 0.06 {
				t.Errorf("%.2f of answers are below the forecast upper quartile, want 0.75", share)
			}
		})
	}
}
