package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Backoff between tries that failed at an endpoint.
const (
	backoffStart = 10 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
)

// run carries a completion through, trying again where that is allowed.
func (e *Entry) run(ctx context.Context, j *job) *result.Error {
	e.budgets.count(j.pool, j.came)
	backoff := backoffStart
	for {
		j.tries++
		e.board.Invariant.Check(j.tries <= j.view.Doc.Limits.MaxAttempts, invariant.BudgetedRetries, "request %s: try %d", j.id, j.tries)
		err := e.try(ctx, j)
		if err == nil {
			return nil
		}
		var again *retryable
		if !errors.As(err, &again) {
			return asResult(err)
		}
		if refusal := e.mayRetry(ctx, j, again); refusal != nil {
			return refusal
		}
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return again.refusal
		}
		backoff = min(2*backoff, backoffMost)
	}
}

// retryable is a failure after which the request may be tried again
// elsewhere, if it may be repeated or did not run.
type retryable struct {
	name       string // of the endpoint
	stay       bool   // it may be tried again at the endpoint
	mayHaveRun bool
	refusal    *result.Error // what the caller is told when there is no other try
}

// Error implements the error interface.
func (r *retryable) Error() string { return r.refusal.Error() }

// mayRetry returns nil if the job may be tried again, else what to say.
func (e *Entry) mayRetry(ctx context.Context, j *job, r *retryable) *result.Error {
	switch {
	case ctx.Err() != nil:
		return r.refusal
	case r.mayHaveRun && !j.repeatable:
		return result.Errorf(result.OutcomeUnknown, "%s", r.refusal.Detail)
	case j.tries >= j.view.Doc.Limits.MaxAttempts, r.mayHaveRun && j.attempts >= j.mostAttempts():
		return r.refusal
	case !e.affords(j, r):
		if j.ran {
			return r.refusal
		}
		return result.Errorf(result.RetryBudget, "the retry budget is spent; %s", r.refusal.Detail).After(time.Second)
	}
	if !r.stay {
		j.pick.Drop(route.Number(r.name))
	}
	return nil
}

// affords spends from the retry budgets what another try costs, if they hold
// it. In a window every further call counts, to be read and to be run.
func (e *Entry) affords(j *job, r *retryable) bool {
	if !e.budgets.windowed() {
		return e.budgets.take(j.team.Name, r.name)
	}
	calls := min(1, j.sends)
	if j.prompted {
		calls += min(1, j.reads)
	}
	return e.budgets.further(j.pool, time.Now(), calls)
}

// sleep waits unless the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func asResult(err error) *result.Error {
	var re *result.Error
	if errors.As(err, &re) {
		return re
	}
	return result.Errorf(result.NoEndpoint, "%v", err).After(time.Second)
}

// slack returns the time left to the first token. A resumed answer has its
// first token; it only has to go on soon.
func (j *job) slack() time.Duration {
	if j.out.pieces() > 0 {
		return resumeSlack
	}
	return time.Until(j.came.Add(time.Duration(aim * float64(j.target()))))
}

// aim is the share of the target that forecasts are made to meet, so that a
// forecast that is a little off still meets it.
const aim = 0.9

// resumeSlack is what a resumed answer may take to go on.
const resumeSlack = 5 * time.Second

// try is one try at the whole way from reservation to the end of the answer.
func (e *Entry) try(ctx context.Context, j *job) error {
	e.board.Pause.Check()
	if !j.view.Doc.Policy.Mode.Reserves() {
		return e.tryUnreserved(ctx, j)
	}
	p, err := e.place(ctx, j)
	if err != nil {
		return err
	}
	j.phase(0)
	if p.pre == nil {
		sleep(ctx, time.Until(p.start))
		return e.write(ctx, j, p, nil)
	}
	if !sleep(ctx, p.early()) {
		e.giveBack(p)
		e.letGo(j, p, owner.GivenUp)
		return asResult(ctx.Err())
	}
	kv, err := e.read(ctx, j, p)
	if err != nil {
		e.letGo(j, p, owner.GivenUp)
		return err
	}
	j.phase(2)
	if !sleep(ctx, min(time.Until(p.start), kept(kv)/2)) {
		e.discard(j, p, kv)
		return asResult(ctx.Err())
	}
	return e.write(ctx, j, p, kv)
}

