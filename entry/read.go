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

// prefill has the prompt prefilled. Where a prefill counts as a run it marks the job as
// run, unless the endpoint vouches that it did nothing.
func (e *Entry) prefill(ctx context.Context, j *job, p *plan) (*endpoint.Transfer, error) {
	j.markPhase(1)
	e.board.Invariant.Check(j.repeatable || !j.started, invariant.NotRepeatableOnce, "request %s would start twice", j.id)
	e.board.Invariant.Check(!p.prefillSpec.Leaving, invariant.LeavingNoNewWork, "request %s to leaving %s", j.id, p.prefillSpec.Name)
	if p.prefillAttempt.Number == 0 {
		p.prefillAttempt = e.board.Requests.Open(j.id)
	}
	elsewhere, refusal := e.acquireProbeAt(ctx, j, p.prefillSpec, quarantine.Prefilling)
	if elsewhere || refusal != nil {
		e.releasePrefill(p)
		e.board.Requests.Close(p.prefillAttempt)
		return nil, refusalOrIneligible(refusal, p.prefillSpec)
	}
	if r := e.acquirePermit(ctx, j, p.prefillSpec); r != nil {
		e.releasePrefill(p)
		e.board.Requests.Close(p.prefillAttempt)
		return nil, r
	}
	e.setPhase(j, blackboard.PhasePrefill, func(r *blackboard.Request) {
		r.Prefill = p.prefillSpec.Name
		r.Open = append(r.Open, p.prefillAttempt.Number)
	})
	j.prefillName = p.prefillSpec.Name
	undo := j.markRun(e.traits.PrefillRuns)
	j.prefillCalls++
	began := time.Now()
	number := route.Number(p.prefillSpec.Name)
	e.owners.AddCalls(number, 1)
	r := e.beginRun(j, p.prefillSpec, quarantine.Prefilling)
	ans, err := e.callPrefill(ctx, j, p)
	e.owners.AddCalls(number, -1)
	e.recordCall(ctx, j, p.prefillSpec, blackboard.PhasePrefill, err, time.Since(began))
	e.endRun(ctx, j, r, 0, err)
	rel := owner.Release{Attempt: p.prefillAttempt, Endpoint: number, Millis: ms(e.engineTime(time.Since(began)))}
	if err == nil {
		// The attempt stays open: its result is kept until the answer begins or it is
		// dropped, and the engine's owner cancels attempts that aren't open as orphans.
		rel.Cached = ans.Usage.CachedTokens
		if e.shouldReport(p, rel) {
			e.owners.Release(p.prefillSpec, rel)
		}
		j.prefilledTotal += ans.Usage.PromptTokens - ans.Usage.CachedTokens
		p.prefilledTokens = ans.Usage.PromptTokens - ans.Usage.CachedTokens
		e.retryBudgets.Earn(j.team.Name, p.prefillSpec.Name, j.view.Doc.Limits.RetryShare)
		return ans.Transfer, nil
	}
	e.board.Requests.Close(p.prefillAttempt)
	rel.Outcome = outcomeOf(ctx, err)
	e.owners.Release(p.prefillSpec, rel)
	if endpoint.Unreachable(err) {
		j.prefillCalls--
	}
	if !endpoint.MayHaveRun(err) {
		undo()
	} else {
		e.abort(p.prefillSpec, p.prefillAttempt)
	}
	failed := e.callFailure(p.prefillSpec, err)
	failed.mayHaveRun = failed.mayHaveRun && e.traits.PrefillRuns
	if !failed.mayHaveRun {
		failed.refusal.Code = result.EndpointRefused
	}
	return nil, failed
}

// callPrefill makes a call to a prefill engine and ends it when the engine counts as stuck.
// Where a prefill isn't a run, a call to an engine that may only be slow ends when the next
// try is prepared.
func (e *Entry) callPrefill(ctx context.Context, j *job, p *plan) (*endpoint.PrefillAnswer, error) {
	prefill := func(ctx context.Context) (*endpoint.PrefillAnswer, error) {
		return connectAndCall(ctx, e, j, p.prefillSpec, e.newCall(j, p.prefillSpec, p.prefillAttempt), func(call endpoint.Call) (*endpoint.PrefillAnswer, error) {
			return e.engine.Prefill(ctx, call, j.work)
		})
	}
	if e.traits.PrefillRuns || j.deadline == 0 || j.isNextTry {
		limited, cancel := context.WithTimeout(ctx, e.prefillTimeout(p))
		defer cancel()
		return prefill(limited)
	}
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	at := processOf(p.prefillSpec)
	next := e.newNextPrefill(ctx, j, p)
	limit, began := e.prefillTimeout(p), time.Now()
	w := newWatchdog(limit, 0, callControl{
		mayCancel: func(w *watchdog) bool { return next.prepare(limited, w) || e.checkLiveness(limited, at).gone },
		cancel:    cancel,
	})
	ans, err := prefill(limited)
	w.stop()
	cancel()
	j.lateResult = err == nil && time.Since(began) > limit
	switch prepared := next.close(j); {
	case prepared && err == nil:
		next.release()
	case prepared:
		j.next = next
	}
	if err != nil && w.fired.Load() && ctx.Err() == nil {
		err = endedSilent(p.prefillSpec, err, &stallError{blackboard.PhasePrefill, w.silence(), w.lastCheck()})
	}
	return ans, err
}

