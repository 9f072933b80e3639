package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/copies"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/route"
)

// A call to a silent engine is canceled only once the request's next try is certain: another
// pair of endpoints has granted capacity, or a replica can be used, and the retry budget is
// charged. Until then the engine is waited for, as it may go on.

// handover prepares the next try of a job during its current decode call.
type handover struct {
	entry   *Entry
	from    *config.Endpoint // the engine of the current call
	replica *replicaHold     // the engine that keeps a replica; nil: none
	ctx     context.Context  // of the request, in which a replica is resumed from
	sent    int              // chunks that the caller had before the call

	mu          sync.Mutex         // held while the next try is prepared
	job         job                // a copy that the next try is placed with
	criteria    route.Request      // of the job when the call began, without its engine
	progressed  func() bool        // since the preparation began
	closed      bool               // the call has ended
	abandoned   int                // calls that may have run and were given up
	paid        bool               // the retry budget is charged
	opened      *openedCall        // the call of the next try; nil: it isn't made yet
	fromReplica bool               // that call resumes from the replica
	kv          *endpoint.Transfer // the prefill result of the next try; nil: none
	plan        *plan              // the placed next try; nil: none
}

// newHandover returns the handover of a decode call that is about to be made.
func (e *Entry) newHandover(j *job, p *plan) *handover {
	h := &handover{entry: e, from: p.decodeSpec, sent: j.reply.chunks(), job: *j}
	if p.replica != nil {
		h.replica = p.replica
	}
	h.job.placingNext = true
	h.job.criteria.AddExcluded(route.Number(p.decodeSpec.Name))
	h.criteria = h.job.criteria
	return h
}

// hasTries reports whether a job whose call may have run may be tried once more.
func (j *job) hasTries() bool {
	return j.repeatable && j.crashCount < maxCrashesPerJob && j.tries < j.view.Doc.Limits.MaxAttempts && j.attempts < j.maxAttempts()
}

// prepare makes the next try certain and reports whether it is. w watches the current call;
// preparation ends when that call progresses.
func (h *handover) prepare(ctx context.Context, w *watchdog) bool {
	if !h.mu.TryLock() {
		return false // it is being prepared
	}
	defer h.mu.Unlock()
	if h.closed || h.paid {
		return false
	}
	silent, cancel := w.untilProgress(ctx)
	defer cancel()
	h.job.criteria = h.criteria
	before := w.lastProgress.Load()
	h.progressed = func() bool { return w.lastProgress.Load() != before }
	h.job.reply = frozenReply{sent: h.sent}
	if w.answering.Load() {
		h.job.reply = frozenReply{sent: h.sent + 1}
	}
	if h.isSuspected() {
		return false
	}
	return h.prepareReplica(silent, w) || h.preparePlan(silent, w)
}

// isSuspected reports whether endpoints crashed under the request. It isn't handed over, as
// each further engine needs a probe.
func (h *handover) isSuspected() bool {
	s := h.entry.board.Suspects
	if s.Empty() {
		return false
	}
	verdict, _ := s.Evaluate(h.job.fingerprint, clock.Now())
	return verdict != quarantine.Free
}

// prepareReplica reports whether the answer resumes from its replica. Only the call itself shows
// whether the replica still exists; without it nothing runs.
func (h *handover) prepareReplica(ctx context.Context, w *watchdog) bool {
	if h.replica == nil || !w.answering.Load() {
		return false
	}
	e, spec := h.entry, h.replica.spec
	end := copies.End{Replicated: true, MayHaveRun: true, DecodeTime: time.Since(w.first)}
	if !end.CanContinue() || h.silentOf(ctx, spec) != nil || h.progressed() || !e.maySendToReplica(ctx, &h.job, spec) {
		return false
	}
	chunks, lastEventID := w.delivered()
	if h.open(ctx, spec, h.replica.attempt, replicaWork(&h.job, spec, chunks, lastEventID)) != nil {
		e.Replicas.Missing.Add(1)
		h.replica = nil
		return false
	}
	h.paid, h.fromReplica = true, true
	return true
}

// acceptTimeout bounds the wait for an engine to accept a call. Two engines must not work on the
// same request for longer than 400 ms.
const acceptTimeout = 300 * time.Millisecond

// open makes the decode call of the next try. It is canceled if the engine hasn't accepted it in
// time, or ctx ends before.
func (h *handover) open(ctx context.Context, spec *config.Endpoint, attempt request.Attempt, work *endpoint.Work) error {
	call, cancel := context.WithCancel(h.ctx)
	unlink := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(acceptTimeout, cancel)
	c, err := h.entry.openCall(call, &h.job, spec, attempt, work)
	if err == nil && timer.Stop() && unlink() {
		c.cancel = cancel
		h.opened = c
		return nil
	}
	cancel()
	if err == nil {
		c.abandon()
		err = &endpoint.CallError{Address: spec.Address, MayHaveRun: true, Cause: context.Canceled}
	}
	if endpoint.MayHaveRun(err) {
		h.job.attempts++
		h.abandoned++
	}
	return err
}

// maxPlans is how many pairs of endpoints one preparation tries.
const maxPlans = 3

// preparePlan reports whether another pair of endpoints takes the request over, and charges the
// retry budget. Only a limited number of jobs prepare at once, as many are silent together.
func (h *handover) preparePlan(ctx context.Context, w *watchdog) bool {
	e, j := h.entry, &h.job
	if !j.hasTries() || !e.hasRetryBudget(j, h.from.Name) {
		return false
	}
	select {
	case e.preparations <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.preparations }()
	if !j.view.Doc.Policy.Mode.Reserves() {
		h.paid = !h.progressed() && e.spendRetry(j, &retryable{endpointName: h.from.Name})
		return h.paid
	}
	for range maxPlans {
		if !h.place(ctx) || h.progressed() || ctx.Err() != nil || !e.spendRetry(j, &retryable{endpointName: h.from.Name}) {
			break
		}
		if !e.traits.DisconnectAborts || h.begin(ctx, w) {
			h.paid = true
			return true
		}
	}
	h.release()
	return false
}

