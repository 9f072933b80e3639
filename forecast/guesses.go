package forecast

import "math"

// Guesses forecasts answers by what callers guess. A guess is right in
// the median and often far off, and guesses are spread more widely than answers
// are. So the logarithm of an answer is forecast from that of its guess by a
// line, whose slope is learned and mostly below 1, with a normal error.
type Guesses struct {
	guesses Moment // logarithms of guesses, of all that asked
	offset  Moment // of answers to their guesses, in logarithms
	spread  Moment // squared error of the line
	cross   Moment // of guesses to answers, for the slope
	square  Moment // of guesses
}

// Beliefs before anything was seen, and the observations that they weigh.
// Answers that were seen to end at first are the short ones, so the beliefs
// weigh some.
const (
	priorWeight = 60.0
	priorSlope  = 0.7
	priorError  = 0.45 // standard deviation
	priorSquare = 0.5  // variance of guesses
	leastError  = 0.1
)

// NewGuesses returns the beliefs that are held before anything was seen.
func NewGuesses() Guesses {
	return Guesses{
		offset: Moment{Weight: priorWeight},
		spread: Moment{Mean: priorError * priorError, Weight: priorWeight},
		cross:  Moment{Mean: priorSlope * priorSquare, Weight: priorWeight},
		square: Moment{Mean: priorSquare, Weight: priorWeight},
	}
}

// See takes in the guess of a request that asks for room.
func (f *Guesses) See(guess int) {
	if guess > 0 {
		f.guesses.Learn(math.Log(float64(guess)))
	}
}

// slope returns by how much answers follow their guesses.
func (f *Guesses) slope() float64 {
	return min(1, max(0, f.cross.Mean/f.square.Mean))
}

// middle returns the median of the logarithm of an answer.
func (f *Guesses) middle(guess int) float64 {
	g := math.Log(float64(guess))
	if f.guesses.Weight == 0 {
		return g
	}
	return f.guesses.Mean + f.offset.Mean + f.slope()*(g-f.guesses.Mean)
}

// Learn takes in an answer that is whole.
func (f *Guesses) Learn(answer, guess int) {
	if answer <= 0 || guess <= 0 || f.guesses.Weight == 0 {
		return
	}
	a, g := math.Log(float64(answer)), math.Log(float64(guess))
	miss := a - f.middle(guess)
	f.spread.Learn(miss * miss)
	f.offset.Learn(f.offset.Mean + miss)
	f.cross.Learn((a - f.guesses.Mean - f.offset.Mean) * (g - f.guesses.Mean))
	f.square.Learn((g - f.guesses.Mean) * (g - f.guesses.Mean))
}

// deviation returns the standard deviation of the logarithm of an answer.
func (f *Guesses) deviation() float64 {
	return max(leastError, math.Sqrt(f.spread.Mean))
}

// Survive returns the chance that an answer is longer than so many tokens.
func (f *Guesses) Survive(written float64, guess int) float64 {
	if written < 1 {
		return 1
	}
	return 0.5 * math.Erfc((math.Log(written)-f.middle(guess))/f.deviation()/math.Sqrt2)
}

// Expect returns the tokens that an answer will have on average.
func (f *Guesses) Expect(guess int) int {
	s := f.deviation()
	return max(1, int(math.Exp(f.middle(guess)+s*s/2)))
}
