package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// write has the answer written from a prompt that was read, moving to other
// decode engines while the result is kept, and relays it.
func (e *Entry) write(ctx context.Context, j *job, p *plan, kv *endpoint.Transfer) error {
	lapses := time.Now().Add(forever)
	if kv != nil {
		lapses = time.Now().Add(kept(kv))
	}
	full, lost := 0, 0
	p.open = j.pick.Exclude
	defer func() { e.dropCopy(j, p) }()
	for {
		for b := e.bars(j, p.dec); b != route.BarNone; b = e.bars(j, p.dec) {
			if err := e.moveFrom(ctx, j, p, kv, lapses, b); err != nil {
				return err
			}
		}
		elsewhere, refusal := e.mayRunAt(ctx, j, p.dec, quarantine.Running)
		if refusal != nil {
			e.discard(j, p, kv)
			return waitsOn(refusal, p.dec)
		}
		if elsewhere {
			if err := e.moveFrom(ctx, j, p, kv, lapses, route.BarTrial); err != nil {
				return err
			}
			continue
		}
		e.secure(ctx, j, p) // before the start, which lapses
		if r := e.startHeld(ctx, j, p.dec, &p.held); r != nil {
			if err := e.moveFrom(ctx, j, p, kv, lapses, r.bar); err != nil {
				return err
			}
			continue
		}
		before := j.out.pieces()
		err := e.decodeOnce(ctx, j, p, kv)
		if err != nil {
			err = e.goOn(ctx, j, p, err, j.out.pieces() > before)
		}
		if err == nil {
			e.board.Requests.Close(p.decodeBy)
			e.budgets.Earn(j.team.Name, p.dec.Name, j.view.Doc.Limits.RetryShare)
			return nil
		}
		var stalled *stallError
		switch {
		case ctx.Err() != nil:
			e.discard(j, p, kv)
			return asResult(ctx.Err())
		case j.out.pieces() > before: // pieces were relayed: the result is used up
			return e.failed(p.dec, err)
		case endpoint.Unreachable(err), endpoint.Elsewhere(err):
			e.moveOn(ctx, j, p, owner.Failed, true)
		case !endpoint.MayHaveRun(err) && p.kept:
			e.releaseDecode(j, p, owner.Rejected)
			return e.failed(p.dec, err)
		case !endpoint.MayHaveRun(err):
			full++
			p.waited = true
			if e.mayBeLost(j, p, kv) {
				lost++
				e.doubtResult(p)
			}
			if lost == lostAfter {
				e.discard(j, p, kv)
				return e.resultLost(p)
			}
			if e.budgets.Windowed() {
				e.moveOn(ctx, j, p, owner.Rejected, true)
			}
		case errors.As(err, &stalled) && !j.repeatable:
			// Nothing was written; but the engine may have begun since.
			e.discard(j, p, kv)
			return e.failed(p.dec, err)
		case errors.As(err, &stalled):
			e.moveOn(ctx, j, p, owner.Failed, stalledBefore(p))
		default:
			if !j.repeatable || j.attempts >= j.mostAttempts() || j.ended >= mostEndsOfAttempt {
				e.discard(j, p, kv)
				return e.failed(p.dec, err)
			}
			e.moveOn(ctx, j, p, owner.Failed, true)
		}
		if time.Until(lapses) < lastMoment || p.dec == nil || !e.sendsAgain(j) {
			e.drop(j, p, kv)
			if p.dec != nil {
				e.releaseDecode(j, p, owner.GivenUp)
			}
			return e.wasted(j, p, err)
		}
		if !e.budgets.Windowed() && full > 0 && full%fullBeforeMove == 0 {
			e.moveIfRoom(ctx, j, p)
		}
		pause := max(fullWait/2+rand.N(fullWait), time.Until(p.start))
		if !wait.For(ctx, min(pause, time.Until(lapses))) {
			e.discard(j, p, kv)
			return asResult(ctx.Err())
		}
	}
}

// lostAfter is how many decode engines must refuse a result, each of which had
// room for it, until it is taken for lost where it was read.
const lostAfter = 2

// mayBeLost reports whether a result that the decode engine refused may be gone
// where it was read: the engine granted memory for the request and has room for
// another like it, so that it can hardly have refused it as full. Where reading
// counts as a run the prompt is not read again in any case.
func (e *Entry) mayBeLost(j *job, p *plan, kv *endpoint.Transfer) (room bool) {
	if kv == nil || !p.reserved || e.traits.ReadingRuns {
		return false
	}
	e.board.Endpoints.Touch(route.Number(p.dec.Name), func(s *route.State) {
		room = int(s.Digest.FreeTokens) >= j.tokens && s.Digest.FreeSlots > 0
	})
	return room
}

