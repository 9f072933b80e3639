package quota

import (
	"math"
	"time"
)

// meterSpan is the time over which a meter averages. It is twice the interval at which holders
// report to each other, and a quarter of the window in which limits are evaluated.
const meterSpan = 2 * time.Second

// meter measures a rate, in units a second, by an exponentially weighted average.
type meter struct {
	rate float64
	last time.Time
}

// add counts n units.
func (m *meter) add(now time.Time, n float64) {
	m.rate = max(0, m.at(now)+n/meterSpan.Seconds())
	m.last = now
}

// at returns the rate.
func (m *meter) at(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/meterSpan.Seconds())
}
