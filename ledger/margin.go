package ledger

// Steps and bounds of the learned margin, in standard deviations.
const (
	marginStep  = 0.10
	marginLeast = -3.0
	marginMost  = 2.0
)

// learnMargin moves the margin so that in the long run the share of requests
// that find the engine full is the one asked for.
func (l *Ledger) learnMargin(waited bool) {
	if !l.learns {
		return
	}
	step := -marginStep * l.full / (1 - l.full)
	if waited {
		step = marginStep
	}
	l.margin = min(marginMost, max(marginLeast, l.margin+step))
}
