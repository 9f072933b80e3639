package pace

const (
	// limitBurst is how much of a limit may start at the same moment, in seconds of it. A
	// window of four seconds holds it beside what starts that are used late add, and stays
	// within a tenth over the limit.
	limitBurst = 0.1
	// leastLimit is what an endpoint is sent that names less, in requests a second: only its
	// answers tell that it takes more again.
	leastLimit = 0.2
	// leastPart and leastShare bound how many hosts give out starts at once, each of which has
	// a burst of one at least: with less than this part of the votes, and less than this share
	// of the limit in requests a second, none is given out.
	leastPart  = 0.25
	leastShare = 2.0
)

// LimitTerms returns the terms for a part of the limit that an endpoint names, in requests a
// second. The limit is what is given out on average: what the endpoint may get beyond it is for
// starts that are used late.
func LimitTerms(perSecond, part float64) Terms {
	rate := max(perSecond, leastLimit) * part
	if part < leastPart && rate < leastShare {
		return Terms{}
	}
	return Terms{max(1, limitBurst*rate), rate}
}
