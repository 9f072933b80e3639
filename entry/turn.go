package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// requeueLater releases the prefill slot if the decode engine has memory only later, and
// waits for a later slot, so that the prefill engine's owner knows when the prompt really
// arrives. The memory stays reserved, unless there is no such slot.
func (e *Entry) requeueLater(ctx context.Context, j *job, p *plan) *result.Error {
	if p.prefillDelay() <= maxUnreportedWait {
		return nil
	}
	e.releasePrefill(p)
	refusal := e.enqueue(ctx, j, p, p.transferStart)
	if refusal != nil {
		e.releaseDecode(j, p, owner.Abandoned)
	}
	return refusal
}

// maxUnreportedWait is how long a prompt may be held back without a report to its prefill
// engine's owner, which grants slots about that much ahead of the engine anyway.
const maxUnreportedWait = 60 * time.Millisecond

// releasePrefill releases the slot at a prefill engine.
func (e *Entry) releasePrefill(p *plan) {
	e.owners.Release(p.prefillSpec, owner.Release{Attempt: p.prefillAttempt, Endpoint: route.Number(p.prefillSpec.Name), Outcome: owner.Abandoned})
}

// enqueue waits for a slot at the prefill engine.
func (e *Entry) enqueue(ctx context.Context, j *job, p *plan, notBefore time.Time) *result.Error {
	e.setPhase(j, blackboard.PhaseQueue, nil)
	p.prefillAttempt = e.board.Requests.Open(j.id)
	defer e.board.Requests.Close(p.prefillAttempt)
	a := owner.EnqueueArgs{Attempt: p.prefillAttempt, Endpoint: route.Number(p.prefillSpec.Name), Tokens: j.tokens, Head: j.criteria.Head,
		HasHead: j.criteria.HasHead, Slack: ms(j.slack() - p.TransferDuration - j.redirect.detour), NotYet: ms(time.Until(notBefore)),
		Team: j.teamNumber, Priority: j.priority, Abroad: j.redirected()}
	if p.prefillSpec.Registered {
		a.Expect = 1 + ms(p.QueueDuration) + max(0, a.NotYet)
	}
	reply, err := e.owners.Enqueue(ctx, p.prefillSpec, a)
	switch {
	case err != nil && j.redirected() && ctx.Err() == nil: // the queue of a remote engine is not known
		e.board.Regions.RecordMiss(config.NameNumber(j.redirect.region), time.Now())
		return result.Errorf(result.TooLate, "the owner of %s is unreachable", p.prefillSpec.Name).After(time.Second)
	case err != nil && errors.Is(err, peer.ErrUnreachable) && ctx.Err() == nil:
		if p.QueueDuration+p.PrefillDuration+p.TransferDuration > j.slack() {
			return result.Errorf(result.TooLate, "by the last report of %s the prefill would end too late", p.prefillSpec.Name).After(p.QueueDuration + p.PrefillDuration)
		}
		return nil
	case err != nil:
		return asResult(err)
	case reply.Code != result.OK:
		return result.Errorf(reply.Code, "%s can't prefill the prompt in time", p.prefillSpec.Name).After(time.Duration(reply.Retry) * time.Millisecond)
	}
	return nil
}

func ms(d time.Duration) int { return int(d.Milliseconds()) }
