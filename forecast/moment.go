package forecast

// Moment is a mean that is learned. Its weight is the number of observations that
// it stands on, of which a belief held before counts as some.
type Moment struct{ Mean, Weight float64 }

// memory is how many observations a Moment remembers at the most.
const memory = 400.0

// Learn takes in x.
func (m *Moment) Learn(x float64) { m.LearnOf(x, memory) }

// LearnOf takes in x, as one of the last so many observations.
func (m *Moment) LearnOf(x, last float64) {
	m.Weight = min(m.Weight+1, last)
	m.Mean += (x - m.Mean) / m.Weight
}
