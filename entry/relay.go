package entry

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/copies"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/route"
)

// tokenStall is how long an engine may write nothing before it counts as stuck.
const tokenStall = 2 * time.Second

// decodeOnce makes one call to a decode engine and relays its output.
func (e *Entry) decodeOnce(ctx context.Context, j *job, p *plan, kv *endpoint.Transfer) (err error) {
	e.board.Invariant.Check(!p.decodeSpec.Leaving, invariant.LeavingNoNewWork, "request %s to leaving %s", j.id, p.decodeSpec.Name)
	e.setPhase(j, blackboard.PhaseTransfer, func(r *blackboard.Request) { r.Decode = p.decodeSpec.Name })
	j.decodeName = p.decodeSpec.Name
	undo := j.markRun(true)
	j.decodeCalls++
	c := j.opened
	j.opened = nil
	if c == nil {
		c = new(openedCall)
		c.ctx, c.cancel = context.WithCancel(ctx)
	}
	limited, cancel := c.ctx, c.cancel
	defer cancel()
	called := new(atomic.Pointer[process]) // a stopped watchdog may still run its liveness check
	at := processOf(p.decodeSpec)
	called.Store(&at)
	next := e.newNextDecode(ctx, j, p)
	w := newWatchdog(e.firstStallLimit(j, p), e.maxSilence(j), callControl{
		checkLiveness: func() livenessCheck { return e.checkLiveness(limited, *called.Load()) },
		mayCancel: func(w *watchdog) bool {
			return !c.runsOn(w) && (!e.cancelsOnlyPrepared(j, w) || next.prepare(limited, w))
		},
		cancel: cancel,
	})
	defer w.stop()
	w.called = called
	w.setDelivered(j.reply.chunks(), j.reply.lastEventID())
	number := route.Number(p.decodeSpec.Name)
	e.owners.AddCalls(number, 1)
	defer e.owners.AddCalls(number, -1)
	before := j.reply.chunks()
	if c.stream == nil {
		c.began, c.run = time.Now(), e.beginRun(j, p.decodeSpec, quarantine.Running)
	}
	defer func() {
		if !endpoint.BrokenOff(err) || !next.opensReplica.Load() {
			cancel() // ends the preparation of the next try
		}
		prepared := next.close(j)
		cancel()
		if prepared {
			j.next = next
		}
		if next.replicaUsed {
			e.releaseReplica(j, p)
		}
		if err == nil {
			j.dropNext()
		}
		if err != nil && w.fired.Load() && ctx.Err() == nil {
			err = &endpoint.CallError{Address: p.decodeSpec.Address, MayHaveRun: true, Cause: &stallError{blackboard.PhaseTransfer, w.silence(), w.lastCheck()}}
		}
		e.endCall(ctx, j, p.decodeSpec, c, j.reply.chunks()-before, err)
		e.reportDecode(ctx, j, p, err, j.reply.chunks()-before, w.decodeTime())
		if err == nil {
			return
		}
		if endpoint.Unreachable(err) {
			j.decodeCalls--
		}
		if !endpoint.MayHaveRun(err) {
			undo()
			j.possiblyRan = j.possiblyRan || next.abandoned > 0
			return
		}
		e.abort(p.decodeSpec, p.decodeAttempt)
		e.board.Requests.Close(p.decodeAttempt)
	}()
	if c.stream == nil {
		work := decodeWork(j, kv, j.reply.chunks(), j.reply.lastEventID())
		if p.replica != nil {
			work.ReplicaAddress = p.replica.spec.Address
		}
		if c.stream, err = e.callDecode(limited, j, p.decodeSpec, c, e.newCall(j, p.decodeSpec, p.decodeAttempt), work); err != nil {
			j.keepFailure(err)
			return err
		}
	}
	defer c.stream.Close()
	return e.relay(ctx, j, p, c.stream, w)
}

// keepFailure keeps a failure that the endpoint answered with. The caller receives it
// unless another try does better.
func (j *job) keepFailure(err error) {
	var ce *endpoint.CallError
	if !errors.As(err, &ce) || ce.Answer == nil {
		return
	}
	j.dropLastFailure()
	j.lastFailure = ce.Answer
}

// reportDecode reports to the owner how a decode call ended, if it wrote anything or
// succeeded. chunks were written in took, from the first to the last.
func (e *Entry) reportDecode(ctx context.Context, j *job, p *plan, err error, chunks int, took time.Duration) {
	if err != nil && chunks == 0 {
		return
	}
	if err == nil {
		e.retryTimes.Learn(j.pool, took)
	}
	e.owners.Release(p.decodeSpec, owner.Release{Attempt: p.decodeAttempt, Endpoint: route.Number(p.decodeSpec.Name), Outcome: outcomeOf(ctx, err),
		Waited: p.decodeWasFull, Answer: chunks * p.decodeSpec.TokensPerEvent(), Max: j.work.MaxTokens, Expected: j.expected, Millis: ms(took)})
}

