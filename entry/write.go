package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// write has the answer written from a prompt that was read, moving to other
// decode engines while the result is kept, and relays it.
func (e *Entry) write(ctx context.Context, j *job, p *plan, kv *endpoint.Transfer) error {
	kept := time.Now().Add(time.Duration(kv.KeptMillis) * time.Millisecond)
	full := 0
	for {
		before := j.out.sent
		err := e.decodeOnce(ctx, j, p, kv)
		if err == nil {
			e.board.Requests.Close(p.decodeBy)
			e.budgets.earn(j.team.Name, p.dec.Name, j.view.Doc.Limits.RetryShare)
			return nil
		}
		var stalled *stallError
		switch {
		case ctx.Err() != nil:
			e.discard(j, p)
			return asResult(ctx.Err())
		case j.out.sent > before: // tokens were relayed: the result is used up
			return e.failed(p.Decode, p.dec, err)
		case endpoint.Unreachable(err):
			e.moveOn(ctx, j, p, true)
		case !endpoint.MayHaveRun(err):
			full++
			p.waited = true
		case errors.As(err, &stalled) && !j.repeatable:
			// No token was written; but the engine may have begun since.
			e.discard(j, p)
			return e.failed(p.Decode, p.dec, err)
		case errors.As(err, &stalled):
			e.moveOn(ctx, j, p, stalledBefore(p))
		default:
			if !j.repeatable {
				e.discard(j, p)
				return e.failed(p.Decode, p.dec, err)
			}
			e.moveOn(ctx, j, p, true)
		}
		if time.Until(kept) < lastMoment || p.dec == nil {
			j.waste += p.cost
			e.abort(p.pre, p.readBy)
			if p.dec != nil {
				e.letGo(j, p, owner.GivenUp)
			}
			return e.wasted(j, p, err)
		}
		if full > 0 && full%fullBeforeMove == 0 {
			e.moveIfRoom(ctx, j, p)
		}
		if !sleep(ctx, fullWait/2+rand.N(fullWait)) {
			e.discard(j, p)
			return asResult(ctx.Err())
		}
	}
}

const (
	lastMoment     = 100 * time.Millisecond // of the time a result is kept
	fullWait       = 20 * time.Millisecond  // between asks at a full engine
	fullBeforeMove = 8                      // asks at a full engine before another is tried
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
	j.pick.Drop(p.Decode)
	c, v := e.choose(j, 0)
	if c.Decode < 0 {
		return
	}
	p.Decode, p.dec, p.Move = c.Decode, &v.Doc.Endpoints[c.Decode], c.Move
	if refusal := e.reserve(ctx, j, p, 0); refusal != nil || !p.reserved {
		e.board.Requests.Close(p.decodeBy)
		*p = old
		return
	}
	e.letGo(j, &old, owner.Rejected)
}

// moveOn finds the job's result another decode engine, or the same one anew
// when move is false. p.dec is nil when there is none.
func (e *Entry) moveOn(ctx context.Context, j *job, p *plan, move bool) {
	e.letGo(j, p, owner.Failed)
	p.lastDec = p.dec
	if !move {
		p.decodeBy = e.board.Requests.Open(j.id)
		return
	}
	j.pick.Drop(p.Decode)
	p.dec = nil
	c, v := e.choose(j, 0)
	if c.Decode < 0 {
		p.decodeBy = e.board.Requests.Open(j.id)
		return
	}
	p.stalls = 0
	p.Decode, p.dec, p.Move = c.Decode, &v.Doc.Endpoints[c.Decode], c.Move
	p.Wait, p.Read = 0, 0
	if refusal := e.reserve(ctx, j, p, 0); refusal != nil {
		p.decodeBy = e.board.Requests.Open(j.id) // its admission decides
	}
}

// wasted is the failure of a try whose prompt was read for nothing.
func (e *Entry) wasted(j *job, p *plan, err error) error {
	r := e.failed(-1, p.lastOr(p.dec), err)
	r.mayHaveRun = true
	r.refusal = result.Errorf(result.PrefillWasted, "no decode engine took the request while its prompt was kept").After(time.Second)
	return r
}

// stallError is a stream that made no progress.
type stallError struct{ phase blackboard.Phase }

