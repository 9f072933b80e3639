package owner

import (
	"sort"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// row is a reservation of decode memory, or a request that the engine holds.
type row struct {
	attempt   request.Attempt
	team      uint32
	tokens    int // prompt and the answer asked for
	maxAnswer int
	start     time.Time // when the engine's memory is taken
	end       time.Time // forecast
	moved     time.Time // end of the transfer; start is its beginning
	lease     time.Time // until when it stands without being seen at the engine
	seen      bool      // the engine's own list has it
}

// ledger is an owner's account of one decode engine's memory and of the link
// into it. It is not safe for concurrent use; Book locks it.
//
// What it grants is a forecast. The engine's admission is the last word.
type ledger struct {
	spec     *config.Endpoint
	kvBytes  int64
	slots    int     // that keep the time per token within its target
	overbook float64 // share by which later moments may exceed the memory
	mode     config.Forecast
	share    float64 // of the engine that this ledger may give out
	lease    time.Duration
	rows     map[request.Attempt]*row
	answers  answerForecast
}

func newLedger(v *config.View, spec *config.Endpoint, share float64) *ledger {
	l := &ledger{rows: map[request.Attempt]*row{}}
	l.fit(v, spec, share)
	return l
}

// fit takes over the sizes of a revision.
func (l *ledger) fit(v *config.View, spec *config.Endpoint, share float64) {
	l.spec, l.share = spec, share
	l.slots = max(1, int(float64(route.BatchLimit(spec, v.Doc.Targets.TPOT()))*share))
	l.mode = v.Doc.Policy.Forecast
	l.overbook = 0
	if l.mode == config.ForecastMargin {
		l.overbook = v.Overbook()
	}
	l.lease = config.Millis(v.Doc.Policy.LeaseMillis)
	if m := v.Models[spec.Model]; m != nil {
		l.kvBytes = m.KVBytesPerToken
	}
}

// overrun is how much longer a request is expected to last that has outlived
// its forecast.
const overrun = 250 * time.Millisecond

func (r *row) ends(now time.Time) time.Time {
	if late := now.Add(overrun); r.end.Before(late) && r.start.Before(now) {
		return late
	}
	return r.end
}

// expire drops reservations that were never taken up. What the engine holds
// stays, however long its holder has been silent.
func (l *ledger) expire(now time.Time) {
	for a, r := range l.rows {
		if !r.seen && now.After(r.lease) {
			delete(l.rows, a)
		}
	}
}

// used returns the tokens and requests that hold memory at a moment.
func (l *ledger) used(now, at time.Time) (tokens, n int) {
	for _, r := range l.rows {
		if !r.start.After(at) && r.ends(now).After(at) {
			tokens += r.tokens
			n++
		}
	}
	return tokens, n
}

// room returns the limits for a moment: what the engine has now, more for
// moments by which some requests will have ended sooner than forecast.
func (l *ledger) room(now, at time.Time) (tokens, n int) {
	factor := l.share
	if at.Sub(now) > overrun/2 {
		factor *= 1 + l.overbook
	}
	return int(float64(l.spec.MemoryTokens) * factor), max(1, int(float64(l.slots)*(factor/l.share)))
}

// fits reports whether a request has room from start to end.
func (l *ledger) fits(now, start, end time.Time, tokens int) bool {
	if !l.fitsAt(now, start, tokens) {
		return false
	}
	for _, r := range l.rows {
		if r.start.After(start) && r.start.Before(end) && !l.fitsAt(now, r.start, tokens) {
			return false
		}
	}
	return true
}

func (l *ledger) fitsAt(now, at time.Time, tokens int) bool {
	used, n := l.used(now, at)
	room, slots := l.room(now, at)
	return used+tokens <= room && n+1 <= slots
}

// linkFrom returns the first moment from t on at which the link into the
// engine is free for d.
func (l *ledger) linkFrom(t time.Time, d time.Duration) time.Time {
	for moved := true; moved; {
		moved = false
		for _, r := range l.rows {
			if r.start.Before(t.Add(d)) && r.moved.After(t) && r.moved.After(r.start) {
				t, moved = r.moved, true
			}
		}
	}
	return t
}

// crowded is the share of the memory above which a team gets no more than
// its fair part.
const crowded = 0.85

// fair reports whether a team may take more at a moment: below crowded
// anyone may, above it only who stays within the fair part of the teams that
// are there.
func (l *ledger) fair(now, at time.Time, team uint32, weight float64, tokens int, weights func(uint32) float64) bool {
	used, _ := l.used(now, at)
	room, _ := l.room(now, at)
	if float64(used+tokens) <= crowded*float64(room) {
		return true
	}
	own, sum := tokens, weight
	seen := map[uint32]bool{team: true}
	for _, r := range l.rows {
		if r.team == team {
			own += r.tokens
		} else if !seen[r.team] {
			seen[r.team] = true
			sum += weights(r.team)
		}
	}
	return len(seen) == 1 || float64(own) <= float64(room)*weight/sum
}

// reserve finds the first moment at which the request fits, or refuses. The
// answer's time in the engine is forecast from what was learned.
func (l *ledger) reserve(now time.Time, a ReserveArgs, weights func(uint32) float64) (time.Time, *result.Error) {
	l.expire(now)
	tokens := a.Tokens + a.MaxAnswer
	wanted := now.Add(duration(a.InMillis))
	latest := wanted.Add(duration(a.Slack))
	move := route.LinkTime(l.spec, a.Bytes)
	_, batch := l.used(now, wanted)
	stay := move + time.Duration(l.answers.expect(a.MaxAnswer))*route.StepTime(l.spec, batch+1)
	hold := func(at time.Time) time.Time {
		if l.mode == config.ForecastHold {
			return now
		}
		return at
	}
	var soonest time.Time
	for _, t := range l.moments(now, wanted) {
		at := l.linkFrom(t, move)
		if !l.fits(now, hold(at), at.Add(stay), tokens) {
			continue
		}
		if soonest.IsZero() || at.Before(soonest) {
			soonest = at
		}
		if at.After(latest) {
			break
		}
		if !l.fair(now, at, a.Team, weights(a.Team), tokens, weights) {
			return time.Time{}, result.Errorf(result.NoDecodeMemory, "decode memory is crowded and the team is above its share").After(stay)
		}
		l.rows[a.Attempt] = &row{attempt: a.Attempt, team: a.Team, tokens: tokens, maxAnswer: a.MaxAnswer, start: hold(at),
			end: at.Add(stay), moved: at.Add(move), lease: at.Add(l.lease)}
		return at, nil
	}
	back := stay
	if !soonest.IsZero() {
		back = soonest.Sub(latest)
	}
	return time.Time{}, result.Errorf(result.NoDecodeMemory, "no decode memory on %s within %s", l.spec.Name, latest.Sub(now)).After(back)
}

// moments lists when a request might start: when it wants to, and whenever
// another is forecast to end.
func (l *ledger) moments(now, wanted time.Time) []time.Time {
	out := []time.Time{wanted}
	for _, r := range l.rows {
		if e := r.ends(now); e.After(wanted) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Before(out[j]) })
	return out
}

