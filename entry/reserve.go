package entry

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// reserveAny reserves decode memory on the best engine that grants it, for
// the end of the prefill.
func (e *Entry) reserveAny(ctx context.Context, j *job, p *plan) *result.Error {
	fixed := route.Number(p.pre.Name)
	choose := func(j *job) (route.Choice, *config.View) {
		c, v := e.choose(j, fixed)
		if c.Decode == nil { // the prefill engine may have left since it called
			return e.chooseDecode(j)
		}
		return c, v
	}
	return e.reserveFrom(ctx, j, p, choose, p.Read)
}

// reserveFrom reserves decode memory on the first engine that grants it, of
// those that choose names one after the other. The refusal it returns has the
// soonest time at which one would.
func (e *Entry) reserveFrom(ctx context.Context, j *job, p *plan, choose func(*job) (route.Choice, *config.View), in time.Duration) *result.Error {
	e.setPhase(j, blackboard.PhaseReserve, nil)
	var last *result.Error
	for asks := 0; asks < decodeAsks; {
		c, v := choose(j)
		if c.Decode == nil {
			break
		}
		p.dec, p.Move = c.Decode, c.Move
		refusal := e.reserve(ctx, j, p, in)
		if refusal == nil || ctx.Err() != nil {
			return refusal
		}
		e.logRefused(j, p.dec, string(blackboard.PhaseReserve), refusal, c.Age)
		if lack := lackOf(refusal, last); last == nil || lack.RetryAfter < last.RetryAfter {
			last = lack
		}
		j.pick.Drop(route.Number(p.dec.Name))
		if refusal.Code == result.Evacuated {
			asks += j.heardEmptied(v, p.dec)
		} else {
			asks++
		}
	}
	if last == nil {
		last = e.nowhere(j, "decode endpoint", decodeList)
	}
	return last
}

// reserve asks for decode memory at the time the prefill will end.
func (e *Entry) reserve(ctx context.Context, j *job, p *plan, in time.Duration) *result.Error {
	a := owner.ReserveArgs{Attempt: e.board.Requests.Open(j.id), Endpoint: route.Number(p.dec.Name), Tokens: j.tokens,
		MaxAnswer: j.work.MaxTokens, Expected: j.expected, Mark: j.mark, Bytes: int64(j.tokens) * kvBytes(j.view, j.work.Model),
		InMillis: ms(in), Slack: max(0, ms(j.slack()-in-p.Move-j.away.detour)), Team: j.teamNum, Priority: j.priority, Abroad: j.abroad()}
	p.decodeBy, p.reserved = a.Attempt, false
	now := time.Now()
	reply, err := e.owners.Reserve(ctx, p.dec, a)
	switch {
	case err != nil && ctx.Err() != nil:
		e.releaseDecode(j, p, owner.GivenUp)
		return asResult(ctx.Err())
	case err != nil: // the owner is out of reach: the engine's admission decides
		p.start = now.Add(in)
		return nil
	case reply.Code != result.OK:
		e.board.Requests.Close(a.Attempt)
		return result.Errorf(reply.Code, "no decode memory on %s in time", p.dec.Name).After(time.Duration(reply.Retry) * time.Millisecond)
	}
	p.reserved, p.start = true, now.Add(time.Duration(reply.InMillis)*time.Millisecond)
	if refusal := e.startAhead(ctx, j, p, in); refusal != nil {
		e.releaseDecode(j, p, owner.GivenUp)
		return refusal
	}
	return nil
}

// releaseDecode gives the decode reservation back.
func (e *Entry) releaseDecode(j *job, p *plan, o owner.Outcome) {
	e.owners.Release(p.dec, owner.Release{Attempt: p.decodeBy, Endpoint: route.Number(p.dec.Name), Outcome: o})
	e.board.Requests.Close(p.decodeBy)
}