// endedSilent returns the error of a call to a silent engine that was ended with err. An
// attempt to connect has timed out then, which counts against the failure domain.
func endedSilent(spec *config.Endpoint, err error, stalled *stallError) error {
	switch {
	case endpoint.Unreachable(err):
		return &endpoint.CallError{Address: spec.Address, Cause: context.DeadlineExceeded}
	case endpoint.MayHaveRun(err):
		return &endpoint.CallError{Address: spec.Address, MayHaveRun: true, Cause: stalled}
	}
	return err
}

// markRun records that a call is made which may run the request, if runs is set. The
// returned function undoes this when the endpoint vouches that the call didn't run.
func (j *job) markRun(runs bool) (undo func()) {
	if !runs {
		return func() {}
	}
	ran, started := j.possiblyRan, j.started
	j.possiblyRan, j.started = true, true
	j.attempts++
	return func() {
		j.possiblyRan, j.started = ran, started
		j.attempts--
	}
}

// prefillTimeout returns how long a prefill may take. Where a prefill isn't a run, another
// engine may be asked soon.
func (e *Entry) prefillTimeout(p *plan) time.Duration {
	if e.traits.PrefillRuns {
		return prefillTimeoutBase + prefillTimeoutFactor*p.PrefillDuration
	}
	return repeatableTimeoutBase + prefillTimeoutFactor*(p.PrefillDuration+p.QueueDuration)
}

// recordCall updates the endpoint table with the outcome of a call.
func (e *Entry) recordCall(ctx context.Context, j *job, spec *config.Endpoint, ph blackboard.Phase, err error, took time.Duration) {
	if err != nil {
		e.logCall(j, spec, string(ph), err, took)
	}
	if err != nil && ctx.Err() != nil {
		return // the caller left, or its deadline passed
	}
	if endpoint.KnownUnreachable(err) {
		return // nothing was tried
	}
	outcome := route.OutcomeCompleted
	switch {
	case err == nil:
	case endpoint.WrongEndpoint(err), endpoint.Unreachable(err), isSilence(err):
		outcome = route.OutcomeUnreachable
	case !endpoint.MayHaveRun(err):
		outcome = route.OutcomeFull
	default:
		outcome = route.OutcomeFailed
	}
	now := time.Now()
	number := route.Number(spec.Name)
	e.board.Endpoints.Update(number, func(s *route.State) { s.Calls.Record(now, outcome, took) })
	switch {
	case endpoint.Answered(err) && e.board.RecordAnswer(spec.Domain):
		e.log.Info("failure domain back", zap.String("domain", spec.Domain), zap.String("heard", spec.Name))
	case endpoint.ConnectTimedOut(err) && e.board.Paths.SilenceConclusive(spec.Address, now.Add(-took)) && e.board.RecordMiss(spec.Domain, number, now.Add(-took), now):
		e.log.Warn("failure domain cut off", zap.String("domain", spec.Domain), zap.String("silent", spec.Name))
	}
}

// engineTime returns the time of a call without what it waited on this host's own link, to connect
// and for its answer: an owner would take that for the engine's.
func (e *Entry) engineTime(took time.Duration) time.Duration {
	return max(0, took-2*e.board.Link.Estimate(time.Now()))
}

// reportEvery is the number of ordinary prefill ends per reported one.
const reportEvery = 4

// shouldReport reports whether the end of a prefill is sent to the engine's owner. The
// owner forecasts the end; it needs the unexpected ones, and a sample of the others to
// learn the engine's speed and cache hits from.
func (e *Entry) shouldReport(p *plan, rel owner.Release) bool {
	took := time.Duration(rel.Millis) * time.Millisecond
	off := (took - p.PrefillDuration).Abs()
	return off > ordinaryDeviation+p.PrefillDuration/4 || e.sequence.Load()%reportEvery == 0
}

// ordinaryDeviation is how far from its forecast an ordinary prefill may end: the owner
// grants slots somewhat ahead of the engine.
const ordinaryDeviation = 80 * time.Millisecond

// Prefill timeouts: after this time the engine counts as stuck.
const (
	prefillTimeoutBase    = 3 * time.Second
	repeatableTimeoutBase = 250 * time.Millisecond
	prefillTimeoutFactor  = 4
)

func (e *Entry) newCall(j *job, spec *config.Endpoint, a request.Attempt) endpoint.Call {
	call := endpoint.Call{Address: spec.Address, Attempt: a.String(), Name: spec.Name, Version: j.view.WantVersion(spec), Repeatable: j.repeatable,
		KeepResultMillis: spec.ResultKeepMillis, OnNotice: e.noticeHandler(spec)}
	if j.team != defaultTeam {
		call.Team = j.team.Name
	}
	return call
}

// abort cancels an attempt at an endpoint that may hold memory for it. It doesn't wait; if
// the call is lost, the endpoint's owner finds the attempt.
func (e *Entry) abort(spec *config.Endpoint, a request.Attempt) {
	if e.traits.DisconnectAborts {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		_ = e.engine.Abort(ctx, spec.Address, a.String())
	}()
}

const abortTimeout = time.Second

// discardResult drops an unused prefill result and releases the decode reservation.
func (e *Entry) discardResult(j *job, p *plan, kv *endpoint.Transfer) {
	e.dropResult(j, p, kv)
	e.releaseDecode(j, p, owner.Abandoned)
}

// dropResult makes the prefill engine free a result. It doesn't wait; if the call is lost,
// the result expires.
func (e *Entry) dropResult(j *job, p *plan, kv *endpoint.Transfer) {
	if p.prefillSpec == nil {
		return
	}
	j.wastedTokens += p.prefilledTokens
	e.board.Requests.Close(p.prefillAttempt)
	e.abort(p.prefillSpec, p.prefillAttempt)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		_ = e.engine.Discard(ctx, kv)
	}()
}
