package ledger

// Step and bounds of the learned margin, in standard deviations.
const (
	marginStep = 0.10
	minMargin  = -3.0
	maxMargin  = 2.0
)

// learnMargin adjusts the margin so that in the long run the share of requests that find the engine
// full is the configured one.
func (l *Ledger) learnMargin(waited bool) {
	if !l.learnsMargin {
		return
	}
	step := -marginStep * l.fullShare / (1 - l.fullShare)
	if waited {
		step = marginStep
	}
	l.margin = min(maxMargin, max(minMargin, l.margin+step))
}
