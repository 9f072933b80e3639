package cold

import "time"

// Bound returns how many requests a cold endpoint may be sent in any one second: what it
// bears, times an overrun that operators allow, and a tolerance beyond that. An overrun of
// 0 is unknown and stands for 1. 0: there is no bound.
func Bound(perSecond, overrun, tolerance float64) float64 {
	if perSecond <= 0 {
		return 0
	}
	if overrun <= 0 {
		overrun = 1
	}
	return max(1, perSecond*overrun+tolerance)
}

// Two hosts may both take themselves for the one that gives out an endpoint's starts, for
// as long as they can't know better: the one that had the right until then, and the one
// that follows it. So neither gets all. With a fifth for the follower and 21 requests a
// second that an endpoint bears, of which 36.5 may come, the one that has had the right
// for long gives out 21 a second: nothing that the endpoint bears is refused.
const (
	keptShare = 0.8
	newShare  = 1 - keptShare
)

// Tenure is what a host knows of its right to give out the starts at an endpoint.
type Tenure struct {
	Part float64 // of the known hosts of the endpoint's failure domain that are live; 0: none
	// Alike is for how long this host has seen the same live hosts there.
	Alike time.Duration
	// Up is for how long the process has run without a pause.
	Up time.Duration
	// Silence is after how long without a sign of life hosts take each other for gone.
	Silence time.Duration
}

// Settled returns for how long a host must have seen the same others for nobody else to
// hold the right: the other may have it until it notices that it is cut off, and what it
// gave out last is used up a second later.
func (t Tenure) Settled() time.Duration { return t.Silence + time.Second + Lag }

// Share returns how many starts in any one second a host may give out of a bound. Those
// that see disjoint parts of the hosts keep below the bound together, because each gets
// no more than its part. A process that has just begun, or woken, knows neither the other
// hosts nor what was given out: it gives out nothing.
func Share(bound float64, t Tenure) float64 {
	switch {
	case t.Up < t.Settled():
		return 0
	case t.Alike < t.Settled():
		return bound * newShare * t.Part
	}
	return bound * keptShare * t.Part
}
