// Package ledger accounts for the memory of a decode engine and the link into it: what is reserved
// and held, and when there is enough free memory for a request.
//
// What it grants is a forecast; the engine's own admission decides. It takes no locks and reads no
// clock; the owner of a Ledger guards it.
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

// Request is a request for memory at a later time.
type Request struct {
	Attempt   request.Attempt
	Team      uint32
	Tokens    int // of the prompt
	MaxAnswer int
	Expected  int           // answer tokens estimated by the caller; 0: none
	IDHash    uint64        // hash of the id under which the engine lists the request; 0: the attempt itself
	Bytes     int64         // to transfer
	PrefillIn time.Duration // until the end of the prefill, as forecast
	Slack     time.Duration // how much later the start may be
}

// Ledger is the account of one decode engine. It is not safe for concurrent use.
type Ledger struct {
	spec           *config.Endpoint
	kvBytes        int64
	slots          int     // that keep the time per token within its target
	margin         float64 // standard deviations of the forecast that are kept free
	learnsMargin   bool    // margin is learned, not configured
	fullShare      float64 // target share of requests that find the engine full
	mode           config.Forecast
	share          float64 // of the engine that this ledger may grant
	lease          time.Duration
	rows           map[request.Attempt]*row
	answers        forecast.Answers     // by the part of the requested maximum
	estimates      forecast.Estimates   // by the callers' estimates
	stepPace       forecast.RunningMean // learned factor on the configured time of a step
	paceChangeSeen int                  // consecutive lists that showed another pace
	ended          map[request.Attempt]time.Time
	byIDHash       map[uint64]request.Attempt

	refused map[request.ID]refusedRequest

	typical        forecast.Typical
	waitComputedAt time.Time
	wait           time.Duration
}

// New returns the ledger of an engine of which the given share may be granted.
func New(v *config.View, spec *config.Endpoint, share float64) *Ledger {
	l := &Ledger{rows: map[request.Attempt]*row{}, refused: map[request.ID]refusedRequest{}, estimates: forecast.NewEstimates(),
		ended: map[request.Attempt]time.Time{}, byIDHash: map[uint64]request.Attempt{}}
	l.Configure(v, spec, share)
	return l
}

// Configure applies the sizes of a configuration revision.
func (l *Ledger) Configure(v *config.View, spec *config.Endpoint, share float64) {
	l.spec, l.share = spec, share
	l.slots = max(1, int(float64(route.BatchLimit(spec, v.Doc.Targets.TPOT()))*share))
	l.mode, l.learnsMargin, l.fullShare = v.Doc.Policy.Forecast, true, v.FullEngineShare()
	if m := v.Doc.Policy.MarginSD; m != nil {
		l.margin, l.learnsMargin = *m, false
	}
	l.lease = config.Millis(v.Doc.Policy.LeaseMillis)
	if m := v.Models[spec.Model]; m != nil {
		l.kvBytes = m.KVBytesPerToken
	}
}

// step returns the current estimate of the time of a decode step.
func (l *Ledger) step() time.Duration {
	step := route.StepTime(l.spec, len(l.rows))
	if l.stepPace.Weight > 0 {
		step = time.Duration(float64(step) * l.stepPace.Mean)
	}
	return max(step, time.Microsecond)
}

// occupancy is what an engine holds at a time: expected values, and the variances around them.
type occupancy struct {
	tokens, tokensVar float64
	n, nVar           float64
}

// at returns the forecast occupancy at a time.
func (l *Ledger) at(now, t time.Time) occupancy {
	var o occupancy
	step := l.step()
	for _, r := range l.rows {
		p := l.holdProbability(r, now, t, step)
		o.tokens += p * float64(r.tokens)
		o.tokensVar += p * (1 - p) * float64(r.tokens) * float64(r.tokens)
		o.n += p
		o.nVar += p * (1 - p)
	}
	return o
}

// holdProbability returns how likely a row is to hold memory at a time.
func (l *Ledger) holdProbability(r *row, now, t time.Time, step time.Duration) float64 {
	if l.mode == config.ForecastHold {
		return 1
	}
	start, transferEnd := r.span(now)
	if start.After(t) {
		return 0
	}
	if !t.After(transferEnd) || !t.After(now) {
		return 1
	}
	decoded := func(t time.Time) float64 { return float64(t.Sub(transferEnd)) / float64(step) }
	if l.mode == config.ForecastPlain {
		if decoded(t) < max(float64(l.answers.Expect(r.maxAnswer)), decoded(now)+1) {
			return 1
		}
		return 0
	}
	alive := 1.0
	if now.After(transferEnd) {
		alive = l.answers.Survival(decoded(now), r.maxAnswer)
	}
	if alive < minSurvival {
		// It has outlived its forecast and may end at any time.
		return math.Exp(-float64(t.Sub(now)) / float64(overrun))
	}
	return l.answers.Survival(decoded(t), r.maxAnswer) / alive
}

const (
	minSurvival = 0.01                   // probability below which the forecast says nothing more
	overrun     = 300 * time.Millisecond // mean time to the end after that
)

// fits reports whether a request fits at a time.
func (l *Ledger) fits(now, t time.Time, tokens int) bool {
	o := l.at(now, t)
	z := 0.0
	if l.mode == config.ForecastMargin {
		z = l.margin
	}
	return o.tokens+z*math.Sqrt(o.tokensVar)+float64(tokens) <= float64(l.spec.MemoryTokens)*l.share &&
		o.n+z*math.Sqrt(o.nVar)+1 <= float64(l.slots)
}

