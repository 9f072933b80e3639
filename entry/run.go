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
	maxBackoff   = 500 * time.Millisecond
)

// run takes a completion to its result, with retries where these are allowed.
func (e *Entry) run(ctx context.Context, j *job) *result.Error {
	e.retryBudgets.CountRequest(j.pool, j.arrived)
	backoff := backoffStart
	defer j.dropNext()
	for {
		j.tries++
		if j.next == nil { // else its endpoints are chosen already
			if refusal := e.acquireProbe(ctx, j); refusal != nil {
				return refusal
			}
		}
		e.resolveVersion(j)
		e.board.Invariant.Check(j.tries <= j.view.Doc.Limits.MaxAttempts, invariant.RetriesWithinBudget, "request %s: try %d", j.id, j.tries)
		err := e.try(ctx, j)
		if err == nil {
			return nil
		}
		var again *retryable
		if !errors.As(err, &again) {
			refusal := asResult(err)
			if e.awaitCapacity(ctx, j, refusal) {
				continue
			}
			return refusal
		}
		if e.awaitTurn(ctx, j, again) {
			j.tries--
			continue
		}
		j.uncount(again)
		if refusal := e.checkRetry(ctx, j, again); refusal != nil {
			return refusal
		}
		if j.next == nil && !wait.For(ctx, backoff/2+rand.N(backoff)) {
			return again.refusal
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// awaitCapacity waits a moment for capacity for an answer that has begun and was refused
// before any call was made. It reports whether the job is to be placed again, among all
// endpoints.
func (e *Entry) awaitCapacity(ctx context.Context, j *job, refusal *result.Error) bool {
	if j.reply.chunks() == 0 || !isPlacementRefusal(refusal.Code) || !e.servesVersion(j) {
		return false
	}
	j.tries-- // no call was made
	if !j.hasTries() {
		j.tries++
		return false
	}
	if j.awaitingSince.IsZero() {
		j.awaitingSince = time.Now()
	}
	if time.Since(j.awaitingSince) >= resumeSlack || !wait.For(ctx, capacityPoll/2+rand.N(capacityPoll)) {
		return false
	}
	j.criteria.Exclude = [route.MaxExcluded]uint32{}
	return true
}

// isPlacementRefusal reports whether a refusal says that no endpoint is open for a request now.
func isPlacementRefusal(c result.Code) bool {
	switch c {
	case result.TooLate, result.NoDecodeMemory, result.NoEndpoint, result.Cold, result.Limited, result.Resting, result.Evacuated, result.NoHome:
		return true
	}
	return false
}

// capacityPoll is the time between two attempts to place an answer that has begun.
const capacityPoll = 200 * time.Millisecond

// retryable is a failure after which the request may be tried again elsewhere, if it may be
// repeated or did not run.
type retryable struct {
	endpointName string       // the endpoint that failed
	sameEndpoint bool         // it may be retried at the same endpoint
	notSent      bool         // no permit, or a backoff: no call was made
	reason       route.Reason // why the endpoint was ineligible before the call; ReasonNone: it was eligible
	mayHaveRun   bool
	final        bool          // a further try on this host would fail too
	refusal      *result.Error // sent to the caller if there is no further try
}

// Error implements the error interface.
func (r *retryable) Error() string { return r.refusal.Error() }

// maxUncounted is how many tries without a call aren't counted: as many as a request can
// exclude endpoints.
const maxUncounted = route.MaxExcluded

// uncount takes back the count of a try that made no call: endpoints without a permit are
// detected one after the other.
func (j *job) uncount(r *retryable) {
	if r.notSent && j.uncountedTries < maxUncounted {
		j.uncountedTries++
		j.tries--
	}
}

// checkRetry returns nil if the job may be tried again, else the refusal.
func (e *Entry) checkRetry(ctx context.Context, j *job, r *retryable) *result.Error {
	if j.crashCount >= maxCrashesPerJob || r.mayHaveRun && j.attempts >= j.maxAttempts() {
		e.excuseCrashes(ctx, j)
	}
	switch {
	case ctx.Err() != nil, r.final:
		return r.refusal
	case r.mayHaveRun && !j.repeatable:
		j.noRetry = "not repeatable"
		return result.Errorf(result.OutcomeUnknown, "%s", r.refusal.Detail)
	case j.crashCount >= maxCrashesPerJob:
		j.noRetry = "crashes"
		return r.refusal
	case j.tries >= j.view.Doc.Limits.MaxAttempts, r.mayHaveRun && j.attempts >= j.maxAttempts():
		j.noRetry = "attempts"
		return r.refusal
	case !r.notSent && j.next == nil && !e.spendRetry(j, r):
		j.noRetry = "budget"
		if j.possiblyRan {
			return r.refusal
		}
		return result.Errorf(result.RetryBudget, "the retry budget is spent; %s", r.refusal.Detail).After(time.Second)
	}
	if !r.sameEndpoint {
		j.criteria.AddExcluded(route.Number(r.endpointName))
	}
	return nil
}

// spendRetry charges the cost of another try to the retry budgets and reports whether they
// cover it. In a windowed budget every further call counts, for prefill and for decode.
func (e *Entry) spendRetry(j *job, r *retryable) bool {
	if !e.retryBudgets.Windowed() {
		return e.retryBudgets.Take(j.team.Name, r.endpointName)
	}
	return e.retryBudgets.SpendInWindow(j.pool, time.Now(), j.retryCalls())
}

// hasRetryBudget reports whether spendRetry would succeed.
func (e *Entry) hasRetryBudget(j *job, endpointName string) bool {
	if !e.retryBudgets.Windowed() {
		return e.retryBudgets.Has(j.team.Name, endpointName)
	}
	return e.retryBudgets.HasInWindow(j.pool, time.Now(), j.retryCalls())
}

// retryCalls returns how many further calls another try costs in a windowed budget.
func (j *job) retryCalls() int {
	calls := min(1, j.decodeCalls)
	if j.prompted {
		calls += min(1, j.prefillCalls)
	}
	return calls
}

func asResult(err error) *result.Error {
	var re *result.Error
	if errors.As(err, &re) {
		return re
	}
	return result.Errorf(result.NoEndpoint, "%v", err).After(time.Second)
}

// slack returns the time left to the first token. A resumed answer has its first token
// already, and a request that is handed over by a silent engine, or whose prefill answered
// late, is late already; they only have to continue soon.
func (j *job) slack() time.Duration {
	if j.isNextTry || j.lateResult || j.reply.chunks() > 0 {
		return resumeSlack
	}
	return time.Until(j.arrived.Add(j.probeWaited + time.Duration(targetShare*float64(j.target()))))
}

// targetShare is the share of the target that forecasts must meet, so that a slightly wrong
// forecast still meets the target.
const targetShare = 0.9

// resumeSlack is how long a resumed answer may take to continue.
const resumeSlack = 5 * time.Second

// try makes one pass, from reservation to the end of the answer.
func (e *Entry) try(ctx context.Context, j *job) error {
	e.board.Pause.Check()
	if !j.view.Doc.Policy.Mode.Reserves() {
		j.next = nil
		return e.tryUnreserved(ctx, j)
	}
	p, kv := j.takePlan()
	if kv != nil || j.opened != nil {
		return e.decode(ctx, j, p, kv)
	}
	var err error
	if p == nil {
		if p, err = e.place(ctx, j); err != nil {
			return err
		}
	}
	j.awaitingSince = time.Time{}
	j.markPhase(0)
	if p.prefillSpec == nil {
		wait.For(ctx, time.Until(p.transferStart))
		return e.decode(ctx, j, p, nil)
	}
	if kv, err = e.prefillPlan(ctx, j, p); err != nil {
		return err
	}
	return e.decode(ctx, j, p, kv)
}

// prefillPlan has the prompt prefilled at the plan's engine and waits until the result may be
// transferred. If it fails, the plan is released.
func (e *Entry) prefillPlan(ctx context.Context, j *job, p *plan) (*endpoint.Transfer, error) {
	if !wait.For(ctx, p.prefillDelay()) {
		e.releasePrefill(p)
		e.releaseDecode(j, p, owner.Abandoned)
		return nil, asResult(ctx.Err())
	}
	if b := e.ineligibleReason(j, p.prefillSpec); b != route.ReasonNone {
		e.releasePrefill(p)
		e.releaseDecode(j, p, owner.Abandoned)
		return nil, ineligibleFailure(p.prefillSpec, b)
	}
	kv, err := e.prefill(ctx, j, p)
	if err != nil {
		e.releaseDecode(j, p, owner.Abandoned)
		return nil, err
	}
	j.markPhase(2)
	if !wait.For(ctx, min(time.Until(p.transferStart), keptFor(kv)/2)) {
		e.discardResult(j, p, kv)
		return nil, asResult(ctx.Err())
	}
	return kv, nil
}

// prefillDelay returns how long to hold the prompt back, because its result would otherwise
// wait too long for memory at the decode engine.
func (p *plan) prefillDelay() time.Duration {
	wait := time.Until(p.transferStart) - p.PrefillDuration
	if wait < time.Duration(p.prefillSpec.ResultKeepMillis)*time.Millisecond/resultWaitDivisor {
		return 0
	}
	return wait
}

// resultWaitDivisor divides the time for which a result is kept. The quotient is how long
// the result may wait for memory.
const resultWaitDivisor = 8

func keptFor(kv *endpoint.Transfer) time.Duration {
	return time.Duration(kv.KeptMillis) * time.Millisecond
}

// markPhase records the time at the end of a phase, for the log.
func (j *job) markPhase(i int) { j.phases[i] = time.Since(j.arrived) }

// setPhase updates the job's phase in the request table. Its next try, prepared beside the
// current one, changes no phase.
func (e *Entry) setPhase(j *job, ph blackboard.Phase, f func(r *blackboard.Request)) {
	now := time.Now()
	e.board.Requests.Update(j.id, func(r *blackboard.Request) {
		if !j.isNextTry {
			r.Phase, r.PhaseSince = ph, now
		}
		if f != nil {
			f(r)
		}
	})
}