// release drops an attempt's row and learns from its answer.
func (l *ledger) release(r Release) {
	if r.Outcome == Done {
		l.answers.learn(r.Answer, r.Max)
	}
	delete(l.rows, r.Attempt)
}

// listed takes in the engine's own list: what it holds counts, and what it
// no longer holds doesn't.
func (l *ledger) listed(now time.Time, list map[request.Attempt]int) {
	for a, tokens := range list {
		r := l.rows[a]
		if r == nil {
			stay := time.Duration(l.answers.expect(tokens/4)) * route.StepTime(l.spec, len(list))
			r = &row{attempt: a, tokens: tokens, start: now, end: now.Add(stay)}
			l.rows[a] = r
		}
		r.seen = true
		if r.start.After(now) {
			r.start = now
		}
	}
	for a, r := range l.rows {
		if _, there := list[a]; r.seen && !there {
			delete(l.rows, a)
		}
	}
}

// free returns what a new request would find shortly: tokens, slots and how
// long the link is taken.
func (l *ledger) free(now time.Time) (tokens, slots int, link time.Duration) {
	l.expire(now)
	used, n := l.used(now, now)
	link = l.linkFrom(now, time.Millisecond).Sub(now)
	return int(float64(l.spec.MemoryTokens)*l.share) - used, l.slots - n, link
}
