package owner

import (
	"math"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/forecast"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// row is a reservation of decode memory, or a request that the engine holds.
type row struct {
	attempt   request.Attempt
	team      uint32
	tokens    int // prompt and the answer asked for
	prompt    int
	maxAnswer int
	expected  int       // answer by the caller's guess; 0: none
	mark      uint64    // of the id by which the engine lists it; 0: the attempt itself
	start     time.Time // when the engine's memory is taken: the transfer begins
	moved     time.Time // end of the transfer
	held      int       // tokens that the engine's last list told of
	listed    time.Time // when that came
	lease     time.Time // until when it stands without being seen at the engine
	seen      bool      // the engine's own list has it
}

// span returns when the row's transfer begins and ends. A request that the
// engine hasn't shown yet can't have begun before now, whatever was forecast.
func (r *row) span(now time.Time) (start, moved time.Time) {
	if r.seen || r.start.After(now) {
		return r.start, r.moved
	}
	return now, now.Add(r.moved.Sub(r.start))
}

// ledger is an owner's account of one decode engine's memory and of the link
// into it. It is not safe for concurrent use; Book locks it.
//
// What it grants is a forecast. The engine's admission is the last word.
type ledger struct {
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

func newLedger(v *config.View, spec *config.Endpoint, share float64) *ledger {
	l := &ledger{rows: map[request.Attempt]*row{}, wants: map[request.ID]want{}, guessed: forecast.NewGuesses(),
		ended: map[request.Attempt]time.Time{}, marked: map[uint64]request.Attempt{}}
	l.fit(v, spec, share)
	return l
}

// fit takes over the sizes of a revision.
func (l *ledger) fit(v *config.View, spec *config.Endpoint, share float64) {
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

// expire drops reservations that were never taken up. What the engine holds
// stays, however long its holder has been silent.
func (l *ledger) expire(now time.Time) {
	for a, r := range l.rows {
		if !r.seen && now.After(r.lease) {
			l.drop(a)
		}
	}
}

// drop forgets a row.
func (l *ledger) drop(a request.Attempt) {
	if r := l.rows[a]; r != nil && r.mark != 0 {
		delete(l.marked, r.mark)
	}
	delete(l.rows, a)
}

// step is the time of a decode step as things are.
func (l *ledger) step() time.Duration {
	step := route.StepTime(l.spec, len(l.rows))
	if l.pace.Weight > 0 {
		step = time.Duration(float64(step) * l.pace.Mean)
	}
	return max(step, time.Microsecond)
}

// want is a request that was refused for lack of room and is expected to ask
// again. Room is left for it by teams that hold more than its own.
type want struct {
	team   uint32
	tokens int
	until  time.Time
}

// wantKept is how much longer than it was told to wait a request's want is
// remembered.
const wantKept = 300 * time.Millisecond

// heldBy returns the memory that a team holds, for each unit of its weight.
func (l *ledger) heldBy(team uint32, weights func(uint32) float64) float64 {
	sum := 0
	for _, r := range l.rows {
		if r.team == team {
			sum += r.tokens
		}
	}
	return float64(sum) / weights(team)
}

// owed returns the room that a request has to leave for others that were
// refused before and whose teams hold less.
func (l *ledger) owed(now time.Time, a ReserveArgs, weights func(uint32) float64) int {
	owed, own := 0, l.heldBy(a.Team, weights)
	for id, w := range l.wants {
		switch {
		case now.After(w.until) || id == a.Attempt.ID:
			delete(l.wants, id)
		case w.team != a.Team && l.heldBy(w.team, weights) < own:
			owed += w.tokens
		}
	}
	return owed
}

// occupancy is what holds an engine at a moment: expected values, and the
// variances around them.
type occupancy struct {
	tokens, tokensVar float64
	n, nVar           float64
}

// at returns the occupancy forecast for a moment.
func (l *ledger) at(now, t time.Time) occupancy {
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
func (l *ledger) chance(r *row, now, t time.Time, step time.Duration) float64 {
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
func (l *ledger) fits(now, t time.Time, tokens int) bool {
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
func (l *ledger) linkFrom(t time.Time, d time.Duration) time.Time {
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

// fairShareFrom is the share of the memory above which a team gets no more than
// its fair part.
const fairShareFrom = 0.85

// fair reports whether a team may take more at a moment: below fairShareFrom
// anyone may, above it only who stays within the fair part of the teams that
// are there.
func (l *ledger) fair(now, at time.Time, team uint32, tokens int, weights func(uint32) float64) bool {
	room := float64(l.spec.MemoryTokens) * l.share
	if l.at(now, at).tokens+float64(tokens) <= fairShareFrom*room {
		return true
	}
	own, sum := tokens, weights(team)
	seen := map[uint32]bool{team: true}
	for _, r := range l.rows {
		if r.team == team {
			own += r.tokens
		} else if !seen[r.team] {
			seen[r.team] = true
			sum += weights(r.team)
		}
	}
	return len(seen) == 1 || float64(own) <= room*weights(team)/sum
}

// searchStep is the grain in which a moment with room is looked for, and
// searchBeyond how much further than the request can wait, to tell it when
// to come back.
const (
	searchStep   = 40 * time.Millisecond
	searchBeyond = 2 * time.Second
)

// reserve finds the first moment at which the request fits, or refuses with
// the time after which it would.
func (l *ledger) reserve(now time.Time, a ReserveArgs, weights func(uint32) float64) (time.Time, *result.Error) {
	l.expire(now)
	if l.spec.GrowsMemory {
		return l.reserveGrowing(now, a)
	}
	tokens := a.Tokens + a.MaxAnswer
	l.usual.Learn(a.Tokens, a.MaxAnswer, a.Expected)
	wanted := now.Add(duration(a.InMillis))
	latest := wanted.Add(duration(a.Slack))
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
			return time.Time{}, result.Errorf(result.NoDecodeMemory, "decode memory is fairShareFrom and the team is above its share").After(searchBeyond)
		}
		l.add(a, at, at.Add(move), at.Add(l.lease))
		return at, nil
	}
	return time.Time{}, l.refuse(now, a, latest.Sub(now), searchBeyond)
}

// add enters a reservation.
func (l *ledger) add(a ReserveArgs, start, moved, lease time.Time) {
	l.rows[a.Attempt] = &row{attempt: a.Attempt, team: a.Team, tokens: a.Tokens + a.MaxAnswer, prompt: a.Tokens,
		maxAnswer: a.MaxAnswer, expected: a.Expected, mark: a.Mark, start: start, moved: moved, lease: lease}
	if a.Mark != 0 {
		l.marked[a.Mark] = a.Attempt
	}
}

// taken lists the moments to come at which reservations that were granted
// leave no room for so many tokens more.
func (l *ledger) taken(now time.Time, tokens int) []time.Time {
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

// refuse refuses a request and remembers that it wants room.
func (l *ledger) refuse(now time.Time, a ReserveArgs, within, back time.Duration) *result.Error {
	l.wants[a.Attempt.ID] = want{team: a.Team, tokens: a.Tokens + a.MaxAnswer, until: now.Add(back + wantKept)}
	return result.Errorf(result.NoDecodeMemory, "no decode memory on %s within %s", l.spec.Name, within).After(back)
}

// release drops an attempt's row and learns from its answer.
func (l *ledger) release(now time.Time, r Release) {
	if r.Outcome == Done {
		l.answers.Learn(r.Answer, r.Max)
		l.guessed.Learn(r.Answer, r.Expected)
		l.learnMargin(r.Waited)
		l.learnPace(r.Answer, r.Millis)
	}
	l.ended[r.Attempt] = now
	if l.rows[r.Attempt] != nil {
		if mark := l.rows[r.Attempt].mark; mark != 0 {
			l.ended[listedAs(mark)] = now
		}
	}
	l.drop(r.Attempt)
}

// listedAs is the attempt that stands for a request which the engine lists
// under another id than the attempt's.
func listedAs(mark uint64) request.Attempt {
	return request.Attempt{ID: request.ID{Counter: mark}}
}

// Steps and bounds of the learned margin, in standard deviations.
const (
	marginStep  = 0.10
	marginLeast = -3.0
	marginMost  = 2.0
)

// learnMargin moves the margin so that in the long run the share of requests
// that find the engine full is the one asked for.
func (l *ledger) learnMargin(waited bool) {
	if !l.learns {
		return
	}
	step := -marginStep * l.full / (1 - l.full)
	if waited {
		step = marginStep
	}
	l.margin = min(marginMost, max(marginLeast, l.margin+step))
}

// waitStep and waitMost bound how finely and how far the wait of a usual
// request is looked for; waitKept is how long the finding stands.
const (
	waitStep = 100 * time.Millisecond
	waitMost = 3 * time.Second
	waitKept = 50 * time.Millisecond
)

// wait returns how long a request of the usual size waits for room.
func (l *ledger) wait(now time.Time) time.Duration {
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

// free returns what a new request would find now: tokens, slots and how long
// the link is taken.
func (l *ledger) free(now time.Time) (tokens, slots int, link time.Duration) {
	l.expire(now)
	o := l.at(now, now)
	if l.spec.GrowsMemory {
		o = l.grown(now, now)
	}
	return int(float64(l.spec.MemoryTokens)*l.share - o.tokens), l.slots - int(o.n), l.linkFrom(now, time.Millisecond).Sub(now)
}
