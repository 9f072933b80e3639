package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// plan is a pair of endpoints with what owners granted for it.
type plan struct {
	route.Choice
	pre, dec *config.Endpoint // pre is nil where the decode engine reads the prompt itself
	decodeBy request.Attempt  // holds the reservation
	reserved bool
	start    time.Time       // when the transfer may start
	readBy   request.Attempt // the prefill attempt
	cost     int             // tokens that were read
	stalls   int             // transfers to this engine that stalled
	waited   bool            // the decode engine was full when the prompt was read
	kept     bool            // the decode engine keeps the prompt
	copy     *backup         // keeps a copy of the answer's memory; nil: none does
	lastDec  *config.Endpoint
}

// lastOr returns the decode endpoint that was tried last.
func (p *plan) lastOr(e *config.Endpoint) *config.Endpoint {
	if e == nil {
		return p.lastDec
	}
	return e
}

// How many owners are asked for one try, before the request is refused for lack of
// room. In a large pool what is told of queues is some seconds old, and in a burst
// those that seemed to be the shortest are full: with four turns asked for, of a pool
// of 15 that read, half of the requests of a burst were refused while seven engines
// were given little. An ask takes some milliseconds.
const (
	mostTurnAsks = 12 // prefill engines that have no turn in time
	mostTurns    = 4  // turns that are given back for lack of decode memory
	decodeAsks   = 8  // decode engines that are asked for a called request
)

// choose asks route for a pair; fixed is the number of a prefill endpoint
// that has called the request, 0 for none.
func (e *Entry) choose(j *job, fixed uint32) (route.Choice, *config.View) {
	c := route.Choice{Prefill: -1, Decode: -1}
	var view *config.View
	j.pick.Now = time.Now()
	j.pick.FixedPrefill = fixed
	e.board.Endpoints.Read(func(v *config.View, states []route.State) {
		view = v
		if j.pick.Group = j.group(v); j.pick.Group != nil {
			e.bind(v, j, &j.pick)
			c = route.Pick(v, states, &j.pick)
		}
	})
	return c, view
}

// place finds a pair whose owners grant room: the prefill engine's turn, and
// then, before the engine begins, decode memory for the moment it will end.
// Without such memory the turn is given back and the request queues again,
// as long as it can still be in time. Nothing has run when it refuses.
func (e *Entry) place(ctx context.Context, j *job) (*plan, error) {
	if p := e.placeKept(ctx, j); p != nil {
		return p, nil
	}
	asked := j.pick.Exclude // endpoints that have no room now are left out of this try only
	var last *result.Error
	notBefore := time.Now()
	for asks, turns := 0, 0; asks < mostTurnAsks && turns < mostTurns; {
		if last != nil && j.slack() <= 0 {
			break // a turn that was waited for and came to nothing has used up the time
		}
		c, v := e.choose(j, 0)
		if c.Prefill < 0 {
			break
		}
		p := &plan{Choice: c, pre: &v.Doc.Endpoints[c.Prefill], dec: &v.Doc.Endpoints[c.Decode]}
		if last = e.enqueue(ctx, j, p, notBefore); last != nil {
			if ctx.Err() != nil {
				break
			}
			e.logRefused(j, p.pre, string(blackboard.PhaseQueue), last, c.Age)
			j.pick.Drop(route.Number(p.pre.Name))
			asks++
			continue
		}
		turns++
		last = e.reserveAny(ctx, j, p)
		j.pick.Exclude = asked
		if last == nil {
			last = e.turnLater(ctx, j, p)
		}
		if last == nil {
			return p, nil
		}
		e.returnTurn(p)
		if ctx.Err() != nil || last.RetryAfter+p.Read+p.Move > j.slack() {
			break
		}
		notBefore = time.Now().Add(last.RetryAfter)
	}
	j.pick.Exclude = asked
	if last == nil && e.traits.DecodeReads {
		return e.placeDirect(ctx, j)
	}
	if last == nil {
		last = e.nowhere(j, "prefill endpoint", func(g *config.Group) []int { return g.Prefill })
	}
	return nil, last
}

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

// placeDirect places a request for which no prefill engine is in reach on a
// decode engine that reads the prompt itself.
func (e *Entry) placeDirect(ctx context.Context, j *job) (*plan, error) {
	p := new(plan)
	if refusal := e.reserveFrom(ctx, j, p, e.chooseDecode, 0); refusal != nil {
		return nil, refusal
	}
	return p, nil
}

