package forecast

import "math"

// Guesses forecasts the length of answers from callers' estimates. Estimates are right in the median
// but often far off, and they vary more than answers do. So the logarithm of a length is forecast by
// linear regression on the logarithm of its estimate, with a learned slope, mostly below 1, and a
// normally distributed error.
type Guesses struct {
	estimates    Moment // logarithms of the estimates of all requests
	offset       Moment // of answers from their estimates, in logarithms
	squaredError Moment // of the forecast logarithms
	covariance   Moment // of estimates and answers
	variance     Moment // of estimates
}

// The prior, and its weight in observations. The weight is high because the first answers that
// complete are the short ones.
const (
	priorWeight   = 60.0
	priorSlope    = 0.7
	priorError    = 0.45 // standard deviation
	priorVariance = 0.5  // variance of estimates
	minError      = 0.1
)

// NewGuesses returns a forecast with the prior only.
func NewGuesses() Guesses {
	return Guesses{
		offset:       Moment{Weight: priorWeight},
		squaredError: Moment{Mean: priorError * priorError, Weight: priorWeight},
		covariance:   Moment{Mean: priorSlope * priorVariance, Weight: priorWeight},
		variance:     Moment{Mean: priorVariance, Weight: priorWeight},
	}
}

// See records the estimate of a request that asks for capacity.
func (f *Guesses) See(estimate int) {
	if estimate > 0 {
		f.estimates.Learn(math.Log(float64(estimate)))
	}
}

// slope returns how strongly lengths follow their estimates, from 0 to 1.
func (f *Guesses) slope() float64 {
	return min(1, max(0, f.covariance.Mean/f.variance.Mean))
}

// medianLog returns the median of the logarithm of an answer's length.
func (f *Guesses) medianLog(estimate int) float64 {
	g := math.Log(float64(estimate))
	if f.estimates.Weight == 0 {
		return g
	}
	return f.estimates.Mean + f.offset.Mean + f.slope()*(g-f.estimates.Mean)
}

// Learn records the length of a complete answer and its estimate.
func (f *Guesses) Learn(answer, estimate int) {
	if answer <= 0 || estimate <= 0 || f.estimates.Weight == 0 {
		return
	}
	a, g := math.Log(float64(answer)), math.Log(float64(estimate))
	miss := a - f.medianLog(estimate)
	f.squaredError.Learn(miss * miss)
	f.offset.Learn(f.offset.Mean + miss)
	f.covariance.Learn((a - f.estimates.Mean - f.offset.Mean) * (g - f.estimates.Mean))
	f.variance.Learn((g - f.estimates.Mean) * (g - f.estimates.Mean))
}

// deviation returns the standard deviation of the logarithm of an answer's length.
func (f *Guesses) deviation() float64 {
	return max(minError, math.Sqrt(f.squaredError.Mean))
}

// Survive returns the probability that an answer is longer than length tokens.
func (f *Guesses) Survive(length float64, estimate int) float64 {
	if length < 1 {
		return 1
	}
	return 0.5 * math.Erfc((math.Log(length)-f.medianLog(estimate))/f.deviation()/math.Sqrt2)
}

// Expect returns the mean length of an answer, in tokens.
func (f *Guesses) Expect(estimate int) int {
	s := f.deviation()
	return max(1, int(math.Exp(f.medianLog(estimate)+s*s/2)))
}
