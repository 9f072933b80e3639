package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// A request under which endpoints crashed is sent to another endpoint only with a probe,
// and to none once the crashes are attributed to it (package quarantine). Every call to an
// endpoint that runs a request is made after acquireProbeAt, between beginRun and endRun.

const (
	// maxIdleWait is how long a request that holds nothing yet waits for its probe. Other
	// probes of the same request, one after the other, have ended or settled by then.
	maxIdleWait = 3 * time.Second
	// holdingWait is the same for a request that holds an engine's slot or memory.
	holdingWait = 200 * time.Millisecond
	// probeRetryAfter is the retry time of a request that had no probe in time.
	probeRetryAfter = time.Second
	// probePollStart is the time between the first two requests for a probe. It doubles up
	// to probePollMax, as hundreds may wait for the same one.
	probePollStart = 50 * time.Millisecond
	probePollMax   = 400 * time.Millisecond
	// marksPollInterval is how often a request looks whether this host, which has just started, knows the marks of others.
	marksPollInterval = 10 * time.Millisecond
	// maxMarksWait is how long it waits for that. Others may be silent, and it has to be served without them.
	maxMarksWait = 50 * time.Millisecond
	// maxCrashesPerJob is how many endpoints may crash under one job. After the first crash a
	// request is sent to one further endpoint, as most requests in progress at a crash are
	// innocent. One that was in progress at two crashes waits until its caller sends it
	// again.
	maxCrashesPerJob = 2
)

// acquireProbe returns nil if a request may be sent to some endpoint. A suspected request,
// which holds nothing yet, waits for that. Requests that aren't suspected cost no message.
func (e *Entry) acquireProbe(ctx context.Context, j *job) *result.Error {
	for end := time.Now().Add(maxMarksWait); !e.owners.MarksKnown() && time.Now().Before(end); {
		if !wait.For(ctx, marksPollInterval) {
			break
		}
	}
	_, refusal := e.requestProbe(ctx, j, quarantine.Ask{Stage: quarantine.Running, Room: e.runCapacity(j)}, j.idleWait())
	return refusal
}

// acquireProbeAt returns nil if a request may be sent to an endpoint now; elsewhere says
// that it may be sent to another one, but not to this one.
func (e *Entry) acquireProbeAt(ctx context.Context, j *job, spec *config.Endpoint, s quarantine.Stage) (elsewhere bool, refusal *result.Error) {
	return e.requestProbe(ctx, j, quarantine.Ask{Stage: s, Endpoint: route.Number(spec.Name)}, holdingWait)
}

// runCapacity returns how many endpoints may run a request, or 0 if no request is
// suspected.
func (e *Entry) runCapacity(j *job) (n int) {
	if e.noSuspects() {
		return 0
	}
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		if g := j.group(fleet); g != nil {
			n = len(g.Decode.All()) + len(g.Service.All())
		}
	})
	return max(1, n)
}

// canSendTo reports whether a request may be sent to an endpoint now.
func (e *Entry) canSendTo(ctx context.Context, j *job, spec *config.Endpoint) bool {
	elsewhere, refusal := e.acquireProbeAt(ctx, j, spec, quarantine.Running)
	return !elsewhere && refusal == nil
}

// refusalOrIneligible returns the refusal or, if it is nil, the failure of a try at an endpoint
// that runs another suspected request.
func refusalOrIneligible(refusal *result.Error, spec *config.Endpoint) error {
	if refusal != nil {
		return refusal
	}
	return ineligibleFailure(spec, route.ReasonProbe)
}

// probeWaitFailure is the failure of a try that releases what it holds after a refusal at
// its decode engine. If it had no probe in time it is retried, as it may wait longer while
// it holds nothing: when many equal requests arrive while engines crash before the first
// answer, the last ones would be refused otherwise.
func probeWaitFailure(refusal *result.Error, spec *config.Endpoint) error {
	if refusal.Code == result.UnderTrial {
		return ineligibleFailure(spec, route.ReasonProbe)
	}
	return refusal
}

