package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/copies"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// An answer may have a replica of its KV cache at another engine, which grows with it. When
// the decoding engine crashes, breaks off the answer or falls silent, the answer resumes
// from the replica as the same run, and the caller's events continue where they stopped. The
// call to a silent engine is canceled once the replica's engine has accepted the answer.

// replicaHold is the engine that keeps a replica of an answer's KV cache.
type replicaHold struct {
	spec    *config.Endpoint
	attempt request.Attempt // holds the memory reserved for it
}

// ReplicaCounts counts the decisions about replicas of answers.
type ReplicaCounts struct {
	Started      atomic.Uint64 // answers that started with memory reserved for a replica
	NoCapacity   atomic.Uint64 // answers that should have had a replica, but no engine had capacity
	Resumed      atomic.Uint64 // answers resumed from a replica
	Missing      atomic.Uint64 // answers to resume whose replica was missing
	PromptTokens atomic.Uint64 // prompt tokens whose KV cache was to be replicated
}

// replicaReserveTimeout bounds the wait for an owner to reserve memory for a replica. Hosts
// of a region answer within some milliseconds, and the answer isn't held up for longer.
const replicaReserveTimeout = 30 * time.Millisecond

// reserveReplica reserves memory for a replica of the answer that the decode engine is
// about to write, if it should have one.
func (e *Entry) reserveReplica(ctx context.Context, j *job, p *plan) {
	if p.replica != nil && p.replica.spec.Name != p.decodeSpec.Name {
		return
	}
	e.releaseReplica(j, p)
	spec, wanted := e.chooseReplica(j, p)
	if spec == nil {
		if wanted {
			e.Replicas.NoCapacity.Add(1)
		}
		return
	}
	limited, cancel := context.WithTimeout(ctx, replicaReserveTimeout)
	defer cancel()
	a := owner.ReserveArgs{Attempt: e.board.Requests.Open(j.id), Endpoint: route.Number(spec.Name), Tokens: j.tokens,
		MaxAnswer: j.work.MaxTokens, Expected: j.expected, Mark: j.engineID, Team: j.teamNumber, Priority: j.priority, Spare: copies.ReservedTokens(spec)}
	p.replica = &replicaHold{spec: spec, attempt: a.Attempt}
	reply, err := e.owners.Reserve(limited, spec, a)
	if err != nil || reply.Code != result.OK {
		e.releaseReplica(j, p)
		e.Replicas.NoCapacity.Add(1)
		return
	}
	e.Replicas.Started.Add(1)
	e.Replicas.PromptTokens.Add(uint64(j.tokens))
}

// chooseReplica returns the endpoint that is to keep a replica of the answer, or nil.
// wanted reports whether the answer should have one.
func (e *Entry) chooseReplica(j *job, p *plan) (spec *config.Endpoint, wanted bool) {
	if !e.traits.Replicas {
		return nil, false
	}
	q, number := j.criteria, route.Number(p.decodeSpec.Name)
	q.Now = time.Now()
	q.Continues, q.Software = true, p.decodeSpec.Software // the rest of the answer is written where its copy is
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		g, pool := j.group(fleet), v.Pools[p.decodeSpec.Pool]
		engine := fleet.Find(number)
		if g == nil || pool == nil || !pool.Replicas || engine == nil {
			return
		}
		e.bindRegions(v, j, &q)
		r := copies.Run{Repeatable: j.repeatable, PromptTokens: j.tokens, AnswerTokens: j.likelyTokens(), Engine: engine}
		if !e.ReplicaPolicy.HasFreeMemory(g.Decode.All(), engine) {
			return
		}
		if wanted = e.ReplicaPolicy.Wants(r, copies.FailureRisk(g.Decode.All(), engine, q.Now)); !wanted {
			return
		}
		if s := copies.SelectEndpoint(g.Decode.All(), &q, r); s != nil {
			spec = s.Spec
		}
	})
	return spec, wanted
}

// likelyTokens returns the expected length of the answer.
func (j *job) likelyTokens() int {
	if j.expected == 0 {
		return j.work.MaxTokens / 2
	}
	return min(int(answerLengthMargin*float64(j.expected)), j.work.MaxTokens)
}

// releaseReplica releases the reservation for a replica. The engine that keeps the replica
// frees it by itself, when the run has ended or no updates arrive any more.
func (e *Entry) releaseReplica(j *job, p *plan) {
	if p.replica == nil {
		return
	}
	e.owners.Release(p.replica.spec, owner.Release{Attempt: p.replica.attempt, Endpoint: route.Number(p.replica.spec.Name), Outcome: owner.Abandoned})
	e.board.Requests.Close(p.replica.attempt)
	p.replica = nil
}

