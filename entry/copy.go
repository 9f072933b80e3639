package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/copies"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// An answer may have a copy of its memory at another engine, which grows with it.
// When the engine that writes crashes, breaks the answer off or falls silent, the
// answer goes on from the copy as the same run: the first engine has stopped or is out
// of reach by then, and the caller's events go on where they stopped.

// backup is the place of a copy of an answer's memory.
type backup struct {
	spec *config.Endpoint
	by   request.Attempt // holds the memory reserved for it
}

// Copies counts what was decided about copies of answers.
type Copies struct {
	Begun   atomic.Uint64 // answers that began with a place for a copy
	NoRoom  atomic.Uint64 // that should have had one, and no engine had room
	TakenUp atomic.Uint64 // answers that went on from a copy
	Gone    atomic.Uint64 // that were to go on, and the copy was not there
	Tokens  atomic.Uint64 // of prompts whose memory was to be copied
}

// copyAsk is how long an owner is waited for to reserve room for a copy. Hosts of a
// region answer within some milliseconds; the answer doesn't wait for more.
const copyAsk = 30 * time.Millisecond

// secure finds a place for a copy of the answer that p.dec is about to write, if it
// is to have one.
func (e *Entry) secure(ctx context.Context, j *job, p *plan) {
	if p.copy != nil && p.copy.spec.Name != p.dec.Name {
		return
	}
	e.dropCopy(j, p)
	spec, wanted := e.copyPlace(j, p)
	if spec == nil {
		if wanted {
			e.Copies.NoRoom.Add(1)
		}
		return
	}
	limited, cancel := context.WithTimeout(ctx, copyAsk)
	defer cancel()
	a := owner.ReserveArgs{Attempt: e.board.Requests.Open(j.id), Endpoint: route.Number(spec.Name), Tokens: j.tokens,
		MaxAnswer: j.work.MaxTokens, Expected: j.expected, Mark: j.mark, Team: j.teamNum, Priority: j.priority, Spare: copies.Spare(spec)}
	p.copy = &backup{spec: spec, by: a.Attempt}
	reply, err := e.owners.Reserve(limited, spec, a)
	if err != nil || reply.Code != result.OK {
		e.dropCopy(j, p)
		e.Copies.NoRoom.Add(1)
		return
	}
	e.Copies.Begun.Add(1)
	e.Copies.Tokens.Add(uint64(j.tokens))
}

// copyPlace returns the endpoint that is to keep a copy of the answer; nil: none.
// wanted says that it should have one.
func (e *Entry) copyPlace(j *job, p *plan) (spec *config.Endpoint, wanted bool) {
	if !e.traits.Copies {
		return nil, false
	}
	q, number := j.pick, route.Number(p.dec.Name)
	q.Now = time.Now()
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		g, pool := j.group(fleet), v.Pools[p.dec.Pool]
		engine := fleet.Find(number)
		if g == nil || pool == nil || !pool.Copies || engine == nil {
			return
		}
		e.bind(v, j, &q)
		r := copies.Run{Again: j.repeatable, Tokens: j.tokens, Answer: j.likely(), Engine: engine}
		if !e.CopyPolicy.Affords(g.Decode.All(), engine) {
			return
		}
		if wanted = e.CopyPolicy.Wants(r, copies.Chance(g.Decode.All(), engine, q.Now)); !wanted {
			return
		}
		if s := copies.Place(g.Decode.All(), &q, r); s != nil {
			spec = s.Spec
		}
	})
	return spec, wanted
}

// likely returns the tokens that the answer is taken to come to.
func (j *job) likely() int {
	if j.expected == 0 {
		return j.work.MaxTokens / 2
	}
	return min(int(likelyExcess*float64(j.expected)), j.work.MaxTokens)
}

// dropCopy gives back what is reserved for a copy. The engine that keeps it frees it
// by itself, when the run has ended or no part of it comes any more.
func (e *Entry) dropCopy(j *job, p *plan) {
	if p.copy == nil {
		return
	}
	e.owners.Release(p.copy.spec, owner.Release{Attempt: p.copy.by, Endpoint: route.Number(p.copy.spec.Name), Outcome: owner.GivenUp})
	e.board.Requests.Close(p.copy.by)
	p.copy = nil
}

