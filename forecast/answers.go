package forecast

import "math/bits"

// answerBins is the grain in which answers are counted, as shares of the
// tokens asked for.
const answerBins = 20

// fadeAnswers is how much of the old counts each new answer leaves.
const fadeAnswers = 0.995

// priorAnswers is how many answers the belief weighs that is held before any
// was seen: that every length is as likely as any other.
const priorAnswers = 4.0

// Answers learns how much of what callers ask for the model writes,
// apart for each order of magnitude asked, because a yes or no and a summary
// have little in common.
type Answers struct {
	seen [33][answerBins]float64
}

// Learn takes in an answer that is whole, and how many tokens were asked for.
func (f *Answers) Learn(answer, asked int) {
	if asked <= 0 || answer <= 0 {
		return
	}
	bins := &f.seen[bits.Len32(uint32(asked))]
	for i := range bins {
		bins[i] *= fadeAnswers
	}
	bins[min(answerBins-1, (answer-1)*answerBins/asked)]++
}

// Survive returns the chance that an answer has more than written tokens.
func (f *Answers) Survive(written float64, asked int) float64 {
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

// Expect returns the tokens that an answer will have on average.
func (f *Answers) Expect(asked int) int {
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
