package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// read has the prompt read. Where reading counts as a run it marks the job as
// run, unless the endpoint vouches that it did nothing.
func (e *Entry) read(ctx context.Context, j *job, p *plan) (*endpoint.Transfer, error) {
	j.phase(1)
	e.board.Invariant.Check(j.repeatable || !j.started, invariant.SingleRun, "request %s would start twice", j.id)
	e.board.Invariant.Check(!p.pre.Leaving, invariant.LeavingNoWork, "request %s to leaving %s", j.id, p.pre.Name)
	if p.readBy.Number == 0 {
		p.readBy = e.board.Requests.Open(j.id)
	}
	elsewhere, refusal := e.mayRunAt(ctx, j, p.pre, quarantine.Reading)
	if elsewhere || refusal != nil {
		e.returnTurn(p)
		e.board.Requests.Close(p.readBy)
		return nil, orBarred(refusal, p.pre)
	}
	if r := e.start(ctx, j, p.pre); r != nil {
		e.returnTurn(p)
		e.board.Requests.Close(p.readBy)
		return nil, r
	}
	e.setPhase(j, blackboard.PhasePrefill, func(r *blackboard.Request) {
		r.Prefill = p.pre.Name
		r.Open = append(r.Open, p.readBy.Number)
	})
	j.prefill = p.pre.Name
	undo := j.mayRun(e.traits.ReadingRuns)
	limited, cancel := context.WithTimeout(ctx, e.patience(p))
	defer cancel()
	j.reads++
	began := time.Now()
	number := route.Number(p.pre.Name)
	e.owners.Touched(number, 1)
	r := e.beginRun(j, p.pre, quarantine.Reading)
	ans, err := e.engine.Prefill(limited, e.call(j, p.pre, p.readBy), j.work)
	e.owners.Touched(number, -1)
	e.note(ctx, j, p.pre, blackboard.PhasePrefill, err, time.Since(began))
	e.endRun(ctx, j, r, 0, err)
	rel := owner.Release{Attempt: p.readBy, Endpoint: number, Millis: ms(time.Since(began))}
	if err == nil {
		// The attempt stays open: its result is kept until the answer begins or it is
		// dropped, and what isn't open is cancelled by the engine's owner as orphaned.
		rel.Cached = ans.Usage.CachedTokens
		if e.worthTelling(p, rel) {
			e.owners.Release(p.pre, rel)
		}
		j.read += ans.Usage.PromptTokens - ans.Usage.CachedTokens
		p.cost = ans.Usage.PromptTokens - ans.Usage.CachedTokens
		e.budgets.Earn(j.team.Name, p.pre.Name, j.view.Doc.Limits.RetryShare)
		return ans.Transfer, nil
	}
	e.board.Requests.Close(p.readBy)
	rel.Outcome = outcomeOf(ctx, err)
	e.owners.Release(p.pre, rel)
	if endpoint.Unreachable(err) {
		j.reads--
	}
	if !endpoint.MayHaveRun(err) {
		undo()
	} else {
		e.abort(p.pre, p.readBy)
	}
	failed := e.failed(p.pre, err)
	failed.mayHaveRun = failed.mayHaveRun && e.traits.ReadingRuns
	if !failed.mayHaveRun {
		failed.refusal.Code = result.EndpointRefused
	}
	return nil, failed
}

// mayRun notes that a call goes out which may run the request, if it does. It
// returns what takes the note back when the endpoint vouches that it didn't.
func (j *job) mayRun(does bool) (undo func()) {
	if !does {
		return func() {}
	}
	ran, started := j.ran, j.started
	j.ran, j.started = true, true
	j.attempts++
	return func() {
		j.ran, j.started = ran, started
		j.attempts--
	}
}

// patience returns how long a prefill engine may take. Where reading is no
// run, another may be asked soon.
func (e *Entry) patience(p *plan) time.Duration {
	if e.traits.ReadingRuns {
		return prefillPatience + patienceFactor*p.Read
	}
	return rereadPatience + patienceFactor*(p.Read+p.Wait)
}

