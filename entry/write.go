package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// decode has the answer generated from a prefilled prompt and relays it. While the prefill
// result is kept, it moves to other decode engines where needed.
func (e *Entry) decode(ctx context.Context, j *job, p *plan, kv *endpoint.Transfer) error {
	expires := time.Now().Add(forever)
	if kv != nil {
		expires = time.Now().Add(keptFor(kv))
	}
	full, lost := 0, 0
	p.initialExclude = j.criteria.Exclude
	defer func() { e.releaseReplica(j, p) }()
	for {
		if j.opened != nil && !j.mayGoOnAt(p.decodeSpec) {
			j.opened.abandon()
			j.opened = nil
			e.discardResult(j, p, kv)
			return ineligibleFailure(p.decodeSpec, route.ReasonSoftware)
		}
		if j.opened == nil {
			if ready, err := e.readyToDecode(ctx, j, p, kv, expires); err != nil {
				return err
			} else if !ready {
				continue
			}
		}
		before := j.reply.chunks()
		err := e.decodeOnce(ctx, j, p, kv)
		if err != nil {
			err = e.resumeFromReplica(ctx, j, p, err, j.reply.chunks() > before)
		}
		if err == nil {
			e.board.Requests.Close(p.decodeAttempt)
			e.retryBudgets.Earn(j.team.Name, p.decodeSpec.Name, j.view.Doc.Limits.RetryShare)
			return nil
		}
		var stalled *stallError
		switch {
		case ctx.Err() != nil:
			e.discardResult(j, p, kv)
			return asResult(ctx.Err())
		case j.reply.chunks() > before: // chunks were relayed: the result is used up
			return e.callFailure(p.decodeSpec, err)
		case j.next != nil: // all endpoints are chosen already
			e.releaseDecode(j, p, failedOutcome(err))
			e.dropResult(j, p, kv)
			return e.callFailure(p.decodeSpec, err)
		case endpoint.Unreachable(err), endpoint.WrongEndpoint(err):
			e.moveDecode(ctx, j, p, failedOutcome(err), true)
		case !endpoint.MayHaveRun(err) && p.promptCached:
			e.releaseDecode(j, p, owner.Rejected)
			return e.callFailure(p.decodeSpec, err)
		case !endpoint.MayHaveRun(err) && e.resultLapsed(j, p, kv, expires):
			e.dropResult(j, p, kv)
			kv, expires, p.prefillSpec = nil, time.Now().Add(forever), nil // the engine prefills the prompt itself
		case !endpoint.MayHaveRun(err) && j.lateResult && e.resultMayBeLost(j, p, kv):
			// Its time began at the prefill engine, and has passed on the way.
			e.discardResult(j, p, kv)
			return e.resultLost(p)
		case !endpoint.MayHaveRun(err):
			full++
			p.decodeWasFull = true
			if e.resultMayBeLost(j, p, kv) {
				lost++
				e.suspectResult(p)
			}
			if lost == maxLostRefusals {
				e.discardResult(j, p, kv)
				return e.resultLost(p)
			}
			if e.retryBudgets.Windowed() {
				e.moveDecode(ctx, j, p, owner.Rejected, true)
			}
		case errors.As(err, &stalled) && !j.repeatable:
			// Nothing was written, but the engine may have begun since.
			e.discardResult(j, p, kv)
			return e.callFailure(p.decodeSpec, err)
		case errors.As(err, &stalled):
			e.moveDecode(ctx, j, p, failedOutcome(err), countStall(p))
		default:
			if !j.repeatable || j.attempts >= j.maxAttempts() || j.crashCount >= maxCrashesPerJob {
				e.discardResult(j, p, kv)
				return e.callFailure(p.decodeSpec, err)
			}
			e.moveDecode(ctx, j, p, failedOutcome(err), true)
		}
		over := time.Until(expires) < minResultLeft || p.decodeSpec == nil
		if over || !e.spendDecodeCall(j) {
			e.dropResult(j, p, kv)
			if p.decodeSpec != nil {
				e.releaseDecode(j, p, owner.Abandoned)
			}
			return e.wastedPrefill(j, p, err, !over)
		}
		if !e.retryBudgets.Windowed() && full > 0 && full%fullTriesBeforeMove == 0 {
			e.moveIfCapacity(ctx, j, p)
		}
		pause := max(fullRetryWait/2+rand.N(fullRetryWait), time.Until(p.transferStart))
		if !wait.For(ctx, min(pause, time.Until(expires))) {
			e.discardResult(j, p, kv)
			return asResult(ctx.Err())
		}
	}
}

