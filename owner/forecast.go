package owner

import (
	"math/bits"
)

// Weights of a new observation in the learned averages.
const (
	learnFailure   = 0.2
	learnRejection = 0.1 // a vouched refusal may be the ledger's own mistake
	learnTrust     = 0.1
	learnLeaving   = 0.02
)

// blend moves an average towards an observation.
func blend(avg *float64, seen, weight float64) { *avg += weight * (seen - *avg) }

// answerBins is the grain in which answers are counted, as shares of the
// tokens asked for.
const answerBins = 20

// fadeAnswers is how much of the old counts each new answer leaves.
const fadeAnswers = 0.995

// priorAnswers is how many answers the belief weighs that is held before any
// was seen: that every length is as likely as any other.
const priorAnswers = 4.0

// answerForecast learns how much of what callers ask for the model writes,
// apart for each order of magnitude asked, because a yes or no and a summary
// have little in common.
type answerForecast struct {
	seen [33][answerBins]float64
}

func (f *answerForecast) learn(answer, asked int) {
	if asked <= 0 || answer <= 0 {
		return
	}
	bins := &f.seen[bits.Len32(uint32(asked))]
	for i := range bins {
		bins[i] *= fadeAnswers
	}
	bins[min(answerBins-1, (answer-1)*answerBins/asked)]++
}

// survive returns the chance that an answer has more than written tokens.
func (f *answerForecast) survive(written float64, asked int) float64 {
	if asked <= 0 || written >= float64(asked) {
		return 0
	}
	if written <= 0 {
		return 1
	}
	bins := &f.seen[bits.Len32(uint32(asked))]
	pos := written / float64(asked) * answerBins
	whole := int(pos)
	all, above := 0.0, 0.0
	for i, n := range bins {
		n += priorAnswers / answerBins
		all += n
		switch {
		case i > whole:
			above += n
		case i == whole:
			above += n * (1 - (pos - float64(whole)))
		}
	}
	return above / all
}

// expect returns the tokens that an answer will have on average.
func (f *answerForecast) expect(asked int) int {
	if asked <= 0 {
		return 1
	}
	bins := &f.seen[bits.Len32(uint32(asked))]
	all, sum := 0.0, 0.0
	for i, n := range bins {
		n += priorAnswers / answerBins
		all += n
		sum += n * (float64(i) + 0.5) / answerBins
	}
	return max(1, int(sum/all*float64(asked)))
}
