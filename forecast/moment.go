package forecast

// Moment is a running mean. Weight is the number of observations behind it, including those that a
// prior counts for.
type Moment struct{ Mean, Weight float64 }

// maxWeight bounds the weight of a mean: older observations decay exponentially.
const maxWeight = 400.0

// Learn adds the observation x.
func (m *Moment) Learn(x float64) { m.LearnOf(x, maxWeight) }

// LearnOf adds the observation x to a mean over about the last window observations.
func (m *Moment) LearnOf(x, window float64) {
	m.Weight = min(m.Weight+1, window)
	m.Mean += (x - m.Mean) / m.Weight
}
