package ledger

import (
	"math"
	"time"

	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Engines whose answers take memory as they are decoded. What a row holds grows until its answer
// ends, so a newcomer has to fit not only when it begins but until its own answer is likely to have
// ended.

// Resolution and range of the forecast of a growing engine.
const (
	growthStep = 100 * time.Millisecond
	stayFactor = 1.5 // multiples of a newcomer's expected decode time that are examined
	maxStay    = 6 * time.Second
)

// growingMargin is how many standard deviations of the forecast are kept free if no margin is
// configured. An engine that runs out of memory prefills whole requests again, which costs more
// than refusing a request.
const growingMargin = 1.6

// negligible is the probability below which the forecast says nothing more about an answer that has
// outlived it.
const negligible = 1e-4

// decoded returns how many tokens a row's answer has at a time, if it still runs then.
func (l *Ledger) decoded(r *row, t time.Time, step time.Duration) float64 {
	if !t.After(r.transferEnd) {
		return 0
	}
	return min(float64(t.Sub(r.transferEnd))/float64(step), float64(r.maxAnswer))
}

// survival returns the probability that an answer is longer than the tokens decoded so far.
func (l *Ledger) survival(decoded float64, expected, maxAnswer int) float64 {
	if expected > 0 && decoded < float64(maxAnswer) {
		return l.estimates.Survival(decoded, expected)
	}
	return l.answers.Survival(decoded, maxAnswer)
}

// expectedTokens returns the mean length of an answer.
func (l *Ledger) expectedTokens(expected, maxAnswer int) int {
	if expected > 0 {
		return min(maxAnswer, l.estimates.Expect(expected))
	}
	return l.answers.Expect(maxAnswer)
}

// addOccupancy adds what a row holds at a time, weighted with the probability that it still runs.
func (l *Ledger) addOccupancy(o *occupancy, r *row, now, t time.Time, step time.Duration) {
	if r.start.After(t) {
		return
	}
	p := 1.0
	if t.After(now) && t.After(r.transferEnd) {
		alive := l.survival(l.decoded(r, now, step), r.expected, r.maxAnswer)
		if alive < negligible {
			p = math.Exp(-float64(t.Sub(now)) / float64(overrun))
		} else {
			p = l.survival(l.decoded(r, t, step), r.expected, r.maxAnswer) / alive
		}
	}
	size := float64(r.prompt) + l.decoded(r, t, step)
	o.tokens += p * size
	o.tokensVar += p * (1 - p) * size * size
	if r.replica {
		return
	}
	o.n += p
	o.nVar += p * (1 - p)
}

// growingAt returns the forecast occupancy of a growing engine at a time.
func (l *Ledger) growingAt(now, t time.Time) occupancy {
	var o occupancy
	step := l.step()
	for _, r := range l.rows {
		l.addOccupancy(&o, r, now, t, step)
	}
	return o
}

// newcomer is what a request would hold at each growthStep from its start on.
type newcomer []occupancy

func (l *Ledger) newcomer(prompt, expected, maxAnswer int, step time.Duration) newcomer {
	stay := min(stayFactor*float64(l.expectedTokens(expected, maxAnswer))*float64(step), float64(maxStay))
	n := 1 + int(stay/float64(growthStep))
	out := make(newcomer, n)
	for k := range out {
		w := float64(k) * float64(growthStep) / float64(step)
		p := l.survival(w, expected, maxAnswer)
		size := float64(prompt) + min(w, float64(maxAnswer))
		out[k] = occupancy{tokens: p * size, tokensVar: p * (1 - p) * size * size, n: p}
	}
	return out
}

// timeline returns the forecast of what the engine holds at each growthStep from now on.
func (l *Ledger) timeline(now time.Time, n int) []occupancy {
	out := make([]occupancy, n)
	for i := range out {
		out[i] = l.growingAt(now, now.Add(time.Duration(i)*growthStep))
	}
	return out
}

// fitsThroughout reports whether a newcomer that begins at step i of the timeline fits for its
// whole time.
func (l *Ledger) fitsThroughout(line []occupancy, i int, c newcomer) bool {
	z := growingMargin
	if !l.learnsMargin {
		z = l.margin
	}
	limit := float64(l.spec.MemoryTokens) * l.share
	for k, own := range c {
		if i+k >= len(line) {
			return true
		}
		o := line[i+k]
		if o.tokens+own.tokens+z*math.Sqrt(o.tokensVar+own.tokensVar) > limit || o.n+own.n > float64(l.slots) {
			return false
		}
	}
	return true
}

// reserveGrowing finds the first time at which the request fits from its start to its end, or
// refuses it with the time after which it would fit.
func (l *Ledger) reserveGrowing(now time.Time, a Request) (time.Time, *result.Error) {
	step := l.step()
	l.typical.Learn(a.Tokens, a.MaxAnswer, a.Expected)
	l.estimates.Observe(a.Expected)
	c := l.newcomer(a.Tokens, a.Expected, a.MaxAnswer, step)
	wanted := now.Add(a.PrefillIn)
	latest := wanted.Add(a.Slack)
	last := int((latest.Sub(now)+searchBeyond)/growthStep) + 1
	line := l.timeline(now, last+len(c))
	for i := int(wanted.Sub(now) / growthStep); i <= last; i++ {
		if !l.fitsThroughout(line, i, c) {
			continue
		}
		at := now.Add(time.Duration(i) * growthStep)
		if at.Before(wanted) {
			at = wanted
		}
		if at.After(latest) {
			return time.Time{}, l.refuse(now, a, latest.Sub(now), at.Sub(latest))
		}
		transfer := route.LinkTime(l.spec, a.Bytes)
		l.add(a, at, at.Add(transfer), at.Add(growingLeases*l.lease))
		return at, nil
	}
	return time.Time{}, l.refuse(now, a, latest.Sub(now), searchBeyond)
}

// growingLeases is how many leases a reservation at a growing engine lasts without being seen
// there: such engines are asked for their list less often.
const growingLeases = 2

// waitGrowing returns how long a request of typical size waits for memory.
func (l *Ledger) waitGrowing(now time.Time) time.Duration {
	c := l.newcomer(l.typical.Prompt(), l.typical.Estimate(), l.typical.Answer(), l.step())
	last := int(maxWait / growthStep)
	line := l.timeline(now, last+len(c))
	for i := range last {
		if l.fitsThroughout(line, i, c) {
			return time.Duration(i) * growthStep
		}
	}
	return maxWait
}
