package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/route"
)

// A call to a silent engine is canceled only once the request's next try is certain: it has been
// made at another pair of endpoints, or at the engine that keeps a replica, up to the point where
// the engine has accepted it. Until then the silent engine is waited for, as it may go on.

// nextTry prepares the next try of a job during its current call.
type nextTry struct {
	entry   *Entry
	from    *config.Endpoint // the engine of the current call
	prefill bool             // that call is a prefill, which isn't a run
	replica *replicaHold     // the engine that keeps a replica; nil: none
	ctx     context.Context  // of the request; calls of the next try end with it
	sent    int              // chunks that the caller had before the call

	// opensReplica tells that the engine that keeps the replica is being called. The replica is used up by that, so the call is
	// waited for if the current one breaks off meanwhile.
	opensReplica atomic.Bool

	preparing       chan struct{}      // holds a value while the next try is prepared
	job             job                // a copy that the next try is placed with
	initialCriteria route.Request      // of the job when the call began, without its engine
	progressed      func() bool        // since the preparation began
	pause           time.Duration      // after the last preparation that made calls and failed
	notBefore       time.Time          // the next one that makes calls
	replicaUsed     bool               // a call to the engine that keeps the replica was given up and may have run
	closed          bool               // the call has ended
	abandoned       int                // calls that may have run and were given up
	prepared        bool               // the next try is certain
	opened          *openedCall        // the call of the next try; nil: it isn't made yet
	fromReplica     bool               // that call resumes from the replica
	kv              *endpoint.Transfer // the prefill result of the next try; nil: none
	plan            *plan              // the placed next try; nil: none
}

// newNextTry returns the next try of a call to an engine that is about to be made.
func (e *Entry) newNextTry(ctx context.Context, j *job, from *config.Endpoint) *nextTry {
	n := &nextTry{entry: e, from: from, ctx: ctx, sent: j.reply.chunks(), preparing: make(chan struct{}, 1), job: *j}
	n.job.isNextTry = true
	n.job.criteria.AddExcluded(route.Number(from.Name))
	n.initialCriteria = n.job.criteria
	return n
}

// newNextDecode returns the next try of a decode call that is about to be made.
func (e *Entry) newNextDecode(ctx context.Context, j *job, p *plan) *nextTry {
	n := e.newNextTry(ctx, j, p.decodeSpec)
	n.replica = p.replica
	return n
}

// newNextPrefill returns the next try of a prefill call that is about to be made. It
// places a whole pair: the memory that the current try reserved is for the time when its own
// prefill ends, and is released with it.
func (e *Entry) newNextPrefill(ctx context.Context, j *job, p *plan) *nextTry {
	n := e.newNextTry(ctx, j, p.prefillSpec)
	n.prefill = true
	return n
}

// hasTries reports whether a job whose call may have run may be tried once more.
func (j *job) hasTries() bool {
	return j.repeatable && j.attempts < j.maxAttempts() && j.hasTriesUnrun()
}

// hasTriesUnrun reports whether a job whose call didn't run may be tried once more.
func (j *job) hasTriesUnrun() bool {
	return j.crashCount < maxCrashesPerJob && j.tries < j.view.Doc.Limits.MaxAttempts
}

// hasTries reports whether the job may be tried once more after the current call.
func (n *nextTry) hasTries() bool {
	if n.prefill {
		return n.job.hasTriesUnrun()
	}
	return n.job.hasTries()
}

// prepare makes the next try certain and reports whether it is. w watches the current call;
// preparation ends when that call progresses.
func (n *nextTry) prepare(ctx context.Context, w *watchdog) bool {
	select {
	case n.preparing <- struct{}{}:
	default:
		return false // it is being prepared
	}
	defer func() { <-n.preparing }()
	if n.closed || n.prepared {
		return false
	}
	silent, cancel := w.untilProgress(ctx)
	defer cancel()
	n.job.criteria = n.initialCriteria
	before := w.lastProgress.Load()
	n.progressed = func() bool { return w.lastProgress.Load() != before }
	n.job.reply = sentReply{sent: n.sent}
	if w.answering.Load() {
		n.job.reply = sentReply{sent: n.sent + 1}
		n.bindNext(w.answerVersion())
	}
	if n.isSuspected() {
		return false
	}
	return n.prepareReplica(silent, w) || n.preparePlan(silent, w)
}

