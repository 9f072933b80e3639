package pace

import "time"

// ColdWindow is the time over which the bound of a cold endpoint is counted.
const ColdWindow = time.Second

// coldBurst is the part of what may start in a second that may start at the same moment.
// The more it is the fewer a second are left for the rest.
const coldBurst = 0.1

// ColdBound returns how many requests a cold endpoint may be sent in any one second: what it
// bears, times an overrun that operators allow, and a tolerance beyond that. An overrun of
// 0 is unknown and stands for 1. 0: there is no bound.
func ColdBound(perSecond, overrun, tolerance float64) float64 {
	if perSecond <= 0 {
		return 0
	}
	if overrun <= 0 {
		overrun = 1
	}
	return max(1, perSecond*overrun+tolerance)
}

// ColdTerms returns the terms for a share of such a bound. Starts are used up to Lag late, so
// those of ColdWindow and this much may be used within ColdWindow. A share of less than one
// start allows none: many hosts with one each would exceed any bound.
func ColdTerms(share float64) Terms {
	if share < 1 {
		return Terms{}
	}
	burst := max(1, coldBurst*share)
	return Terms{burst, (share - burst) / (ColdWindow + Lag).Seconds()}
}