// place places the next try on a pair of endpoints that answer.
func (h *handover) place(ctx context.Context) bool {
	e, j := h.entry, &h.job
	for range maxPlans {
		p, err := e.place(ctx, j)
		if err != nil {
			return false
		}
		h.plan = p
		silent := h.silentOf(ctx, p.decodeSpec, p.prefillSpec)
		if silent == nil && p.reserved {
			return true
		}
		h.release()
		if silent == nil {
			silent = p.decodeSpec
		}
		j.criteria.AddExcluded(route.Number(silent.Name))
	}
	return false
}

// begin makes the calls of the next try, up to the point where its decode engine has accepted the
// rest of the answer.
func (h *handover) begin(ctx context.Context, w *watchdog) bool {
	e, j, p := h.entry, &h.job, h.plan
	h.plan = nil // from here on, what fails releases it
	var kv *endpoint.Transfer
	if p.prefillSpec != nil {
		var err error
		if kv, err = e.prefillPlan(ctx, j, p); err != nil {
			j.criteria.AddExcluded(route.Number(p.prefillSpec.Name))
			return false
		}
	}
	if r := e.useOrAcquirePermit(ctx, j, p.decodeSpec, &p.permit); r != nil || h.progressed() {
		e.discardResult(j, p, kv)
		return false
	}
	chunks, lastEventID := w.delivered()
	if err := h.open(ctx, p.decodeSpec, p.decodeAttempt, decodeWork(j, kv, chunks, lastEventID)); err != nil {
		e.discardResult(j, p, kv)
		j.criteria.AddExcluded(route.Number(p.decodeSpec.Name))
		return false
	}
	h.plan, h.kv = p, kv
	return true
}

// silentOf returns the first of some endpoints that doesn't answer a request for its report,
// or nil: what made one engine silent may have made others silent too, which their owners
// learn later.
func (h *handover) silentOf(ctx context.Context, specs ...*config.Endpoint) *config.Endpoint {
	if !h.entry.traits.DisconnectAborts {
		return nil
	}
	for _, spec := range specs {
		if spec == nil {
			continue
		}
		if evidence, _ := h.entry.processEvidence(ctx, h.entry.crashes.process(spec)); evidence != quarantine.EvidenceAlive {
			return spec
		}
	}
	return nil
}

// release gives back what the next try was granted.
func (h *handover) release() {
	if h.opened != nil {
		h.opened.abandon()
		h.opened = nil
	}
	if h.plan == nil {
		return
	}
	if h.kv != nil {
		h.entry.dropResult(&h.job, h.plan, h.kv)
		h.kv = nil
	} else if h.plan.prefillSpec != nil {
		h.entry.releasePrefill(h.plan)
	}
	h.entry.releaseDecode(&h.job, h.plan, owner.Abandoned)
	h.plan = nil
}

// close ends the handover with its call, and reports whether the next try is prepared. What its
// preparation cost counts for the job in any case.
func (h *handover) close(j *job) (prepared bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	j.attempts += h.abandoned
	j.prefillCalls, j.prefilledTotal, j.wastedTokens = h.job.prefillCalls, h.job.prefilledTotal, h.job.wastedTokens
	return h.paid
}

// takePlan returns the plan that was prepared for the job's next try, and its prefill result.
func (j *job) takePlan() (*plan, *endpoint.Transfer) {
	h := j.next
	j.next = nil
	if h == nil || h.plan == nil {
		return nil, nil
	}
	j.opened = h.opened
	h.logTaken(j)
	j.pool, j.criteria, j.redirect, j.refusedRegions, j.regionLog = h.job.pool, h.job.criteria, h.job.redirect, h.job.refusedRegions, h.job.regionLog
	j.criteria.Probe = j.probing
	return h.plan, h.kv
}

// logTaken writes a log line on the engine that takes the job over.
func (h *handover) logTaken(j *job) {
	ok, lost := h.entry.logLimiter.admit(time.Now(), &j.logged, false)
	if !ok {
		return
	}
	h.entry.log.Info("taken over from a silent engine", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("endpoint", h.plan.decodeSpec.Name),
		zap.String("from", h.from.Name), zap.Int("pieces", j.reply.chunks()), zap.Uint64("lines_left_out", lost))
}

// dropNext gives up the next try that was prepared, if it wasn't made.
func (j *job) dropNext() {
	if j.next != nil {
		j.next.release()
		j.next = nil
	}
}

// frozenReply stands for the caller's answer in the copy of a job, which only asks how many
// chunks the caller has.
type frozenReply struct {
	replyWriter
	sent int
}

func (r frozenReply) chunks() int { return r.sent }

// progressPoll is how often a preparation checks whether the silent engine goes on.
const progressPoll = 20 * time.Millisecond

// untilProgress returns a context that ends when the watched call progresses.
func (w *watchdog) untilProgress(parent context.Context) (context.Context, context.CancelFunc) {
	before := w.lastProgress.Load()
	ctx, cancel := context.WithCancel(parent)
	go func() {
		for wait.For(ctx, progressPoll) {
			if w.lastProgress.Load() != before {
				cancel()
			}
		}
	}()
	return ctx, cancel
}