// isSuspected reports whether endpoints crashed under the request. Then no next try is prepared,
// as each further engine needs a probe.
func (n *nextTry) isSuspected() bool {
	return !n.entry.noSuspects() && n.entry.suspicionOf(&n.job).verdict != quarantine.Free
}

// release gives back what the next try was granted.
func (n *nextTry) release() {
	if n.opened != nil {
		n.opened.abandon()
		n.opened = nil
	}
	if n.plan == nil {
		return
	}
	if n.kv != nil {
		n.entry.dropResult(&n.job, n.plan, n.kv)
		n.kv = nil
	} else if n.plan.prefillSpec != nil {
		n.entry.releasePrefill(n.plan)
	}
	n.entry.releaseDecode(&n.job, n.plan, owner.Abandoned)
	n.plan = nil
}

// close ends the preparation with the current call, and reports whether the next try is prepared.
// What the preparation cost counts for the job in any case.
func (n *nextTry) close(j *job) (isPrepared bool) {
	n.preparing <- struct{}{}
	defer func() { <-n.preparing }()
	n.closed = true
	j.attempts += n.abandoned
	j.crashedCalls = max(j.crashedCalls, n.job.crashedCalls)
	j.crashCount, j.probing = max(j.crashCount, n.job.crashCount), j.probing || n.job.probing
	j.failedProbes = max(j.failedProbes, n.job.failedProbes)
	j.prefillCalls, j.prefilledTotal, j.wastedTokens = n.job.prefillCalls, n.job.prefilledTotal, n.job.wastedTokens
	return n.prepared
}

// takePlan returns the plan that was prepared for the job's next try, and its prefill result.
func (j *job) takePlan() (*plan, *endpoint.Transfer) {
	n := j.next
	j.next = nil
	if n == nil || n.plan == nil {
		return nil, nil
	}
	j.opened, j.prefillName = n.opened, n.job.prefillName
	n.logTaken(j)
	n.keepVersion(j)
	n.job.criteria.Continues, n.job.criteria.Software = j.criteria.Continues, j.criteria.Software
	j.pool, j.criteria, j.redirect, j.refusedRegions, j.regionLog = n.job.pool, n.job.criteria, n.job.redirect, n.job.refusedRegions, n.job.regionLog
	j.criteria.Probe = j.probing
	return n.plan, n.kv
}

// logTaken writes a log line on the engine that takes the job over.
func (n *nextTry) logTaken(j *job) {
	ok, lost := n.entry.logLimiter.admit(time.Now(), &j.logged, false)
	if !ok {
		return
	}
	n.entry.log.Info("taken over from a silent engine", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("endpoint", n.firstCalled().Name),
		zap.String("from", n.from.Name), zap.Int("pieces", j.reply.chunks()), zap.Uint64("lines_left_out", lost))
}

// firstCalled returns the engine of the next try that stands for the silent one.
func (n *nextTry) firstCalled() *config.Endpoint {
	if n.prefill && n.plan.prefillSpec != nil {
		return n.plan.prefillSpec
	}
	return n.plan.decodeSpec
}

// dropNext gives up the next try that was prepared, if it wasn't made.
func (j *job) dropNext() {
	if j.next != nil {
		j.next.release()
		j.next = nil
	}
}

// sentReply stands for the caller's answer in the copy of a job, which only asks how many
// chunks the caller has.
type sentReply struct {
	replyWriter
	sent int
}

func (r sentReply) chunks() int { return r.sent }

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
