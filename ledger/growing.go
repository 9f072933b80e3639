package ledger

import (
	"math"
	"time"

	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Engines whose answers take memory as they are written. What a row holds then
// rises until its answer ends, so a newcomer has to fit not only when it
// begins but all the while until its own answer is likely to be over.

// Grain and reach of the forecast of a growing engine.
const (
	growStep = 100 * time.Millisecond
	growStay = 1.5 // multiples of a newcomer's expected time that are looked at
	growMost = 6 * time.Second
)

// growingMargin is how many standard deviations of the forecast are kept free
// where no margin is configured. An engine that runs out of memory reads
// whole requests anew, which costs more than a request that is refused.
const growingMargin = 1.6

// negligible is the chance below which a forecast says nothing more of an answer
// that has outlived it.
const negligible = 1e-4

// written returns the tokens that a row's answer has at a moment, if it goes
// on till then.
func (l *Ledger) written(r *row, t time.Time, step time.Duration) float64 {
	if !t.After(r.moved) {
		return 0
	}
	return min(float64(t.Sub(r.moved))/float64(step), float64(r.maxAnswer))
}

// survive returns the chance that a row's answer is longer than so many tokens.
func (l *Ledger) survive(written float64, expected, asked int) float64 {
	if expected > 0 && written < float64(asked) {
		return l.guessed.Survive(written, expected)
	}
	return l.answers.Survive(written, asked)
}

// expect returns the tokens that an answer will have on average.
func (l *Ledger) expect(expected, asked int) int {
	if expected > 0 {
		return min(asked, l.guessed.Expect(expected))
	}
	return l.answers.Expect(asked)
}

// hold adds what a row holds at a moment, by the chance that it still runs.
func (l *Ledger) hold(o *occupancy, r *row, now, t time.Time, step time.Duration) {
	if r.start.After(t) {
		return
	}
	p := 1.0
	if t.After(now) && t.After(r.moved) {
		alive := l.survive(l.written(r, now, step), r.expected, r.maxAnswer)
		if alive < negligible {
			p = math.Exp(-float64(t.Sub(now)) / float64(overrun))
		} else {
			p = l.survive(l.written(r, t, step), r.expected, r.maxAnswer) / alive
		}
	}
	size := float64(r.prompt) + l.written(r, t, step)
	o.tokens += p * size
	o.tokensVar += p * (1 - p) * size * size
	if r.copied {
		return
	}
	o.n += p
	o.nVar += p * (1 - p)
}

// grown returns the occupancy of a growing engine forecast for a moment.
func (l *Ledger) grown(now, t time.Time) occupancy {
	var o occupancy
	step := l.step()
	for _, r := range l.rows {
		l.hold(&o, r, now, t, step)
	}
	return o
}

// newcomer is what a request would hold at each growStep from its start on.
type newcomer []occupancy

func (l *Ledger) newcomer(prompt, expected, asked int, step time.Duration) newcomer {
	stay := time.Duration(growStay * float64(l.expect(expected, asked)) * float64(step))
	n := 1 + int(min(stay, growMost)/growStep)
	out := make(newcomer, n)
	for k := range out {
		w := float64(k) * float64(growStep) / float64(step)
		p := l.survive(w, expected, asked)
		size := float64(prompt) + min(w, float64(asked))
		out[k] = occupancy{tokens: p * size, tokensVar: p * (1 - p) * size * size, n: p}
	}
	return out
}

// timeline is the forecast of what the engine holds at each growStep from now.
func (l *Ledger) timeline(now time.Time, n int) []occupancy {
	out := make([]occupancy, n)
	for i := range out {
		out[i] = l.grown(now, now.Add(time.Duration(i)*growStep))
	}
	return out
}

// room reports whether a newcomer that begins at step i of the timeline fits
// all the while.
func (l *Ledger) room(line []occupancy, i int, c newcomer) bool {
	z := growingMargin
	if !l.learns {
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

// reserveGrowing finds the first moment at which the request fits from its
// start to its end, or refuses with the time after which it would.
func (l *Ledger) reserveGrowing(now time.Time, a Ask) (time.Time, *result.Error) {
	step := l.step()
	l.usual.Learn(a.Tokens, a.MaxAnswer, a.Expected)
	l.guessed.See(a.Expected)
	c := l.newcomer(a.Tokens, a.Expected, a.MaxAnswer, step)
	wanted := now.Add(a.In)
	latest := wanted.Add(a.Slack)
	last := int((latest.Sub(now)+searchBeyond)/growStep) + 1
	line := l.timeline(now, last+len(c))
	for i := int(wanted.Sub(now) / growStep); i <= last; i++ {
		if !l.room(line, i, c) {
			continue
		}
		at := now.Add(time.Duration(i) * growStep)
		if at.Before(wanted) {
			at = wanted
		}
		if at.After(latest) {
			return time.Time{}, l.refuse(now, a, latest.Sub(now), at.Sub(latest))
		}
		move := route.LinkTime(l.spec, a.Bytes)
		l.add(a, at, at.Add(move), at.Add(growingLeases*l.lease))
		return at, nil
	}
	return time.Time{}, l.refuse(now, a, latest.Sub(now), searchBeyond)
}

// growingLeases is how many leases a reservation at a growing engine stands
// without being seen there: such engines are asked for their list less often.
const growingLeases = 2

// waitGrowing returns how long a request of the usual size waits for room.
func (l *Ledger) waitGrowing(now time.Time) time.Duration {
	c := l.newcomer(l.usual.Prompt(), l.usual.Guess(), l.usual.Answer(), l.step())
	last := int(waitMost / growStep)
	line := l.timeline(now, last+len(c))
	for i := range last {
		if l.room(line, i, c) {
			return time.Duration(i) * growStep
		}
	}
	return waitMost
}