// goOn has the answer go on from its copy, after the engine that wrote it failed with
// err and has stopped or is out of reach. It returns err if there is no copy to go on
// from, so that what is done about err is as without one. told says that the failure was
// told to the first engine's owner.
func (e *Entry) goOn(ctx context.Context, j *job, p *plan, err error, told bool) error {
	if !e.mayGoOn(ctx, j, p, err) {
		return err
	}
	c, first := p.copy, *p
	if !told {
		e.releaseDecode(j, p, owner.Failed)
	}
	p.dec, p.decodeBy, p.copy, p.lastDec = c.spec, c.by, nil, first.dec
	e.logCopy(j, "answer goes on from its copy", first.dec, c.spec)
	next := e.continued(ctx, j, p)
	switch {
	case next == nil:
		e.Copies.TakenUp.Add(1)
		e.releaseDecode(j, p, owner.GivenUp) // a part of an answer tells nothing of whole ones
		j.forget()
		return nil
	case endpoint.MayHaveRun(next):
		e.releaseDecode(j, p, outcomeOf(ctx, next))
		return next
	}
	e.Copies.Gone.Add(1)
	e.logCopy(j, "no copy to go on from", first.dec, c.spec)
	e.releaseDecode(j, p, owner.GivenUp)
	p.dec, p.decodeBy = first.dec, first.decodeBy
	return err
}

// mayGoOn reports whether an answer that ended with err may go on from a copy: it has
// one, its first engine no longer works on it, and the copy's engine may be sent to.
func (e *Entry) mayGoOn(ctx context.Context, j *job, p *plan, err error) bool {
	end := copies.End{Copied: p.copy != nil, CallerGone: ctx.Err() != nil, MayHaveRun: endpoint.MayHaveRun(err), Works: endpoint.GivenUp(err), Grown: j.grown()}
	return end.GoesOn() && j.ended < mostEndsOfAttempt && e.mayGoTo(ctx, j, p.copy.spec) && e.bars(j, p.copy.spec) == route.BarNone && e.budgets.Further(j.pool, time.Now(), 1) &&
		e.start(ctx, j, p.copy.spec) == nil
}

// grown returns how long ago the caller was given the first piece; 0: it has none.
func (j *job) grown() time.Duration {
	if j.out.pieces() == 0 {
		return 0
	}
	return time.Since(j.came) - j.phases[3]
}

// forget drops the failure that an endpoint answered with.
func (j *job) forget() {
	if j.last != nil {
		j.last.Body.Close()
		j.last = nil
	}
}

// logCopy writes a line for what became of an answer's copy.
func (e *Entry) logCopy(j *job, msg string, from, to *config.Endpoint) {
	ok, lost := e.logs.admit(time.Now(), &j.logged, false)
	if !ok {
		return
	}
	e.log.Info(msg, zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("endpoint", to.Name), zap.String("from", from.Name),
		zap.Int("pieces", j.out.pieces()), zap.Uint64("lines_left_out", lost))
}

// continued makes the call that goes on from a copy, at the endpoint that keeps it,
// and relays the rest of the answer.
func (e *Entry) continued(ctx context.Context, j *job, p *plan) (err error) {
	e.setPhase(j, blackboard.PhaseTransfer, func(r *blackboard.Request) { r.Decode = p.dec.Name })
	j.decode = p.dec.Name
	j.sends++
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	at := processOf(p.dec) // a watch that was stopped may still ask
	w := newWatchdog(forever, forever, cancel, func() bool { return e.lives(limited, at) })
	defer w.stop()
	number := route.Number(p.dec.Name)
	e.owners.Touched(number, 1)
	defer e.owners.Touched(number, -1)
	before, began := j.out.pieces(), time.Now()
	r := e.beginRun(j, p.dec, quarantine.Running)
	defer func() {
		e.note(ctx, j, p.dec, blackboard.PhaseDecode, err, time.Since(began))
		e.endRun(ctx, j, r, j.out.pieces()-before, err)
	}()
	work := *j.work
	work.ResumeFrom, work.Copy = j.out.pieces(), &endpoint.Copy{Address: p.dec.Address, Handle: work.Origin.ID}
	if m := j.out.lastMark(); m != "" {
		work.LastMark = m
	}
	s, err := e.engine.Decode(limited, e.call(j, p.dec, p.decodeBy), &work)
	if err != nil {
		return err
	}
	defer s.Close()
	return e.relay(j, p, s, w)
}
