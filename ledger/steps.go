package ledger

import (
	"slices"
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/forecast"
	"github.com/embercove/embercove/route"
)

// The time of a decode step is learned as a factor on the configured one, from
// answers that ended, and before any did from how the engine's lists grow. An
// engine whose steps are believed too short is thought to be free too soon, and
// is given more requests than its memory holds.

// Weights and bounds of what is learned of an engine's steps.
const (
	stepMemory    = 10.0                   // answers that are remembered
	stepInherited = 3.0                    // answers that the pace of others counts as
	stepKnown     = 5.0                    // answers from which lists, which are less exact, tell nothing more
	stepLeast     = 256                    // tokens of an answer that tells anything
	stepOff       = 100.0                  // times by which an engine may be off its configured step, either way
	listSpan      = 300 * time.Millisecond // least time between lists that are compared
	turned        = 3.0                    // times by which lists must be off what answers told: more than lists are off by themselves
	turnLists     = 2                      // in a row: the first may cover work from before
)

// learnPace learns from an answer that was whole.
func (l *Ledger) learnPace(tokens int, took time.Duration) {
	if tokens < stepLeast || took <= 0 || !l.spec.GrowsMemory {
		return
	}
	l.observeStep(took.Seconds() / float64(tokens))
}

// growth is how fast the requests grew that two lists both show: the seconds that
// each took for a token.
type growth []float64

// grow takes in a request of a list, and adds to g how fast it has grown since the
// list before.
func (l *Ledger) grow(now time.Time, r *row, held endpoint.Running, g *growth) {
	span, grown := now.Sub(r.listed), held.Tokens-r.held
	known := !r.listed.IsZero()
	if known && span < listSpan {
		return
	}
	if known && grown > 0 {
		seconds := span.Seconds() / float64(grown)
		*g = append(*g, seconds)
		if l.pace.Weight < stepKnown {
			l.observeStep(seconds)
		}
	}
	r.held, r.listed = held.Tokens, now
}

// noticeTurn takes in the growth of a list. An engine whose requests grow far slower
// or faster than believed, by turnLists lists in a row, has turned: by answers alone,
// which end the later the slower it is, it would be thought to be free long before it
// is, be given more than its memory holds, and read whole requests anew.
func (l *Ledger) noticeTurn(g growth) {
	if len(g) == 0 {
		return
	}
	slices.Sort(g)
	ratio := g[len(g)/2] / l.step().Seconds() // one that reads its prompt there grows much faster
	if ratio < turned && ratio > 1/turned {
		l.turnSeen = 0
		return
	}
	l.turnSeen++
	if l.turnSeen < turnLists || l.pace.Weight < stepKnown {
		return
	}
	l.turnSeen = 0
	l.pace = forecast.Moment{Mean: min(stepOff, max(1/stepOff, l.pace.Mean*ratio)), Weight: stepInherited}
}

// observeStep takes in the seconds of a step.
func (l *Ledger) observeStep(seconds float64) {
	told := route.StepTime(l.spec, len(l.rows)).Seconds()
	l.pace.LearnOf(min(stepOff, max(1/stepOff, seconds/told)), stepMemory)
}

// InheritPace begins with what others of the pool show.
func (l *Ledger) InheritPace(slowPct uint16) {
	if slowPct > 0 && l.pace.Weight == 0 {
		l.pace = forecast.Moment{Mean: float64(slowPct) / 100, Weight: stepInherited}
	}
}

// Unpaced reports whether nothing is known of the engine's steps, though it has
// work from which something could be.
func (l *Ledger) Unpaced() bool {
	return l.spec.GrowsMemory && l.pace.Weight == 0 && len(l.rows) > 0
}

// SlowPct returns the pace for a digest; 0: nothing is known.
func (l *Ledger) SlowPct() uint16 {
	if l.pace.Weight == 0 {
		return 0
	}
	return uint16(min(stepOff, l.pace.Mean) * 100)
}
