package forecast

import "math"

// Estimates forecasts the length of answers from callers' estimates. Estimates are right in the
// median but often far off, and they vary more than answers do. So the logarithm of a length is
// forecast by linear regression on the logarithm of its estimate, with a learned slope, mostly below
// 1, and a normally distributed error.
type Estimates struct {
	estimates    RunningMean // logarithms of the estimates of all requests
	offset       RunningMean // of answers from their estimates, in logarithms
	squaredError RunningMean // of the forecast logarithms
	covariance   RunningMean // of estimates and answers
	variance     RunningMean // of estimates
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

// NewEstimates returns a forecast with the prior only.
func NewEstimates() Estimates {
	return Estimates{
		offset:       RunningMean{Weight: priorWeight},
		squaredError: RunningMean{Mean: priorError * priorError, Weight: priorWeight},
		covariance:   RunningMean{Mean: priorSlope * priorVariance, Weight: priorWeight},
		variance:     RunningMean{Mean: priorVariance, Weight: priorWeight},
	}
}

// Observe records the estimate of a request that asks for capacity.
func (f *Estimates) Observe(estimate int) {
	if estimate > 0 {
		f.estimates.Learn(math.Log(float64(estimate)))
	}
}

// slope returns how strongly lengths follow their estimates, from 0 to 1.
func (f *Estimates) slope() float64 {
	return min(1, max(0, f.covariance.Mean/f.variance.Mean))
}

// medianLog returns the median of the logarithm of an answer's length.
func (f *Estimates) medianLog(estimate int) float64 {
	g := math.Log(float64(estimate))
	if f.estimates.Weight == 0 {
		return g
	}
	return f.estimates.Mean + f.offset.Mean + f.slope()*(g-f.estimates.Mean)
}

// Learn records the length of a complete answer and its estimate.
func (f *Estimates) Learn(answer, estimate int) {
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
func (f *Estimates) deviation() float64 {
	return max(minError, math.Sqrt(f.squaredError.Mean))
}

// Survival returns the probability that an answer is longer than length tokens.
func (f *Estimates) Survival(length float64, estimate int) float64 {
	if length < 1 {
		return 1
	}
	return 0.5 * math.Erfc((math.Log(length)-f.medianLog(estimate))/f.deviation()/math.Sqrt2)
}

// Expect returns the mean length of an answer, in tokens.
func (f *Estimates) Expect(estimate int) int {
	s := f.deviation()
	return max(1, int(math.Exp(f.medianLog(estimate)+s*s/2)))
}