// linkFrom returns the first time from t on at which the link into the engine is free for d.
func (l *Ledger) linkFrom(t time.Time, d time.Duration) time.Time {
	for again := true; again; {
		again = false
		for _, r := range l.rows {
			if r.start.Before(t.Add(d)) && r.transferEnd.After(t) && r.transferEnd.After(r.start) {
				t, again = r.transferEnd, true
			}
		}
	}
	return t
}

// searchStep is the resolution of the search for a time with enough free memory. searchBeyond is
// how far the search continues past the time that the request can wait, to tell it when to come
// back.
const (
	searchStep   = 40 * time.Millisecond
	searchBeyond = 2 * time.Second
)

// Reserve finds the first time at which the request fits, or refuses it with the time after which
// it would fit.
func (l *Ledger) Reserve(now time.Time, a Request, weights func(uint32) float64) (time.Time, *result.Error) {
	l.expire(now)
	if l.spec.GrowsMemory {
		return l.reserveGrowing(now, a)
	}
	tokens := a.Tokens + a.MaxAnswer
	l.typical.Learn(a.Tokens, a.MaxAnswer, a.Expected)
	wanted := now.Add(a.PrefillIn)
	latest := wanted.Add(a.Slack)
	transfer := route.LinkTime(l.spec, a.Bytes)
	reserved := l.reservedForOthers(now, a, weights)
	stay := transfer + time.Duration(l.answers.Expect(a.MaxAnswer))*l.step()
	blocked := l.blockedTimes(now, tokens+reserved)
	for t := wanted; t.Before(latest.Add(searchBeyond)); t = t.Add(searchStep) {
		at := l.linkFrom(t, transfer)
		if !l.fits(now, at, tokens+reserved) || anyWithin(blocked, at, at.Add(stay)) {
			continue
		}
		if at.After(latest) {
			return time.Time{}, l.refuse(now, a, latest.Sub(now), at.Sub(latest))
		}
		if !l.fair(now, at, a.Team, tokens, weights) {
			return time.Time{}, result.Errorf(result.NoDecodeMemory, "decode memory is nearly full and the team is above its share").After(searchBeyond)
		}
		l.add(a, at, at.Add(transfer), at.Add(l.lease))
		return at, nil
	}
	return time.Time{}, l.refuse(now, a, latest.Sub(now), searchBeyond)
}

// blockedTimes returns the future start times of granted reservations that would not fit beside so
// many more tokens.
func (l *Ledger) blockedTimes(now time.Time, tokens int) []time.Time {
	var times []time.Time
	for _, r := range l.rows {
		if r.start.After(now) && !l.fits(now, r.start, tokens) {
			times = append(times, r.start)
		}
	}
	return times
}

// anyWithin reports whether one of the times lies between from and to.
func anyWithin(times []time.Time, from, to time.Time) bool {
	for _, m := range times {
		if m.After(from) && m.Before(to) {
			return true
		}
	}
	return false
}

// End describes how an attempt ended.
type End struct {
	Attempt  request.Attempt
	Complete bool          // the answer is complete; otherwise nothing is learned
	Answer   int           // tokens decoded
	Max      int           // tokens requested at most
	Expected int           // tokens estimated by the caller; 0: none
	Waited   bool          // the engine was full when the request came
	Took     time.Duration // from the first event to the last
}

// Release drops an attempt's row and learns from its answer.
func (l *Ledger) Release(now time.Time, e End) {
	if e.Complete {
		l.answers.Learn(e.Answer, e.Max)
		l.estimates.Learn(e.Answer, e.Expected)
		l.learnMargin(e.Waited)
		l.learnPace(e.Answer, e.Took)
	}
	l.ended[e.Attempt] = now
	if l.rows[e.Attempt] != nil {
		if idHash := l.rows[e.Attempt].idHash; idHash != 0 {
			l.ended[listedAttempt(idHash)] = now
		}
	}
	l.drop(e.Attempt)
}

// waitStep and maxWait are the resolution and the range of the search for the wait of a typical
// request; waitKept is how long its result is reused.
const (
	waitStep = 100 * time.Millisecond
	maxWait  = 3 * time.Second
	waitKept = 50 * time.Millisecond
)

// Wait returns how long a request of typical size waits for memory.
func (l *Ledger) Wait(now time.Time) time.Duration {
	if now.Sub(l.waitComputedAt) < waitKept {
		return l.wait
	}
	l.waitComputedAt, l.wait = now, maxWait
	if l.spec.GrowsMemory {
		l.wait = l.waitGrowing(now)
		return l.wait
	}
	for d := time.Duration(0); d < maxWait; d += waitStep {
		if l.fits(now, now.Add(d), l.typical.Prompt()+l.typical.Answer()) {
			l.wait = d
			break
		}
	}
	return l.wait
}

// Free returns what a new request would find now: free tokens, free slots and how long the link is
// busy.
func (l *Ledger) Free(now time.Time) (tokens, slots int, link time.Duration) {
	l.expire(now)
	o := l.at(now, now)
	if l.spec.GrowsMemory {
		o = l.growingAt(now, now)
	}
	return int(float64(l.spec.MemoryTokens)*l.share - o.tokens), l.slots - int(o.n), l.linkFrom(now, time.Millisecond).Sub(now)
}

// Len returns the number of rows: reservations and what the engine holds.
func (l *Ledger) Len() int { return len(l.rows) }
