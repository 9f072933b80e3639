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

	mu         sync.Mutex    // held while the next try is prepared
	job        job           // a copy that the next try is placed with
	criteria   route.Request // of the job when the call began, without its engine
	progressed func() bool   // since the preparation began
	closed     bool          // the call has ended
	paid       bool          // the retry budget is charged
	resumed    *replicaCall  // the call that resumes from the replica; nil: none
	plan       *plan         // the placed next try; nil: none
	entered    bool          // it is counted in Entry.acceptances
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
	return h.prepareReplica(silent, w) || h.preparePlan(silent)
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

// replicaAnswerTimeout bounds the wait for the engine that keeps a replica: it answers at once,
// or the replica has expired.
const replicaAnswerTimeout = 250 * time.Millisecond

// prepareReplica reports whether the answer resumes from its replica. Only the call itself shows
// whether the replica still exists.
func (h *handover) prepareReplica(ctx context.Context, w *watchdog) bool {
	if h.replica == nil || !w.answering.Load() {
		return false
	}
	e, chunks, lastEventID := h.entry, 0, ""
	end := copies.End{Replicated: true, MayHaveRun: true, DecodeTime: time.Since(w.first)}
	if !end.CanContinue() || h.silentOf(ctx, h.replica.spec) != nil || h.progressed() || !e.maySendToReplica(ctx, &h.job, h.replica.spec) {
		return false
	}
	chunks, lastEventID = w.delivered()
	call, cancel := context.WithCancel(h.ctx)
	unlink := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(replicaAnswerTimeout, cancel)
	c, err := e.openReplica(call, &h.job, h.replica, chunks, lastEventID)
	if err == nil && timer.Stop() && unlink() {
		c.cancel = cancel
		h.resumed, h.paid = c, true
		return true
	}
	cancel()
	if err == nil {
		c.stream.Close()
		return false
	}
	e.Replicas.Missing.Add(1)
	h.replica = nil
	return false
}

// maxPlans is how many pairs of endpoints one preparation tries.
const maxPlans = 3

// preparePlan reports whether another pair of endpoints has granted capacity for a further
// try, and charges the retry budget.
func (h *handover) preparePlan(ctx context.Context) bool {
	e, j := h.entry, &h.job
	if !j.hasTries() || !e.hasRetryBudget(j, h.from.Name) {
		return false
	}
	if j.view.Doc.Policy.Mode.Reserves() && !h.placeAny(ctx) {
		return false
	}
	if h.progressed() || ctx.Err() != nil || !e.spendRetry(j, &retryable{endpointName: h.from.Name}) {
		h.release()
		return false
	}
	h.paid = true
	return true
}

// placeAny places the next try on a pair of endpoints that answer. Only a limited number of
// jobs do so at once, as many are silent together.
func (h *handover) placeAny(ctx context.Context) bool {
	e, j := h.entry, &h.job
	select {
	case e.preparations <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.preparations }()
	for range maxPlans {
		p, err := e.place(ctx, j)
		if err != nil {
			return false
		}
		h.plan = p
		silent := h.silentOf(ctx, p.decodeSpec, p.prefillSpec)
		if silent == nil && p.reserved && h.enter(ctx) {
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

// enter waits until the request may be handed over to the engine of the next try.
func (h *handover) enter(ctx context.Context) bool {
	h.entered = h.entry.acceptances.enter(ctx, h.plan.decodeSpec.Name, h)
	return h.entered
}

// leave records what the engine of the next try did with the request.
func (h *handover) leave(accepted, refused bool) {
	if h.entered {
		h.entered = false
		h.entry.acceptances.leave(h.plan.decodeSpec.Name, h, accepted, refused)
	}
}

// release gives back what the next try was granted.
func (h *handover) release() {
	if h.resumed != nil {
		h.resumed.cancel()
		h.resumed.stream.Close()
		h.resumed = nil
	}
	if h.plan == nil {
		return
	}
	h.leave(false, false)
	if h.plan.prefillSpec != nil {
		h.entry.releasePrefill(h.plan)
	}
	h.entry.releaseDecode(&h.job, h.plan, owner.Abandoned)
	h.plan = nil
}

// close ends the handover with its call, and reports whether the next try is prepared.
func (h *handover) close() (prepared bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return h.paid
}

// takePlan returns the plan that was prepared for the job's next try, or nil.
func (j *job) takePlan() *plan {
	h := j.next
	j.next = nil
	if h == nil || h.plan == nil {
		return nil
	}
	j.handedOver = h
	h.logTaken(j)
	j.pool, j.criteria, j.redirect, j.refusedRegions, j.regionLog = h.job.pool, h.job.criteria, h.job.redirect, h.job.refusedRegions, h.job.regionLog
	j.criteria.Probe = j.probing
	return h.plan
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

// endHandover records how an engine answered the job that was handed over to it. If it
// refused, the job may return to the engine that it came from, which may have gone on.
func (j *job) endHandover(ctx context.Context, spec *config.Endpoint, err error) {
	if j.handedOver == nil {
		return
	}
	refused := err != nil && ctx.Err() == nil && !endpoint.MayHaveRun(err)
	j.handedOver.leave(err == nil, refused)
	j.handedOver = nil
	if refused {
		j.criteria.Exclude = [route.MaxExcluded]uint32{}
		j.criteria.AddExcluded(route.Number(spec.Name))
	}
}

// dropNext gives up the next try that was prepared, if it wasn't made.
func (j *job) dropNext() {
	if j.handedOver != nil {
		j.handedOver.leave(false, false)
		j.handedOver = nil
	}
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