// doubtResult notes that a decode engine with room refused a result. Either its
// owner was wrong, which happens with results of any prefill engine, or the
// result is gone, which singles out the one that read.
func (e *Entry) doubtResult(p *plan) {
	number, now := route.Number(p.pre.Name), time.Now()
	e.board.Endpoints.Touch(number, func(s *route.State) { s.Seen.Note(now, route.SightFailed, 0) })
	e.owners.Release(p.pre, owner.Release{Attempt: p.readBy, Endpoint: number, Outcome: owner.Failed})
}

// resultLost is the failure of a try whose result is gone. Nothing of the
// request has run, so another prefill engine may read its prompt.
func (e *Entry) resultLost(p *plan) error {
	refusal := result.Errorf(result.NoDecodeMemory, "%d decode engines refused what %s had read", lostAfter, p.pre.Name).After(time.Second)
	return &retryable{name: p.pre.Name, refusal: refusal}
}

// sendsAgain spends what one more call to a decode engine costs where further
// calls are counted.
func (e *Entry) sendsAgain(j *job) bool {
	return j.sends == 0 || e.budgets.Further(j.pool, time.Now(), 1)
}

const (
	lastMoment     = 100 * time.Millisecond // of the time a result is kept
	fullWait       = 20 * time.Millisecond  // between asks at a full engine
	fullBeforeMove = 8                      // asks at a full engine before another is tried
	forever        = 24 * time.Hour         // for which a prompt that needs no result is good
)

// stalledBefore reports whether this engine already stalled a transfer of
// the job: the first is retried in place, the next moves on.
func stalledBefore(p *plan) bool {
	p.stalls++
	return p.stalls > 1
}

// moveIfRoom moves a request that waits at a full engine to another, if that
// one's owner grants room; else the request keeps its place.
func (e *Entry) moveIfRoom(ctx context.Context, j *job, p *plan) {
	old := *p
	j.pick.Drop(route.Number(p.dec.Name))
	c, _ := e.choose(j, 0)
	if c.Decode == nil {
		return
	}
	p.dec, p.Move = c.Decode, c.Move
	if refusal := e.reserve(ctx, j, p, 0); refusal != nil || !p.reserved {
		e.board.Requests.Close(p.decodeBy)
		*p = old
		return
	}
	e.releaseDecode(j, &old, owner.Rejected)
}

// moveOn finds the job's result another decode engine, or the same one anew
// when move is false. p.dec is nil when there is none.
func (e *Entry) moveOn(ctx context.Context, j *job, p *plan, as owner.Outcome, move bool) {
	e.releaseDecode(j, p, as)
	p.lastDec = p.dec
	if !move {
		p.decodeBy = e.board.Requests.Open(j.id)
		return
	}
	j.pick.Drop(route.Number(p.dec.Name))
	e.findDecode(ctx, j, p)
}

// findDecode finds the job's result a decode engine that isn't left out. p.dec is nil when
// there is none.
func (e *Entry) findDecode(ctx context.Context, j *job, p *plan) {
	p.dec = nil
	c, _ := e.chooseDecode(j)
	if c.Decode == nil {
		p.decodeBy = e.board.Requests.Open(j.id)
		return
	}
	p.stalls = 0
	p.dec, p.Move = c.Decode, c.Move
	p.Wait, p.Read = 0, 0
	if refusal := e.reserve(ctx, j, p, 0); refusal != nil {
		p.decodeBy = e.board.Requests.Open(j.id) // its admission decides
	}
}

// wasted is the failure of a try whose prompt was read for nothing. Where
// reading is no run, nothing of the request has run; it is not read again, as
// that would hardly find more room.
func (e *Entry) wasted(j *job, p *plan, err error) error {
	spec := p.lastOr(p.dec)
	if !e.traits.ReadingRuns && !j.ran {
		return result.Errorf(result.NoDecodeMemory, "%s and others had no room once the prompt was read", spec.Name).After(time.Second)
	}
	r := e.failed(spec, err)
	r.stay = true
	r.mayHaveRun = true
	r.refusal = result.Errorf(result.PrefillWasted, "no decode engine took the request while its prompt was kept").After(time.Second)
	return r
}

// stallError is a stream that made no progress.
type stallError struct{ phase blackboard.Phase }

// Error implements the error interface.
func (s *stallError) Error() string { return "no progress in " + string(s.phase) }
