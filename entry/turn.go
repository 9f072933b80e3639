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

// turnLater gives the turn back if the decode engine has room only later, and
// waits for another, so that the prefill engine's owner knows when it really
// gets the prompt. The room stays reserved, unless there is no such turn.
func (e *Entry) turnLater(ctx context.Context, j *job, p *plan) *result.Error {
	if p.early() <= shortWait {
		return nil
	}
	e.returnTurn(p)
	refusal := e.enqueue(ctx, j, p, p.start)
	if refusal != nil {
		e.releaseDecode(j, p, owner.GivenUp)
	}
	return refusal
}

// shortWait is how long a prompt may be held back without its prefill engine's
// owner being told: what the owner is ahead of the engine in any case.
const shortWait = 60 * time.Millisecond

// returnTurn returns the turn at a prefill engine that was called.
func (e *Entry) returnTurn(p *plan) {
	e.owners.Release(p.pre, owner.Release{Attempt: p.readBy, Endpoint: route.Number(p.pre.Name), Outcome: owner.GivenUp})
}

// enqueue waits for the prefill engine's turn.
func (e *Entry) enqueue(ctx context.Context, j *job, p *plan, notBefore time.Time) *result.Error {
	e.setPhase(j, blackboard.PhaseQueue, nil)
	p.readBy = e.board.Requests.Open(j.id)
	defer e.board.Requests.Close(p.readBy)
	a := owner.EnqueueArgs{Attempt: p.readBy, Endpoint: route.Number(p.pre.Name), Tokens: j.tokens, Head: j.pick.Head,
		HasHead: j.pick.HasHead, Slack: ms(j.slack() - p.Move - j.away.detour), NotYet: ms(time.Until(notBefore)),
		Team: j.teamNum, Priority: j.priority, Abroad: j.abroad()}
	if p.pre.Registered {
		a.Expect = 1 + ms(p.Wait) + max(0, a.NotYet)
	}
	reply, err := e.owners.Enqueue(ctx, p.pre, a)
	switch {
	case err != nil && j.abroad() && ctx.Err() == nil: // nothing is known of what waits there
		e.board.Regions.Missed(config.NameNumber(j.away.region), time.Now())
		return result.Errorf(result.TooLate, "the owner of %s is out of reach", p.pre.Name).After(time.Second)
	case err != nil && errors.Is(err, peer.ErrOutOfReach) && ctx.Err() == nil:
		if p.Wait+p.Read+p.Move > j.slack() {
			return result.Errorf(result.TooLate, "by the last report of %s the prompt would be read too late", p.pre.Name).After(p.Wait + p.Read)
		}
		return nil
	case err != nil:
		return asResult(err)
	case reply.Code != result.OK:
		return result.Errorf(reply.Code, "%s can't read the prompt in time", p.pre.Name).After(time.Duration(reply.Retry) * time.Millisecond)
	}
	return nil
}

func ms(d time.Duration) int { return int(d.Milliseconds()) }
