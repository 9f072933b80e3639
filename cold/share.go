package cold

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