// readyToDecode reports whether the decode engine may be called now. If it may not, the request
// has moved to another one. It returns an error if there is none.
func (e *Entry) readyToDecode(ctx context.Context, j *job, p *plan, kv *endpoint.Transfer, expires time.Time) (ready bool, err error) {
	for b := e.ineligibleReason(j, p.decodeSpec); b != route.ReasonNone; b = e.ineligibleReason(j, p.decodeSpec) {
		if err := e.moveFromIneligible(ctx, j, p, kv, expires, b); err != nil {
			return false, err
		}
	}
	if j.criteria.Continues && !e.isRegistered(ctx, p.decodeSpec) {
		return false, e.moveFromIneligible(ctx, j, p, kv, expires, route.ReasonSoftware)
	}
	elsewhere, refusal := e.acquireProbeAt(ctx, j, p.decodeSpec, quarantine.Running)
	if refusal != nil {
		e.discardResult(j, p, kv)
		return false, probeWaitFailure(refusal, p.decodeSpec)
	}
	if elsewhere {
		return false, e.moveFromIneligible(ctx, j, p, kv, expires, route.ReasonProbe)
	}
	e.reserveReplica(ctx, j, p) // before the permit, which expires
	if r := e.useOrAcquirePermit(ctx, j, p.decodeSpec, &p.permit); r != nil {
		return false, e.moveFromIneligible(ctx, j, p, kv, expires, r.reason)
	}
	return true, nil
}

// maxLostRefusals is how many decode engines with capacity must refuse a result until the
// prefill engine is assumed to have lost it.
const maxLostRefusals = 2

// resultMayBeLost reports whether a result that the decode engine refused may be lost at
// the prefill engine: the decode engine granted memory for the request and has capacity for
// another like it, so it can hardly have refused it as full. Where a prefill counts as a
// run, the prompt isn't prefilled again in any case.
func (e *Entry) resultMayBeLost(j *job, p *plan, kv *endpoint.Transfer) (hasCapacity bool) {
	if kv == nil || !p.reserved || e.traits.PrefillRuns {
		return false
	}
	e.board.Endpoints.Update(route.Number(p.decodeSpec.Name), func(s *route.State) {
		hasCapacity = int(s.Digest.FreeTokens) >= j.tokens && s.Digest.FreeSlots > 0
	})
	return hasCapacity
}

// resultLapsed reports whether a result that the decode engine refused was kept no longer: its time
// passed on the way, from the prefill engine or to the decode engine. It is false if decode
// engines can't prefill prompts, or another prefill engine can do it again.
func (e *Entry) resultLapsed(j *job, p *plan, kv *endpoint.Transfer, expires time.Time) bool {
	if kv == nil || !e.traits.DecodePrefills {
		return false
	}
	mayBeLost := e.resultMayBeLost(j, p, kv)
	if j.lateResult && mayBeLost && e.mayPrefillElsewhere(j, p) {
		return false
	}
	return time.Until(expires) < minResultLeft || j.lateResult && (mayBeLost || !p.reserved)
}

// mayPrefillElsewhere reports whether the job has a try left at another prefill engine, and that
// one's result would arrive in time.
func (e *Entry) mayPrefillElsewhere(j *job, p *plan) bool {
	if !j.hasTriesUnrun() || !e.hasRetryBudget(j, p.prefillSpec.Name) {
		return false
	}
	criteria := j.criteria
	defer func() { j.criteria = criteria }()
	j.criteria.AddExcluded(route.Number(p.prefillSpec.Name))
	c, _ := e.choosePair(j, 0)
	return c.Prefill != nil && !e.resultWouldLapse(c.Prefill)
}

// suspectResult records that a decode engine with capacity refused a result. Either its
// owner was wrong, which happens with results of any prefill engine, or the result is lost,
// which happens repeatedly only with the engine that made it.
func (e *Entry) suspectResult(p *plan) {
	number, now := route.Number(p.prefillSpec.Name), time.Now()
	e.board.Endpoints.Update(number, func(s *route.State) { s.Calls.Record(now, route.OutcomeFailed, 0) })
	e.owners.Release(p.prefillSpec, owner.Release{Attempt: p.prefillAttempt, Endpoint: number, Outcome: owner.Failed})
}

// resultLost is the failure of a try whose result is lost. Nothing of the request has run,
// so another prefill engine may prefill its prompt.
func (e *Entry) resultLost(p *plan) error {
	refusal := result.Errorf(result.NoDecodeMemory, "the prefill result of %s was refused", p.prefillSpec.Name).After(time.Second)
	return &retryable{endpointName: p.prefillSpec.Name, refusal: refusal}
}

