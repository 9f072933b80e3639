package ledger

import (
	"slices"
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/forecast"
	"github.com/embercove/embercove/route"
)

// The time of a decode step is learned as a factor on the configured time: from completed answers,
// and before there are any, from how the engine's lists grow. An engine whose steps are assumed to
// be too short is considered free too early, and gets more requests than its memory holds.

// Weights and bounds for learning the time of an engine's steps.
const (
	stepWindow      = 10.0                   // answers that the average covers
	inheritedWeight = 3.0                    // answers that an inherited pace counts as
	knownWeight     = 5.0                    // answers from which on lists are not learned from, as they are less exact
	minStepTokens   = 256                    // fewest tokens of an answer to learn from
	maxPaceFactor   = 100.0                  // bound on the factor between actual and configured step, in either direction
	minListInterval = 300 * time.Millisecond // least time between lists that are compared
	paceChangeRatio = 3.0                    // factor by which lists must differ from the learned pace, more than their own error
	paceChangeLists = 2                      // consecutive lists; the first may cover work from before the change
)

// learnPace learns from a complete answer.
func (l *Ledger) learnPace(tokens int, took time.Duration) {
	if tokens < minStepTokens || took <= 0 || !l.spec.GrowsMemory {
		return
	}
	l.observeStep(took.Seconds() / float64(tokens))
}

// growth is how fast the requests grew that are in two successive lists: the seconds that each took
// for a token.
type growth []float64

// observeGrowth updates a row from a list, and appends to g how fast its request has grown since
// the previous list.
func (l *Ledger) observeGrowth(now time.Time, r *row, held endpoint.Running, g *growth) {
	span, grown := now.Sub(r.listedAt), held.Tokens-r.listedTokens
	known := !r.listedAt.IsZero()
	if known && span < minListInterval {
		return
	}
	if known && grown > 0 {
		seconds := span.Seconds() / float64(grown)
		*g = append(*g, seconds)
		if l.stepPace.Weight < knownWeight {
			l.observeStep(seconds)
		}
	}
	r.listedTokens, r.listedAt = held.Tokens, now
}

// detectPaceChange resets the pace when, by paceChangeLists lists in a row, the requests grow far
// slower or faster than the learned pace. Answers alone show this too late, as they end later the
// slower the engine is. Meanwhile the engine would be considered free long before it is, get more
// than its memory holds, and prefill whole requests again.
func (l *Ledger) detectPaceChange(g growth) {
	if len(g) == 0 {
		return
	}
	slices.Sort(g)
	ratio := g[len(g)/2] / l.step().Seconds() // the median: a request that still prefills there grows much faster
	if ratio < paceChangeRatio && ratio > 1/paceChangeRatio {
		l.paceChangeSeen = 0
		return
	}
	l.paceChangeSeen++
	if l.paceChangeSeen < paceChangeLists || l.stepPace.Weight < knownWeight {
		return
	}
	l.paceChangeSeen = 0
	l.stepPace = forecast.RunningMean{Mean: min(maxPaceFactor, max(1/maxPaceFactor, l.stepPace.Mean*ratio)), Weight: inheritedWeight}
}

// observeStep learns from the seconds of a step.
func (l *Ledger) observeStep(seconds float64) {
	configured := route.StepTime(l.spec, len(l.rows)).Seconds()
	l.stepPace.LearnWindow(min(maxPaceFactor, max(1/maxPaceFactor, seconds/configured)), stepWindow)
}

// InheritPace starts from the pace of other engines of the pool.
func (l *Ledger) InheritPace(slowPct uint16) {
	if slowPct > 0 && l.stepPace.Weight == 0 {
		l.stepPace = forecast.RunningMean{Mean: float64(slowPct) / 100, Weight: inheritedWeight}
	}
}

// PaceUnknown reports whether nothing is known of the engine's steps although it has work to learn
// from.
func (l *Ledger) PaceUnknown() bool {
	return l.spec.GrowsMemory && l.stepPace.Weight == 0 && len(l.rows) > 0
}

// SlowPct returns the pace in percent for a digest; 0: unknown.
func (l *Ledger) SlowPct() uint16 {
	if l.stepPace.Weight == 0 {
		return 0
	}
	return uint16(min(maxPaceFactor, l.stepPace.Mean) * 100)
}
