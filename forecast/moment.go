package forecast

// RunningMean is a running mean. Weight is the number of observations behind it; a prior counts as
// some of them.
type RunningMean struct{ Mean, Weight float64 }

// maxWeight bounds the weight of a mean: older observations decay exponentially.
const maxWeight = 400.0

// Learn adds the observation x.
func (m *RunningMean) Learn(x float64) { m.LearnWindow(x, maxWeight) }

// LearnWindow adds the observation x to a mean over about the last window observations.
func (m *RunningMean) LearnWindow(x, window float64) {
	m.Weight = min(m.Weight+1, window)
	m.Mean += (x - m.Mean) / m.Weight
}
