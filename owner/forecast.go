package owner

import (
	"math/bits"
)

// Weights of a new observation in the learned averages.
const (
	learnAnswer  = 0.05
	learnSlow    = 0.1
	learnFailure = 0.1
	learnTrust   = 0.1
)

// startShare is the share of the asked tokens that an answer is expected to
// take before any was seen.
const startShare = 0.65

// answerForecast learns how much of what callers ask for the model writes,
// apart for each order of magnitude asked, because a yes or no and a summary
// have little in common.
type answerForecast struct {
	share [33]float64
}

func (f *answerForecast) learn(answer, asked int) {
	if asked <= 0 || answer <= 0 {
		return
	}
	p := &f.share[bits.Len32(uint32(asked))]
	if *p == 0 {
		*p = startShare
	}
	*p += learnAnswer * (min(1, float64(answer)/float64(asked)) - *p)
}

// expect returns the tokens that an answer will have.
func (f *answerForecast) expect(asked int) int {
	s := f.share[bits.Len32(uint32(max(0, asked)))]
	if s == 0 {
		s = startShare
	}
	return max(1, int(s*float64(asked)))
}

// blend moves an average towards an observation.
func blend(avg *float64, seen, weight float64) { *avg += weight * (seen - *avg) }