// note takes what a call showed of an endpoint into the table.
func (e *Entry) note(ctx context.Context, j *job, spec *config.Endpoint, ph blackboard.Phase, err error, took time.Duration) {
	if err != nil {
		e.logCall(j, spec, string(ph), err, took)
	}
	if err != nil && ctx.Err() != nil {
		return // the caller left, or its deadline passed
	}
	sight := route.SightWhole
	switch {
	case err == nil:
	case endpoint.Elsewhere(err), endpoint.Unreachable(err):
		sight = route.SightGone
	case !endpoint.MayHaveRun(err):
		sight = route.SightFull
	default:
		sight = route.SightFailed
	}
	now := time.Now()
	number := route.Number(spec.Name)
	e.board.Endpoints.Touch(number, func(s *route.State) { s.Seen.Note(now, sight, took) })
	switch {
	case endpoint.Answered(err) && e.board.Heard(spec.Domain):
		e.log.Info("failure domain back", zap.String("domain", spec.Domain), zap.String("heard", spec.Name))
	case endpoint.Silent(err) && e.board.Missed(spec.Domain, number, now):
		e.log.Warn("failure domain cut off", zap.String("domain", spec.Domain), zap.String("silent", spec.Name))
	}
}

// tellEvery is how many ordinary ends of a prefill there are for each that is
// told of.
const tellEvery = 4

// worthTelling reports whether a prefill's end is told to its owner. The owner
// knows when to expect it; it is told of the surprising ends, and of some
// others to learn the engine's pace and cache from.
func (e *Entry) worthTelling(p *plan, rel owner.Release) bool {
	took := time.Duration(rel.Millis) * time.Millisecond
	off := (took - p.Read).Abs()
	return off > ordinaryOff+p.Read/4 || e.turn.Load()%tellEvery == 0
}

// ordinaryOff is how far from its forecast an ordinary prefill ends: the
// owner calls some way ahead of the engine.
const ordinaryOff = 80 * time.Millisecond

// Patience with a prefill engine: beyond it the engine counts as stuck.
const (
	prefillPatience = 3 * time.Second
	rereadPatience  = 250 * time.Millisecond
	patienceFactor  = 4
)

func (e *Entry) call(j *job, spec *config.Endpoint, a request.Attempt) endpoint.Call {
	call := endpoint.Call{Address: spec.Address, Attempt: a.String(), Name: spec.Name, Version: j.view.WantVersion(spec), Repeatable: j.repeatable,
		KeepMillis: spec.ResultKeepMillis, Hear: e.hearer(spec)}
	if j.team != defaultTeam {
		call.Team = j.team.Name
	}
	return call
}

func outcomeOf(ctx context.Context, err error) owner.Outcome {
	switch {
	case err == nil:
		return owner.Done
	case ctx.Err() != nil:
		return owner.Left
	case endpoint.MayHaveRun(err), endpoint.Unreachable(err):
		return owner.Failed
	}
	return owner.Rejected
}

// failed makes a retryable of a call that failed at an endpoint.
func (e *Entry) failed(spec *config.Endpoint, err error) *retryable {
	r := &retryable{name: spec.Name, mayHaveRun: endpoint.MayHaveRun(err)}
	if r.mayHaveRun {
		r.refusal = result.Errorf(result.AnswerBroken, "%s broke off the request", spec.Name).After(time.Second)
		return r
	}
	r.refusal = result.Errorf(result.EndpointRefused, "%s refused the request", spec.Name).After(time.Second)
	return r
}

// abort gives an attempt up at an endpoint that may hold memory for it. It
// doesn't wait; if it is lost, the endpoint's owner finds the attempt.
func (e *Entry) abort(spec *config.Endpoint, a request.Attempt) {
	if e.traits.HangUpAborts {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		_ = e.engine.Abort(ctx, spec.Address, a.String())
	}()
}

const abortTimeout = time.Second

// discard gives up a result that was read for nothing.
func (e *Entry) discard(j *job, p *plan, kv *endpoint.Transfer) {
	e.drop(j, p, kv)
	e.releaseDecode(j, p, owner.GivenUp)
}

// drop has the prefill engine free a result. It doesn't wait; a result whose
// drop is lost lapses.
func (e *Entry) drop(j *job, p *plan, kv *endpoint.Transfer) {
	if p.pre == nil {
		return
	}
	j.waste += p.cost
	e.board.Requests.Close(p.readBy)
	e.abort(p.pre, p.readBy)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		_ = e.engine.Discard(ctx, kv)
	}()
}
