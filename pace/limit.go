package pace

const (
	// limitBurstSeconds is how much of a limit may start at the same instant, in seconds of the
	// limit. In a window of four seconds this burst, together with permits that are used late,
	// stays within a tenth over the limit.
	limitBurstSeconds = 0.1
	// minLimit is the least rate, in requests a second, that an endpoint is sent when it names a
	// lower limit. Only its answers tell when it takes more again.
	minLimit = 0.2
	// minVoteShare and minRate bound how many hosts grant permits at once, as each of them has a
	// burst of at least one. A host with less than this share of the votes and less than this rate,
	// in requests a second, grants none.
	minVoteShare = 0.25
	minRate      = 2.0
)

// LimitParams returns the bucket parameters for a host's vote share of the limit that an endpoint
// names, in requests a second. The bucket grants the limit on average; an endpoint gets more than
// that only when permits are used late.
func LimitParams(perSecond, voteShare float64) BucketParams {
	rate := max(perSecond, minLimit) * voteShare
	if voteShare < minVoteShare && rate < minRate {
		return BucketParams{}
	}
	return BucketParams{max(1, limitBurstSeconds*rate), rate}
}