// decodeRecheckDelay is the wait before decode engines are checked again if each of them
// was running another suspected request.
const decodeRecheckDelay = 50 * time.Millisecond

// recheckDecode looks for a decode engine once more for a result that is still kept, after
// each engine in turn was running another suspected request. These engines were excluded
// although they are busy only for the time of an answer. Left excluded, requests were
// refused although engines were free.
func (e *Entry) recheckDecode(ctx context.Context, j *job, p *plan, expires time.Time) {
	if time.Until(expires) < minResultLeft+decodeRecheckDelay || !wait.For(ctx, decodeRecheckDelay) {
		return
	}
	e.board.Requests.Close(p.decodeAttempt)
	j.criteria.Exclude = p.initialExclude
	e.findDecode(ctx, j, p)
}

// allDecodesBusy is the failure of a try that found each decode engine running another
// suspected request until its result expired. What the try held is released. The request is
// tried again.
func allDecodesBusy(j *job, p *plan) error {
	j.criteria.Exclude = p.initialExclude
	r := ineligibleFailure(p.lastDecodeSpec, route.ReasonProbe)
	r.sameEndpoint = true
	return r
}

// requestProbe implements acquireProbe and acquireProbeAt. The caller sets all of a but the
// request and its holder.
func (e *Entry) requestProbe(ctx context.Context, j *job, a quarantine.Ask, maxWait time.Duration) (elsewhere bool, refusal *result.Error) {
	if e.noSuspects() {
		return false, nil
	}
	interval := probePollStart
	for end := time.Now().Add(maxWait); ; interval = min(2*interval, probePollMax) {
		s := e.suspicionOf(j)
		if s.verdict == quarantine.Free {
			return false, nil
		}
		retryAfter := probeRetryAfter
		if e.awaitsClearing(j, s) {
			retryAfter = s.retryIn
		} else if refusal := e.suspicionRefusal(j, s); refusal != nil {
			return false, refusal
		} else if reply := e.askProbe(ctx, j, s, a); reply.Granted || reply.Elsewhere {
			return reply.Elsewhere, nil
		}
		asked := time.Now()
		if end.Sub(asked) < interval || !wait.For(ctx, interval/2+rand.N(interval)) {
			return false, underProbe(j, s).After(retryAfter)
		}
		j.probeWaited += time.Since(asked)
	}
}

// askProbe asks once for a probe.
func (e *Entry) askProbe(ctx context.Context, j *job, s suspicion, a quarantine.Ask) quarantine.Reply {
	a.Request, a.Holder = j.fingerprint, j.probeHolder()
	if s.ofPart {
		a.Request, a.Part, a.Partly = s.part.Part.Key, true, s.part.Partly
	}
	j.probeKey = a.Request
	reply := e.owners.AcquireProbe(ctx, a)
	j.probing = j.probing || reply.Granted
	j.probeRetries = j.probeRetries || reply.Retry
	j.criteria.Probe = j.probing
	return reply
}

// awaitsClearing reports whether a request with a verdict waits instead of being refused, as answers
// in progress may still clear it.
func (e *Entry) awaitsClearing(j *job, s suspicion) bool {
	return s.verdict == quarantine.BackingOff && !s.ofPart && e.board.Suspects.MayBeCleared(j.fingerprint, clock.Now())
}

// excuseCrashes excuses the calls at which endpoints crashed, once another answer to the same request
// was complete: the request didn't cause the crashes then. It waits for that as long as answers in
// progress may show it.
func (e *Entry) excuseCrashes(ctx context.Context, j *job) {
	if j.crashedCalls == 0 || !j.repeatable || j.tries >= j.view.Doc.Limits.MaxAttempts {
		return
	}
	for end := time.Now().Add(j.idleWait()); ; {
		if verdict, _ := e.board.Suspects.Evaluate(j.fingerprint, clock.Now()); verdict == quarantine.Free {
			j.excusedCalls += j.crashedCalls
			j.crashCount, j.crashedCalls = 0, 0
			return
		}
		if !e.board.Suspects.MayBeCleared(j.fingerprint, clock.Now()) || time.Now().After(end) || !wait.For(ctx, probePollStart) {
			return
		}
	}
}

