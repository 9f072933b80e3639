package owner

import "math"

// guessForecast forecasts answers by what callers guess. A guess is right in
// the median and often far off, and guesses are spread more widely than answers
// are. So the logarithm of an answer is forecast from that of its guess by a
// line, whose slope is learned and mostly below 1, with a normal error.
type guessForecast struct {
	guesses moment // logarithms of guesses, of all that asked
	offset  moment // of answers to their guesses, in logarithms
	spread  moment // squared error of the line
	cross   moment // of guesses to answers, for the slope
	square  moment // of guesses
}

// moment is a mean that is learned, with a belief held before.
type moment struct{ mean, weight float64 }

// memory is how many observations a moment remembers at the most.
const memory = 400.0

func (m *moment) learn(x float64) { m.learnOf(x, memory) }

// learnOf takes in x, as one of the last so many observations.
func (m *moment) learnOf(x, last float64) {
	m.weight = min(m.weight+1, last)
	m.mean += (x - m.mean) / m.weight
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

func newGuessForecast() guessForecast {
	return guessForecast{
		offset: moment{weight: priorWeight},
		spread: moment{mean: priorError * priorError, weight: priorWeight},
		cross:  moment{mean: priorSlope * priorSquare, weight: priorWeight},
		square: moment{mean: priorSquare, weight: priorWeight},
	}
}

// see takes in the guess of a request that asks for room.
func (f *guessForecast) see(guess int) {
	if guess > 0 {
		f.guesses.learn(math.Log(float64(guess)))
	}
}

// slope returns by how much answers follow their guesses.
func (f *guessForecast) slope() float64 {
	return min(1, max(0, f.cross.mean/f.square.mean))
}

// middle returns the median of the logarithm of an answer.
func (f *guessForecast) middle(guess int) float64 {
	g := math.Log(float64(guess))
	if f.guesses.weight == 0 {
		return g
	}
	return f.guesses.mean + f.offset.mean + f.slope()*(g-f.guesses.mean)
}

// learn takes in an answer that is whole.
func (f *guessForecast) learn(answer, guess int) {
	if answer <= 0 || guess <= 0 || f.guesses.weight == 0 {
		return
	}
	a, g := math.Log(float64(answer)), math.Log(float64(guess))
	miss := a - f.middle(guess)
	f.spread.learn(miss * miss)
	f.offset.learn(f.offset.mean + miss)
	f.cross.learn((a - f.guesses.mean - f.offset.mean) * (g - f.guesses.mean))
	f.square.learn((g - f.guesses.mean) * (g - f.guesses.mean))
}

// deviation returns the standard deviation of the logarithm of an answer.
func (f *guessForecast) deviation() float64 {
	return max(leastError, math.Sqrt(f.spread.mean))
}

// survive returns the chance that an answer is longer than so many tokens.
func (f *guessForecast) survive(written float64, guess int) float64 {
	if written < 1 {
		return 1
	}
	return 0.5 * math.Erfc((math.Log(written)-f.middle(guess))/f.deviation()/math.Sqrt2)
}

// expect returns the tokens that an answer will have on average.
func (f *guessForecast) expect(guess int) int {
	s := f.deviation()
	return max(1, int(math.Exp(f.middle(guess)+s*s/2)))
}