// Error implements the error interface.
func (s *stallError) Error() string { return "no progress in " + string(s.phase) }

// tokenStall is how long an engine may write nothing before it counts as
// stuck.
const tokenStall = 2 * time.Second

// decodeOnce makes one call to a decode engine and relays what it writes.
func (e *Entry) decodeOnce(ctx context.Context, j *job, p *plan, kv *endpoint.Transfer) (err error) {
	e.board.Invariant.Check(!p.dec.Leaving, invariant.LeavingNoWork, "request %s to leaving %s", j.id, p.dec.Name)
	e.at(j, blackboard.PhaseTransfer, func(r *blackboard.Request) { r.Decode = p.dec.Name })
	j.decode = p.dec.Name
	j.attempts++
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWatchdog(time.Duration(e.board.Settings.StallMillis)*time.Millisecond+p.Move, cancel)
	defer w.stop()
	e.owners.Touched(p.Decode, 1)
	defer e.owners.Touched(p.Decode, -1)
	began := j.out.sent
	defer func() {
		if err != nil && w.fired.Load() && ctx.Err() == nil {
			err = &endpoint.CallError{Address: p.dec.Address, MayHaveRun: true, Cause: &stallError{blackboard.PhaseTransfer}}
		}
		if err == nil || j.out.sent > began {
			e.owners.Release(p.dec, owner.Release{Attempt: p.decodeBy, Endpoint: route.Number(p.dec.Name),
				Outcome: outcomeOf(ctx, err), Waited: p.waited, Answer: j.out.sent, Max: *j.body.MaxTokens})
		}
		if err != nil && !endpoint.MayHaveRun(err) {
			j.attempts--
		}
		if err != nil && endpoint.MayHaveRun(err) {
			e.abort(p.dec, p.decodeBy)
			e.board.Requests.Close(p.decodeBy)
		}
	}()
	comp := endpoint.Completion{Model: j.body.Model, Prompt: j.body.Prompt, MaxTokens: *j.body.MaxTokens,
		Priority: j.priority, ResumeFrom: j.out.sent, Transfer: kv}
	s, err := e.client.Decode(limited, e.call(j, p.dec, p.decodeBy), comp)
	if err != nil {
		return err
	}
	defer s.Close()
	return e.relay(j, p, s, w)
}

// relay passes the stream on: each token once, in order, and a clean end
// only after a whole answer.
func (e *Entry) relay(j *job, p *plan, s *endpoint.Stream, w *watchdog) error {
	whole := false
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			if whole {
				return nil
			}
			return broken(p, "the answer ended early")
		}
		if err != nil {
			return err
		}
		if c.Imported != nil {
			w.progress()
			continue
		}
		if len(c.Choices) == 0 || c.Offset < j.out.sent {
			continue
		}
		if c.Offset > j.out.sent {
			return broken(p, "tokens are missing")
		}
		if j.out.sent == 0 {
			j.phase(3)
		}
		if w.limit != tokenStall {
			w.limit = tokenStall
			e.at(j, blackboard.PhaseDecode, nil)
		}
		w.progress()
		inv := e.board.Invariant
		inv.Check(c.Offset == j.out.sent, invariant.TokenOnce, "request %s: token %d after %d", j.id, c.Offset, j.out.sent)
		inv.Check(c.ID == p.decodeBy.String(), invariant.OwnAnswer, "request %s: chunk of %s in attempt %s", j.id, c.ID, p.decodeBy)
		last := c.Choices[0].FinishReason
		if err := j.out.token(c.Choices[0].Text, last); err != nil {
			return &endpoint.CallError{Address: p.dec.Address, MayHaveRun: true, Cause: err}
		}
		whole = last != "" && (c.Usage == nil || c.Usage.CompletionTokens == j.out.sent)
	}
}

func broken(p *plan, cause string) error {
	return &endpoint.CallError{Address: p.dec.Address, MayHaveRun: true, Cause: errors.New(cause)}
}

// watchdog cancels a call that makes no progress.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

func newWatchdog(limit time.Duration, cancel func()) *watchdog {
	w := &watchdog{limit: limit}
	w.timer = time.AfterFunc(limit, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

func (w *watchdog) progress() { w.timer.Reset(w.limit) }
func (w *watchdog) stop()     { w.timer.Stop() }
