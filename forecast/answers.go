package forecast

import "math/bits"

// answerBins is the number of histogram bins, by answer length as a share of the requested tokens.
const answerBins = 20

// answerDecay is the factor on the old counts for each new answer.
const answerDecay = 0.995

// priorAnswerWeight is the weight, in answers, of the uniform prior over all lengths.
const priorAnswerWeight = 4.0

// Answers learns the length of answers as a share of the tokens that callers request. It keeps a
// histogram per power of two of requested tokens, because short and long answers differ: a yes or
// no has little in common with a summary.
type Answers struct {
	counts [33][answerBins]float64
}

// Learn records the length of a complete answer and how many tokens were requested.
func (f *Answers) Learn(answer, requested int) {
	if requested <= 0 || answer <= 0 {
		return
	}
	bins := &f.counts[bits.Len32(uint32(requested))]
	for i := range bins {
		bins[i] *= answerDecay
	}
	bins[min(answerBins-1, (answer-1)*answerBins/requested)]++
}

// Survival returns the probability that an answer is longer than length tokens.
func (f *Answers) Survival(length float64, requested int) float64 {
	if requested <= 0 || length >= float64(requested) {
		return 0
	}
	if length <= 0 {
		return 1
	}
	bins := &f.counts[bits.Len32(uint32(requested))]
	pos := length / float64(requested) * answerBins
	whole := int(pos)
	all, above := 0.0, 0.0
	for i, n := range bins {
		n += priorAnswerWeight / answerBins
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

// Expect returns the mean length of an answer, in tokens.
func (f *Answers) Expect(requested int) int {
	if requested <= 0 {
		return 1
	}
	bins := &f.counts[bits.Len32(uint32(requested))]
	all, sum := 0.0, 0.0
	for i, n := range bins {
		n += priorAnswerWeight / answerBins
		all += n
		sum += n * (float64(i) + 0.5) / answerBins
	}
	return max(1, int(sum/all*float64(requested)))
}