// chooseDecode asks route for a decode endpoint alone.
func (e *Entry) chooseDecode(j *job) (route.Choice, *config.View) {
	c := route.Choice{Prefill: -1, Decode: -1}
	var view *config.View
	j.pick.Now = time.Now()
	e.board.Endpoints.Read(func(v *config.View, states []route.State) {
		view = v
		if j.pick.Group = j.group(v); j.pick.Group != nil {
			e.bind(v, j, &j.pick)
			c.Decode = route.PickDecode(v, states, &j.pick)
		}
		if c.Decode >= 0 {
			c.Age = states[c.Decode].Age(j.pick.Now)
			c.Move = route.LinkTime(states[c.Decode].Spec, int64(j.tokens)*kvBytes(v, j.work.Model))
		}
	})
	return c, view
}

// returnTurn returns the turn at a prefill engine that was called.
func (e *Entry) returnTurn(p *plan) {
	e.owners.Release(p.pre, owner.Release{Attempt: p.readBy, Endpoint: route.Number(p.pre.Name), Outcome: owner.GivenUp})
}

// reserveAny reserves decode memory on the best engine that grants it, for
// the end of the prefill.
func (e *Entry) reserveAny(ctx context.Context, j *job, p *plan) *result.Error {
	fixed := route.Number(p.pre.Name)
	choose := func(j *job) (route.Choice, *config.View) {
		c, v := e.choose(j, fixed)
		if c.Decode < 0 { // the prefill engine may have left since it called
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
	for range decodeAsks {
		c, v := choose(j)
		if c.Decode < 0 {
			break
		}
		p.Decode, p.dec, p.Move = c.Decode, &v.Doc.Endpoints[c.Decode], c.Move
		refusal := e.reserve(ctx, j, p, in)
		if refusal == nil || ctx.Err() != nil {
			return refusal
		}
		e.logRefused(j, p.dec, string(blackboard.PhaseReserve), refusal, c.Age)
		if last == nil || refusal.RetryAfter < last.RetryAfter {
			last = refusal
		}
		j.pick.Drop(route.Number(p.dec.Name))
	}
	if last == nil {
		last = e.nowhere(j, "decode endpoint", func(g *config.Group) []int { return g.Decode })
	}
	return last
}

// reserve asks for decode memory at the time the prefill will end.
func (e *Entry) reserve(ctx context.Context, j *job, p *plan, in time.Duration) *result.Error {
	a := owner.ReserveArgs{Attempt: e.board.Requests.Open(j.id), Endpoint: route.Number(p.dec.Name), Tokens: j.tokens,
		MaxAnswer: j.work.MaxTokens, Expected: j.expected, Mark: j.mark, Bytes: int64(j.tokens) * kvBytes(j.view, j.work.Model),
		InMillis: ms(in), Slack: max(0, ms(j.slack()-in-p.Move)), Team: j.teamNum, Priority: j.priority}
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
	return nil
}

// kvBytes returns the size of a token's KV cache; 0 for an unknown model.
func kvBytes(v *config.View, model string) int64 {
	if m := v.Models[model]; m != nil {
		return m.KVBytesPerToken
	}
	return 0
}

// enqueue waits for the prefill engine's turn.
func (e *Entry) enqueue(ctx context.Context, j *job, p *plan, notBefore time.Time) *result.Error {
	e.setPhase(j, blackboard.PhaseQueue, nil)
	p.readBy = e.board.Requests.Open(j.id)
	defer e.board.Requests.Close(p.readBy)
	a := owner.EnqueueArgs{Attempt: p.readBy, Endpoint: route.Number(p.pre.Name), Tokens: j.tokens, Head: j.pick.Head,
		HasHead: j.pick.HasHead, Slack: ms(j.slack() - p.Move), NotYet: ms(time.Until(notBefore)),
		Team: j.teamNum, Priority: j.priority}
	if p.pre.Registered {
		a.Expect = 1 + ms(p.Wait) + max(0, a.NotYet)
	}
	reply, err := e.owners.Enqueue(ctx, p.pre, a)
	switch {
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

// releaseDecode gives the decode reservation back.
func (e *Entry) releaseDecode(j *job, p *plan, o owner.Outcome) {
	e.owners.Release(p.dec, owner.Release{Attempt: p.decodeBy, Endpoint: route.Number(p.dec.Name), Outcome: o})
	e.board.Requests.Close(p.decodeBy)
}
