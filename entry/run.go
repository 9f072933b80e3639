package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/owner"
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
	e.budgets.Count(j.pool, j.came)
	backoff := backoffStart
	for {
		j.tries++
		if refusal := e.mayRun(ctx, j); refusal != nil {
			return refusal
		}
		e.board.Invariant.Check(j.tries <= j.view.Doc.Limits.MaxAttempts, invariant.BudgetedRetries, "request %s: try %d", j.id, j.tries)
		err := e.try(ctx, j)
		if err == nil {
			return nil
		}
		var again *retryable
		if !errors.As(err, &again) {
			return asResult(err)
		}
		j.uncount(again)
		if refusal := e.mayRetry(ctx, j, again); refusal != nil {
			return refusal
		}
		if !wait.For(ctx, backoff/2+rand.N(backoff)) {
			return again.refusal
		}
		backoff = min(2*backoff, backoffMost)
	}
}

// retryable is a failure after which the request may be tried again
// elsewhere, if it may be repeated or did not run.
type retryable struct {
	name       string    // of the endpoint
	stay       bool      // it may be tried again at the endpoint
	unsent     bool      // it had no start there, and no call was made
	bar        route.Bar // what barred the endpoint before the call; BarNone: nothing did
	mayHaveRun bool
	refusal    *result.Error // what the caller is told when there is no other try
}

// Error implements the error interface.
func (r *retryable) Error() string { return r.refusal.Error() }

// mostUnsent is how many tries that made no call count as none: as many as a request can leave
// out.
const mostUnsent = route.MostExcluded

// uncount has a try that made no call count as none: endpoints that have no start are found
// out one after the other.
func (j *job) uncount(r *retryable) {
	if r.unsent && j.unsent < mostUnsent {
		j.unsent++
		j.tries--
	}
}

// mayRetry returns nil if the job may be tried again, else what to say.
func (e *Entry) mayRetry(ctx context.Context, j *job, r *retryable) *result.Error {
	switch {
	case ctx.Err() != nil:
		return r.refusal
	case r.mayHaveRun && !j.repeatable:
		return result.Errorf(result.OutcomeUnknown, "%s", r.refusal.Detail)
	case j.ended >= mostEndsOfAttempt:
		return r.refusal
	case j.tries >= j.view.Doc.Limits.MaxAttempts, r.mayHaveRun && j.attempts >= j.mostAttempts():
		return r.refusal
	case !r.unsent && !e.affords(j, r):
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
	if !e.budgets.Windowed() {
		return e.budgets.Take(j.team.Name, r.name)
	}
	calls := min(1, j.sends)
	if j.prompted {
		calls += min(1, j.reads)
	}
	return e.budgets.Further(j.pool, time.Now(), calls)
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
	return time.Until(j.came.Add(j.tried + time.Duration(aim*float64(j.target()))))
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
		wait.For(ctx, time.Until(p.start))
		return e.write(ctx, j, p, nil)
	}
	if !wait.For(ctx, p.early()) {
		e.returnTurn(p)
		e.releaseDecode(j, p, owner.GivenUp)
		return asResult(ctx.Err())
	}
	if b := e.bars(j, p.pre); b != route.BarNone {
		e.returnTurn(p)
		e.releaseDecode(j, p, owner.GivenUp)
		return barredSince(p.pre, b)
	}
	kv, err := e.read(ctx, j, p)
	if err != nil {
		e.releaseDecode(j, p, owner.GivenUp)
		return err
	}
	j.phase(2)
	if !wait.For(ctx, min(time.Until(p.start), kept(kv)/2)) {
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

// setPhase tells the table of requests how far the job has come.
func (e *Entry) setPhase(j *job, ph blackboard.Phase, f func(r *blackboard.Request)) {
	now := time.Now()
	e.board.Requests.Update(j.id, func(r *blackboard.Request) {
		r.Phase, r.PhaseSince = ph, now
		if f != nil {
			f(r)
		}
	})
}