// resumeFromReplica resumes the answer from its replica after its decode engine failed with
// err and has stopped or is unreachable. Without a usable replica it returns err, which is
// then handled as if there were none. reported says that the owner of the first engine has
// the failure already.
func (e *Entry) resumeFromReplica(ctx context.Context, j *job, p *plan, err error, reported bool) error {
	if !e.canResume(ctx, j, p, err) {
		return err
	}
	c, first := p.replica, *p
	if !reported {
		e.releaseDecode(j, p, failedOutcome(err))
	}
	p.decodeSpec, p.decodeAttempt, p.replica, p.lastDecodeSpec = c.spec, c.attempt, nil, first.decodeSpec
	e.logReplica(j, "answer goes on from its copy", first.decodeSpec, c.spec)
	next := e.decodeFromReplica(ctx, j, p)
	switch {
	case next == nil:
		e.Replicas.Resumed.Add(1)
		e.releaseDecode(j, p, owner.Abandoned) // part of an answer says nothing of the length of whole ones
		j.dropLastFailure()
		return nil
	case endpoint.MayHaveRun(next):
		e.releaseDecode(j, p, outcomeOf(ctx, next))
		return next
	}
	e.Replicas.Missing.Add(1)
	e.logReplica(j, "no copy to go on from", first.decodeSpec, c.spec)
	e.releaseDecode(j, p, owner.Abandoned)
	p.decodeSpec, p.decodeAttempt = first.decodeSpec, first.decodeAttempt
	return err
}

// canResume reports whether an answer that failed with err may resume from a replica: it
// has one, its first engine no longer works on it, and calls may be sent to the replica's
// engine.
func (e *Entry) canResume(ctx context.Context, j *job, p *plan, err error) bool {
	if j.next != nil && !j.next.fromReplica {
		return false // another pair is prepared, as the replica can't be used
	}
	end := copies.End{Replicated: p.replica != nil, CallerGone: ctx.Err() != nil, MayHaveRun: endpoint.MayHaveRun(err), MayStillRun: endpoint.Abandoned(err), DecodeTime: j.answerAge()}
	if j.next != nil {
		j.next.keepVersion(j)
		j.opened, j.next = j.next.opened, nil
		return true
	}
	return end.CanContinue() && e.maySendToReplica(ctx, j, p.replica.spec)
}

// maySendToReplica reports whether a job may be sent to the engine that keeps its replica,
// and charges the retry budget for it.
func (e *Entry) maySendToReplica(ctx context.Context, j *job, spec *config.Endpoint) bool {
	return j.crashCount < maxCrashesPerJob && e.canSendTo(ctx, j, spec) && e.ineligibleReason(j, spec) == route.ReasonNone &&
		e.acquirePermit(ctx, j, spec) == nil && e.retryBudgets.SpendInWindow(j.pool, time.Now(), 1)
}

// answerAge returns how long ago the caller received the first chunk; 0: it has none.
func (j *job) answerAge() time.Duration {
	if j.reply.chunks() == 0 {
		return 0
	}
	return time.Since(j.arrived) - j.phases[3]
}

// dropLastFailure discards the failure that an endpoint answered with.
func (j *job) dropLastFailure() {
	if j.lastFailure != nil {
		j.lastFailure.Body.Close()
		j.lastFailure = nil
	}
}

// logReplica writes a log line on what became of an answer's replica.
func (e *Entry) logReplica(j *job, msg string, from, to *config.Endpoint) {
	ok, lost := e.logLimiter.admit(time.Now(), &j.logged, false)
	if !ok {
		return
	}
	e.log.Info(msg, zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("endpoint", to.Name), zap.String("from", from.Name),
		zap.Int("pieces", j.reply.chunks()), zap.Uint64("lines_left_out", lost))
}

// decodeFromReplica relays the rest of an answer from the engine that keeps its replica.
func (e *Entry) decodeFromReplica(ctx context.Context, j *job, p *plan) (err error) {
	e.setPhase(j, blackboard.PhaseTransfer, func(r *blackboard.Request) { r.Decode = p.decodeSpec.Name })
	j.decodeName = p.decodeSpec.Name
	j.decodeCalls++
	number := route.Number(p.decodeSpec.Name)
	e.owners.AddCalls(number, 1)
	defer e.owners.AddCalls(number, -1)
	c := j.opened
	j.opened = nil
	if c == nil {
		if c, err = e.openCall(ctx, j, p.decodeSpec, p.decodeAttempt, replicaWork(j, p.decodeSpec, j.reply.chunks(), j.reply.lastEventID())); err != nil {
			return err
		}
	}
	defer c.cancel()
	defer c.stream.Close()
	before := j.reply.chunks()
	w := newWatchdog(forever, forever, callControl{mayCancel: func(*watchdog) bool { return false }}) // the replica is used up
	defer w.stop()
	err = e.relay(ctx, j, p, c.stream, w)
	e.endCall(ctx, j, p.decodeSpec, c, j.reply.chunks()-before, err)
	return err
}