// firstStallLimit returns how long an engine may take to write its first chunk. Timing out
// gains nothing for a request that can't be sent again, not even with a replica: before the
// first chunk there is nothing to resume from (copies.firstPartDelay).
func (e *Entry) firstStallLimit(j *job, p *plan) time.Duration {
	if !e.traits.PrefillRuns && !e.mayMove(j) {
		return forever
	}
	return time.Duration(e.board.Settings.StallMillis)*time.Millisecond + p.TransferDuration
}

// laterStallLimit returns how long an engine may write nothing once it has begun. Where the
// answer can resume elsewhere, an engine that is silent for longer than expected is asked
// whether it is alive.
func (e *Entry) laterStallLimit(j *job, p *plan) time.Duration {
	if p.replica == nil && !e.mayMove(j) && !e.traits.PrefillRuns {
		return forever
	}
	if !e.traits.DisconnectAborts {
		return tokenStall
	}
	return copies.SilenceLimit(time.Duration(p.decodeSpec.TokensPerEvent()) * e.typicalStep(j))
}

// maxSilence returns how long an engine that is alive may be silent. If the answer may not
// be generated again it is waited for until the end: the engine may continue, and the
// request must not run twice.
func (e *Entry) maxSilence(j *job) time.Duration {
	if j.repeatable {
		return tokenStall
	}
	return forever
}

// mayMove reports whether a silent call of a job may be canceled for another try.
func (e *Entry) mayMove(j *job) bool {
	if e.traits.DisconnectAborts && j.deadline > 0 {
		return j.hasTries()
	}
	return j.repeatable
}

// cancelsOnlyPrepared reports whether a call to a silent engine is canceled only if the next
// try is prepared. Otherwise a stalled transfer is first retried in place, and a request
// without a deadline can't wait without end.
func (e *Entry) cancelsOnlyPrepared(j *job, w *watchdog) bool {
	return j.deadline > 0 && (e.traits.DisconnectAborts || w.answering.Load())
}

// relay forwards the stream: each chunk once, in order, and a clean end only after a
// complete answer.
func (e *Entry) relay(ctx context.Context, j *job, p *plan, s endpoint.Stream, w *watchdog) error {
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			j.reply.sendHead(s.Head())
			if j.reply.complete() {
				return nil
			}
			return brokenAnswer(p, "the answer ended early")
		}
		if err != nil {
			return err
		}
		if c.Imported != nil {
			w.progress()
			continue
		}
		if c.Raw == nil && len(c.Choices) == 0 {
			continue
		}
		if c.Offset < j.reply.chunks() {
			w.progress()
			continue
		}
		if c.Offset > j.reply.chunks() {
			return brokenAnswer(p, "chunks are missing")
		}
		if !w.answering.Load() {
			at, mayWrite := e.bindAnswer(ctx, j, p.decodeSpec)
			if !mayWrite {
				return brokenAnswer(p, "another software version began the answer")
			}
			if w.called != nil {
				w.called.Store(&at)
			}
		}
		if j.reply.chunks() == 0 {
			j.markPhase(3)
		}
		if !w.answering.Load() {
			w.answerBegun(e.laterStallLimit(j, p), j.answerVersion())
			w.checksLiveness.Store(e.traits.DisconnectAborts)
			e.setPhase(j, blackboard.PhaseDecode, nil)
		}
		w.progress()
		if w.answeringTime() >= quarantine.SettledAfter {
			e.settle(j, w)
		}
		inv := e.board.Invariant
		inv.Check(c.Offset == j.reply.chunks(), invariant.TokenOnce, "request %s: chunk at offset %d after %d", j.id, c.Offset, j.reply.chunks())
		inv.Check(c.ID == p.decodeAttempt.String(), invariant.OwnAnswer, "request %s: chunk of %s in attempt %s", j.id, c.ID, p.decodeAttempt)
		j.reply.sendHead(s.Head())
		if err := j.reply.sendChunk(c); err != nil {
			return &endpoint.CallError{Address: p.decodeSpec.Address, MayHaveRun: true, Abandoned: true, Cause: err}
		}
		w.setDelivered(j.reply.chunks(), j.reply.lastEventID())
	}
}

func brokenAnswer(p *plan, cause string) error {
	return &endpoint.CallError{Address: p.decodeSpec.Address, MayHaveRun: true, Abandoned: true, Cause: errors.New(cause)}
}