// spendDecodeCall charges one more call to a decode engine to the retry budget, where
// further calls are counted.
func (e *Entry) spendDecodeCall(j *job) bool {
	return j.decodeCalls == 0 || e.retryBudgets.SpendInWindow(j.pool, time.Now(), 1)
}

const (
	minResultLeft       = 100 * time.Millisecond // of the time a result is kept
	fullRetryWait       = 20 * time.Millisecond  // between tries at a full engine
	fullTriesBeforeMove = 8                      // tries at a full engine before another one is tried
	forever             = 24 * time.Hour         // for which a prompt without a result to keep is valid
)

// countStall counts a stalled transfer and reports whether this engine has stalled one
// before: the first is retried in place, the next moves to another engine.
func countStall(p *plan) bool {
	p.stalls++
	return p.stalls > 1
}

// moveIfCapacity moves a request that waits at a full engine to another, if that one's
// owner grants capacity. Otherwise it keeps waiting.
func (e *Entry) moveIfCapacity(ctx context.Context, j *job, p *plan) {
	old := *p
	j.criteria.AddExcluded(route.Number(p.decodeSpec.Name))
	c, _ := e.choosePair(j, 0)
	if c.Decode == nil {
		return
	}
	p.decodeSpec, p.TransferDuration = c.Decode, c.TransferDuration
	if refusal := e.reserve(ctx, j, p, 0); refusal != nil || !p.reserved {
		e.board.Requests.Close(p.decodeAttempt)
		*p = old
		return
	}
	e.releaseDecode(j, &old, owner.Rejected)
}

// moveDecode finds another decode engine for the job's result, or opens a new attempt at
// the same one if move is false. p.decodeSpec is nil if there is none.
func (e *Entry) moveDecode(ctx context.Context, j *job, p *plan, outcome owner.Outcome, move bool) {
	e.releaseDecode(j, p, outcome)
	p.lastDecodeSpec = p.decodeSpec
	if !move {
		p.decodeAttempt = e.board.Requests.Open(j.id)
		return
	}
	j.criteria.AddExcluded(route.Number(p.decodeSpec.Name))
	e.findDecode(ctx, j, p)
}

// findDecode finds a decode engine that isn't excluded for the job's result. p.decodeSpec
// is nil if there is none.
func (e *Entry) findDecode(ctx context.Context, j *job, p *plan) {
	p.decodeSpec = nil
	c, _ := e.chooseDecode(j)
	if c.Decode == nil {
		p.decodeAttempt = e.board.Requests.Open(j.id)
		return
	}
	p.stalls = 0
	p.decodeSpec, p.TransferDuration = c.Decode, c.TransferDuration
	p.QueueDuration, p.PrefillDuration = 0, 0
	if refusal := e.reserve(ctx, j, p, 0); refusal != nil {
		p.decodeAttempt = e.board.Requests.Open(j.id) // the engine's own admission decides
	}
}

// wastedPrefill is the failure of a try whose prompt was prefilled for nothing. Where a
// prefill is no run, nothing of the request has run. It isn't prefilled again, as that
// would hardly find more capacity. budgetSpent says that only the retry budget stops it.
func (e *Entry) wastedPrefill(j *job, p *plan, err error, budgetSpent bool) error {
	spec := p.orLastDecode(p.decodeSpec)
	if !e.traits.PrefillRuns && !j.possiblyRan {
		switch {
		case budgetSpent:
			return result.Errorf(result.RetryBudget, "the retry budget is spent; %s refused the request after the prefill", spec.Name).After(time.Second)
		case endpoint.Unreachable(err) && e.hasNoPath(spec):
			return result.Errorf(result.NoEndpoint, "neither this host nor another one reaches %s after the prefill, and no other decode engine is open", spec.Name).After(time.Second)
		case endpoint.Unreachable(err):
			return result.Errorf(result.NoEndpoint, "%s accepted no connection after the prefill, and no other decode engine is open", spec.Name).After(time.Second)
		}
		return result.Errorf(result.NoDecodeMemory, "%s and others had no decode memory after the prefill", spec.Name).After(time.Second)
	}
	r := e.callFailure(spec, err)
	r.sameEndpoint = true
	r.mayHaveRun = true
	r.refusal = result.Errorf(result.PrefillWasted, "no decode engine accepted the request while its prefill result was kept").After(time.Second)
	return r
}

// stallError is a stream that made no progress.
type stallError struct {
	phase  blackboard.Phase
	silent time.Duration
	check  livenessCheck
}

// Error implements the error interface.
func (s *stallError) Error() string {
	return fmt.Sprintf("no progress in %s for %s, %s", s.phase, s.silent.Round(time.Millisecond), s.check)
}
