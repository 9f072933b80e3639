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

// reserveAny reserves decode memory for the end of the prefill, on the best engine that
// grants it.
func (e *Entry) reserveAny(ctx context.Context, j *job, p *plan) *result.Error {
	fixed := route.Number(p.prefillSpec.Name)
	choose := func(j *job) (route.Choice, *config.View) {
		c, v := e.choosePair(j, fixed)
		if c.Decode == nil { // the prefill engine may have left since it granted the slot
			return e.chooseDecode(j)
		}
		return c, v
	}
	return e.reserveFrom(ctx, j, p, choose, p.PrefillDuration)
}

// reserveFrom reserves decode memory on the first engine that grants it, among those that
// choose returns one after the other. The refusal it returns has the earliest time at which
// one would.
func (e *Entry) reserveFrom(ctx context.Context, j *job, p *plan, choose func(*job) (route.Choice, *config.View), prefillIn time.Duration) *result.Error {
	e.setPhase(j, blackboard.PhaseReserve, nil)
	var last *result.Error
	for asks := 0; asks < maxReserveAsks; {
		c, v := choose(j)
		if c.Decode == nil {
			break
		}
		p.decodeSpec, p.TransferDuration = c.Decode, c.TransferDuration
		refusal := e.reserve(ctx, j, p, prefillIn)
		if refusal == nil || ctx.Err() != nil {
			return refusal
		}
		e.logRefused(j, p.decodeSpec, string(blackboard.PhaseReserve), refusal, c.DigestAge)
		if reported := placementRefusal(refusal, last); last == nil || reported.RetryAfter < last.RetryAfter {
			last = reported
		}
		j.criteria.AddExcluded(route.Number(p.decodeSpec.Name))
		if refusal.Code == result.Evacuated {
			asks += j.noteEvacuated(v, p.decodeSpec)
		} else {
			asks++
		}
	}
	if last == nil {
		last = e.noneEligible(j, "decode endpoint", decodeStates)
	}
	return last
}

// reserve asks the decode engine's owner for memory at the end of the prefill.
func (e *Entry) reserve(ctx context.Context, j *job, p *plan, prefillIn time.Duration) *result.Error {
	a := owner.ReserveArgs{Attempt: e.board.Requests.Open(j.id), Endpoint: route.Number(p.decodeSpec.Name), Tokens: j.tokens,
		MaxAnswer: j.work.MaxTokens, Expected: j.expected, Mark: j.engineID, Bytes: int64(j.tokens) * kvBytesPerToken(j.view, j.work.Model),
		InMillis: ms(prefillIn), Slack: max(0, ms(j.slack()-prefillIn-p.TransferDuration-j.redirect.detour)), Team: j.teamNumber, Priority: j.priority, Abroad: j.redirected()}
	p.decodeAttempt, p.reserved = a.Attempt, false
	now := time.Now()
	reply, err := e.owners.Reserve(ctx, p.decodeSpec, a)
	switch {
	case err != nil && ctx.Err() != nil:
		e.releaseDecode(j, p, owner.Abandoned)
		return asResult(ctx.Err())
	case err != nil: // the owner is unreachable: the engine's own admission decides
		p.transferStart = now.Add(prefillIn)
		return nil
	case reply.Code == result.NoEndpoint:
		e.board.Requests.Close(a.Attempt)
		return result.Errorf(reply.Code, "%s is %s", p.decodeSpec.Name, route.ReasonDown).After(time.Duration(reply.Retry) * time.Millisecond)
	case reply.Code != result.OK:
		e.board.Requests.Close(a.Attempt)
		return result.Errorf(reply.Code, "no decode memory on %s in time", p.decodeSpec.Name).After(time.Duration(reply.Retry) * time.Millisecond)
	}
	p.reserved, p.transferStart = true, now.Add(time.Duration(reply.InMillis)*time.Millisecond)
	if refusal := e.acquireDecodePermit(ctx, j, p, prefillIn); refusal != nil {
		e.releaseDecode(j, p, owner.Abandoned)
		return refusal
	}
	return nil
}

// releaseDecode releases the decode reservation.
func (e *Entry) releaseDecode(j *job, p *plan, o owner.Outcome) {
	e.owners.Release(p.decodeSpec, owner.Release{Attempt: p.decodeAttempt, Endpoint: route.Number(p.decodeSpec.Name), Outcome: o})
	e.board.Requests.Close(p.decodeAttempt)
}