// early returns how long the prompt should not be read yet, because its result
// would wait too long for the decode engine's memory.
func (p *plan) early() time.Duration {
	wait := time.Until(p.start) - p.Read
	if wait < time.Duration(p.pre.ResultKeepMillis)*time.Millisecond/keepShare {
		return 0
	}
	return wait
}

// keepShare is the part of the time for which a result is kept that it may
// wait for memory.
const keepShare = 8

func kept(kv *endpoint.Transfer) time.Duration {
	return time.Duration(kv.KeptMillis) * time.Millisecond
}

// phase notes the time at the end of a phase, for the log.
func (j *job) phase(i int) { j.phases[i] = time.Since(j.came) }

// at tells the table of requests how far the job has come.
func (e *Entry) at(j *job, ph blackboard.Phase, f func(r *blackboard.Request)) {
	now := time.Now()
	e.board.Requests.Update(j.id, func(r *blackboard.Request) {
		r.Phase, r.PhaseSince = ph, now
		if f != nil {
			f(r)
		}
	})
}

// read has the prompt read. Where reading counts as a run it marks the job as
// run, unless the endpoint vouches that it did nothing.
func (e *Entry) read(ctx context.Context, j *job, p *plan) (*endpoint.Transfer, error) {
	j.phase(1)
	e.board.Invariant.Check(j.repeatable || !j.started, invariant.SingleRun, "request %s would start twice", j.id)
	e.board.Invariant.Check(!p.pre.Leaving, invariant.LeavingNoWork, "request %s to leaving %s", j.id, p.pre.Name)
	if p.readBy.Number == 0 {
		p.readBy = e.board.Requests.Open(j.id)
	}
	e.at(j, blackboard.PhasePrefill, func(r *blackboard.Request) {
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
	ans, err := e.engine.Prefill(limited, e.call(j, p.pre, p.readBy), j.work)
	e.owners.Touched(number, -1)
	e.note(ctx, j, p.pre, blackboard.PhasePrefill, err, time.Since(began))
	e.board.Requests.Close(p.readBy)
	rel := owner.Release{Attempt: p.readBy, Endpoint: number, Millis: ms(time.Since(began))}
	if err == nil {
		rel.Cached = ans.Usage.CachedTokens
		if e.worthTelling(p, rel) {
			e.owners.Release(p.pre, rel)
		}
		j.read += ans.Usage.PromptTokens - ans.Usage.CachedTokens
		p.cost = ans.Usage.PromptTokens - ans.Usage.CachedTokens
		e.budgets.earn(j.team.Name, p.pre.Name, j.view.Doc.Limits.RetryShare)
		return ans.Transfer, nil
	}
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
	r := e.failed(p.pre, err)
	r.mayHaveRun = r.mayHaveRun && e.traits.ReadingRuns
	if !r.mayHaveRun {
		r.refusal.Code = result.EndpointRefused
	}
	return nil, r
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
	return endpoint.Call{Address: spec.Address, Attempt: a.String(), Name: spec.Name, Version: j.view.WantVersion(spec), Repeatable: j.repeatable,
		KeepMillis: spec.ResultKeepMillis}
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
	e.letGo(j, p, owner.GivenUp)
}

// drop has the prefill engine free a result. It doesn't wait; a result whose
// drop is lost lapses.
func (e *Entry) drop(j *job, p *plan, kv *endpoint.Transfer) {
	if p.pre == nil {
		return
	}
	j.waste += p.cost
	e.abort(p.pre, p.readBy)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		_ = e.engine.Discard(ctx, kv)
	}()
}