// quarantineRefusal returns the refusal of a request that isn't sent to any endpoint now,
// or nil.
func (e *Entry) quarantineRefusal(j *job) *result.Error {
	if e.noSuspects() {
		return nil
	}
	s := e.suspicionOf(j)
	if e.awaitsClearing(j, s) {
		return nil
	}
	return e.suspicionRefusal(j, s)
}

// suspicionRefusal returns the refusal for a suspicion, or nil. A request that crashes are
// attributed to gets no retry time: callers should stop sending it.
func (e *Entry) suspicionRefusal(j *job, s suspicion) *result.Error {
	switch {
	case s.verdict == quarantine.Blamed && s.ofPart:
		e.board.Parts.CountRefused()
		return result.Errorf(result.PartEnds, "endpoints crashed as they began to answer requests with part %q of this prompt", s.part.Part.Name)
	case s.verdict == quarantine.Blamed:
		e.board.Suspects.CountRefused()
		e.logBlamed(j)
		return result.Errorf(result.EndsEndpoints, "endpoints crashed while they ran this request (%s)", j.fingerprint)
	case s.verdict == quarantine.BackingOff:
		return underProbe(j, s).After(s.retryIn)
	}
	return nil
}

// logBlamed logs what the refusal of a blamed request rests on.
func (e *Entry) logBlamed(j *job) {
	a := e.board.Suspects.Account(j.fingerprint, clock.Now())
	e.log.Info("blamed request refused", zap.Stringer("request", j.fingerprint), zap.Stringers("crashes", a.Crashes), zap.Int("moments", a.Moments),
		zap.Int("retries", a.Retries), zap.Duration("since_last", a.SinceLast), zap.Duration("since_retry", a.SinceRetry))
}

// underProbe is the refusal of a request that can't be probed yet.
func underProbe(j *job, s suspicion) *result.Error {
	if s.ofPart {
		return result.Errorf(result.UnderTrial, "endpoints crashed as they began to answer requests with part %q of this prompt, and it can't be tried again yet", s.part.Part.Name)
	}
	return result.Errorf(result.UnderTrial, "an endpoint crashed while it ran this request (%s), and it can't be tried again yet", j.fingerprint)
}

// idleWait returns how long a job that holds nothing waits for its probe.
func (j *job) idleWait() time.Duration {
	if j.deadline == 0 {
		return maxIdleWait
	}
	return min(maxIdleWait, time.Until(j.arrived.Add(j.deadline))/2)
}

// probeHolder identifies the job's next run as the holder of a probe.
func (j *job) probeHolder() uint64 {
	return xxhash.Sum64String(j.id.String() + "/" + strconv.Itoa(j.failedProbes))
}

// leaveProbe leaves the end of the job's probe to the check of the process at which its run broke off.
func (j *job) leaveProbe() {
	j.probing, j.probeRetries, j.settled, j.probeSent, j.criteria.Probe = false, false, false, false, false
}

// settleProbe lets equal requests run beside a job whose answer progresses well.
func (e *Entry) settleProbe(j *job) {
	if !j.probing || j.settled {
		return
	}
	j.settled = true
	go e.owners.EndProbe(j.probeKey, j.probeHolder(), quarantine.ProbeSettled)
}

// endProbe ends the job's probe, if it has one.
func (e *Entry) endProbe(j *job) {
	if !j.probing {
		return
	}
	end := quarantine.ProbeOver
	if !j.probeSent {
		end = quarantine.ProbeUnsent
	}
	j.leaveProbe()
	go e.owners.EndProbe(j.probeKey, j.probeHolder(), end)
}
