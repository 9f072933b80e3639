package pace

import "time"

// ColdWindow is the time over which requests to a cold endpoint are counted against its bound.
const ColdWindow = time.Second

// coldBurstPart is the part of a second's permits that may start at the same instant. A larger
// burst leaves fewer permits for the rest of the second.
const coldBurstPart = 0.1

// ColdBound returns how many requests a cold endpoint may be sent in any one second: its configured
// rate while cold, times the overrun that operators allow, plus a tolerance. An overrun of 0 is
// unset and counts as 1. The result 0 means that there is no bound.
func ColdBound(perSecond, overrun, tolerance float64) float64 {
	if perSecond <= 0 {
		return 0
	}
	if overrun <= 0 {
		overrun = 1
	}
	return max(1, perSecond*overrun+tolerance)
}

// ColdParams returns the bucket parameters for a share of such a bound. Permits are used up to Lag
// late, so the permits of ColdWindow plus Lag may all be used within one ColdWindow. A share of
// less than one permit grants none: many hosts with one permit each would exceed any bound.
func ColdParams(share float64) BucketParams {
	if share < 1 {
		return BucketParams{}
	}
	burst := max(1, coldBurstPart*share)
	return BucketParams{burst, (share - burst) / (ColdWindow + Lag).Seconds()}
}
