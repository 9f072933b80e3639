// Package ledger accounts for the memory of a decode engine and the link into it:
// what is reserved and held, and from when on a request has room.
//
// What it grants is a forecast; the engine's admission is the last word. It takes no
// locks and reads no clock; whoever keeps a Ledger guards it.
package ledger

import (
	"math"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/forecast"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Ask is a request for memory at a moment to come.
type Ask struct {
	Attempt   request.Attempt
	Team      uint32
	Tokens    int // of the prompt
	MaxAnswer int
	Expected  int           // tokens of the answer by the caller's guess; 0: none
	Mark      uint64        // of the id by which the engine lists the request; 0: the attempt itself
	Bytes     int64         // to transfer
	In        time.Duration // when the prompt is expected to be read
	Slack     time.Duration // by which the start may come later
}

// Ledger is the account of one decode engine. It is not safe for concurrent use.
type Ledger struct {
	spec     *config.Endpoint
	kvBytes  int64
	slots    int     // that keep the time per token within its target
	margin   float64 // standard deviations kept free of the forecast
	learns   bool    // the margin is learned
	full     float64 // share of reservations that may find the engine full
	mode     config.Forecast
	share    float64 // of the engine that this ledger may give out
	lease    time.Duration
	rows     map[request.Attempt]*row
	answers  forecast.Answers // by the share of what was asked for
	guessed  forecast.Guesses // by what the caller guessed
	pace     forecast.Moment  // factor on the configured time of a step, learned
	turnSeen int              // lists in a row that showed another pace
	ended    map[request.Attempt]time.Time
	marked   map[uint64]request.Attempt

	wants map[request.ID]want

	usual   forecast.Usual
	waitAt  time.Time
	waitFor time.Duration
}

// New returns the ledger of an engine of which a share may be given out.
func New(v *config.View, spec *config.Endpoint, share float64) *Ledger {
	l := &Ledger{rows: map[request.Attempt]*row{}, wants: map[request.ID]want{}, guessed: forecast.NewGuesses(),
		ended: map[request.Attempt]time.Time{}, marked: map[uint64]request.Attempt{}}
	l.Fit(v, spec, share)
	return l
}

// Fit takes over the sizes of a revision.
func (l *Ledger) Fit(v *config.View, spec *config.Endpoint, share float64) {
	l.spec, l.share = spec, share
	l.slots = max(1, int(float64(route.BatchLimit(spec, v.Doc.Targets.TPOT()))*share))
	l.mode, l.learns, l.full = v.Doc.Policy.Forecast, true, v.FullShare()
	if m := v.Doc.Policy.MarginSD; m != nil {
		l.margin, l.learns = *m, false
	}
	l.lease = config.Millis(v.Doc.Policy.LeaseMillis)
	if m := v.Models[spec.Model]; m != nil {
		l.kvBytes = m.KVBytesPerToken
	}
}

// step is the time of a decode step as things are.
func (l *Ledger) step() time.Duration {
	step := route.StepTime(l.spec, len(l.rows))
	if l.pace.Weight > 0 {
		step = time.Duration(float64(step) * l.pace.Mean)
	}
	return max(step, time.Microsecond)
}

// occupancy is what holds an engine at a moment: expected values, and the
// variances around them.
type occupancy struct {
	tokens, tokensVar float64
	n, nVar           float64
}

// at returns the occupancy forecast for a moment.
func (l *Ledger) at(now, t time.Time) occupancy {
	var o occupancy
	step := l.step()
	for _, r := range l.rows {
		p := l.chance(r, now, t, step)
		o.tokens += p * float64(r.tokens)
		o.tokensVar += p * (1 - p) * float64(r.tokens) * float64(r.tokens)
		o.n += p
		o.nVar += p * (1 - p)
	}
	return o
}

// chance returns how likely a row is to hold memory at a moment.
func (l *Ledger) chance(r *row, now, t time.Time, step time.Duration) float64 {
	if l.mode == config.ForecastHold {
		return 1
	}
	start, moved := r.span(now)
	if start.After(t) {
		return 0
	}
	if !t.After(moved) || !t.After(now) {
		return 1
	}
	written := func(t time.Time) float64 { return float64(t.Sub(moved)) / float64(step) }
	if l.mode == config.ForecastPlain {
		if written(t) < max(float64(l.answers.Expect(r.maxAnswer)), written(now)+1) {
			return 1
		}
		return 0
	}
	alive := 1.0
	if now.After(moved) {
		alive = l.answers.Survive(written(now), r.maxAnswer)
	}
	if alive < surelyOver {
		// It has outlived its forecast; it ends any time now.
		return math.Exp(-float64(t.Sub(now)) / float64(overrun))
	}
	return l.answers.Survive(written(t), r.maxAnswer) / alive
}

const (
	surelyOver = 0.01                   // chance below which the forecast says nothing more
	overrun    = 300 * time.Millisecond // mean time to the end beyond the forecast
)

// fits reports whether the request has room at a moment.
func (l *Ledger) fits(now, t time.Time, tokens int) bool {
	o := l.at(now, t)
	z := 0.0
	if l.mode == config.ForecastMargin {
		z = l.margin
	}
	return o.tokens+z*math.Sqrt(o.tokensVar)+float64(tokens) <= float64(l.spec.MemoryTokens)*l.share &&
		o.n+z*math.Sqrt(o.nVar)+1 <= float64(l.slots)
}

// linkFrom returns the first moment from t on at which the link into the
// engine is free for d.
func (l *Ledger) linkFrom(t time.Time, d time.Duration) time.Time {
	for again := true; again; {
		again = false
		for _, r := range l.rows {
			if r.start.Before(t.Add(d)) && r.moved.After(t) && r.moved.After(r.start) {
				t, again = r.moved, true
			}
		}
	}
	return t
}

// searchStep is the grain in which a moment with room is looked for, and
// searchBeyond how much further than the request can wait, to tell it when
// to come back.
const (
	searchStep   = 40 * time.Millisecond
	searchBeyond = 2 * time.Second
)

// Reserve finds the first moment at which the request fits, or refuses with
// the time after which it would.
func (l *Ledger) Reserve(now time.Time, a Ask, weights func(uint32) float64) (time.Time, *result.Error) {
	l.expire(now)
	if l.spec.GrowsMemory {
		return l.reserveGrowing(now, a)
	}
	tokens := a.Tokens + a.MaxAnswer
	l.usual.Learn(a.Tokens, a.MaxAnswer, a.Expected)
	wanted := now.Add(a.In)
	latest := wanted.Add(a.Slack)
	move := route.LinkTime(l.spec, a.Bytes)
	owed := l.owed(now, a, weights)
	stay := move + time.Duration(l.answers.Expect(a.MaxAnswer))*l.step()
	taken := l.taken(now, tokens+owed)
	for t := wanted; t.Before(latest.Add(searchBeyond)); t = t.Add(searchStep) {
		at := l.linkFrom(t, move)
		if !l.fits(now, at, tokens+owed) || within(taken, at, at.Add(stay)) {
			continue
		}
		if at.After(latest) {
			return time.Time{}, l.refuse(now, a, latest.Sub(now), at.Sub(latest))
		}
		if !l.fair(now, at, a.Team, tokens, weights) {
			return time.Time{}, result.Errorf(result.NoDecodeMemory, "decode memory is nearly full and the team is above its share").After(searchBeyond)
		}
		l.add(a, at, at.Add(move), at.Add(l.lease))
		return at, nil
	}
	return time.Time{}, l.refuse(now, a, latest.Sub(now), searchBeyond)
}

// taken lists the moments to come at which reservations that were granted
// leave no room for so many tokens more.
func (l *Ledger) taken(now time.Time, tokens int) []time.Time {
	var out []time.Time
	for _, r := range l.rows {
		if r.start.After(now) && !l.fits(now, r.start, tokens) {
			out = append(out, r.start)
		}
	}
	return out
}

// within reports whether one of the moments lies between from and to.
func within(moments []time.Time, from, to time.Time) bool {
	for _, m := range moments {
		if m.After(from) && m.Before(to) {
			return true
		}
	}
	return false
}

// End is how an attempt ended.
type End struct {
	Attempt  request.Attempt
	Whole    bool          // the answer is whole; else nothing is learned
	Answer   int           // tokens written
	Max      int           // tokens asked for
	Expected int           // tokens that the caller guessed; 0: none
	Waited   bool          // the engine was full when the request came
	Took     time.Duration // from the first piece to the last
}

// Release drops an attempt's row and learns from its answer.
func (l *Ledger) Release(now time.Time, e End) {
	if e.Whole {
		l.answers.Learn(e.Answer, e.Max)
		l.guessed.Learn(e.Answer, e.Expected)
		l.learnMargin(e.Waited)
		l.learnPace(e.Answer, e.Took)
	}
	l.ended[e.Attempt] = now
	if l.rows[e.Attempt] != nil {
		if mark := l.rows[e.Attempt].mark; mark != 0 {
			l.ended[listedAs(mark)] = now
		}
	}
	l.drop(e.Attempt)
}

// waitStep and waitMost bound how finely and how far the wait of a usual
// request is looked for; waitKept is how long the finding stands.
const (
	waitStep = 100 * time.Millisecond
	waitMost = 3 * time.Second
	waitKept = 50 * time.Millisecond
)

// Wait returns how long a request of the usual size waits for room.
func (l *Ledger) Wait(now time.Time) time.Duration {
	if now.Sub(l.waitAt) < waitKept {
		return l.waitFor
	}
	l.waitAt, l.waitFor = now, waitMost
	if l.spec.GrowsMemory {
		l.waitFor = l.waitGrowing(now)
		return l.waitFor
	}
	for d := time.Duration(0); d < waitMost; d += waitStep {
		if l.fits(now, now.Add(d), l.usual.Prompt()+l.usual.Answer()) {
			l.waitFor = d
			break
		}
	}
	return l.waitFor
}

// Free returns what a new request would find now: tokens, slots and how long
// the link is taken.
func (l *Ledger) Free(now time.Time) (tokens, slots int, link time.Duration) {
	l.expire(now)
	o := l.at(now, now)
	if l.spec.GrowsMemory {
		o = l.grown(now, now)
	}
	return int(float64(l.spec.MemoryTokens)*l.share - o.tokens), l.slots - int(o.n), l.linkFrom(now, time.Millisecond).Sub(now)
}

// Len returns how many rows the ledger has: reservations, and what the engine holds.
func (l *Ledger) Len() int { return len(l.rows) }
