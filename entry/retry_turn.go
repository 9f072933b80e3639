package entry

import (
	"context"
	"time"

	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/route"
)

// prefersDecodeOnly reports whether a decode engine is to prefill the job's prompt itself: a retry of a request that crashes
// decode engines puts one endpoint at risk instead of two, and occupies no other one.
func (e *Entry) prefersDecodeOnly(j *job) bool {
	return e.traits.DecodePrefills && j.probeRetries && !e.board.Suspects.IsSuspectedIn(j.fingerprint, quarantine.Prefilling)
}

// turnPoll is the time between two looks for a decode engine that runs no other suspected request.
const turnPoll = 100 * time.Millisecond

// turnWait is the wait of a retry for a decode engine that runs no other suspected request.
type turnWait struct {
	until   time.Time                 // zero: it hasn't begun
	exclude [route.MaxExcluded]uint32 // endpoints that the job had excluded before
}

// awaitTurn reports whether a retry that a decode engine is to prefill itself may look for another one, after one was found
// running another suspected request. If all of them do, it waits a moment before it begins anew. No call was made.
func (e *Entry) awaitTurn(ctx context.Context, j *job, r *retryable) bool {
	if r.reason != route.ReasonProbe || !e.prefersDecodeOnly(j) {
		return false
	}
	if j.turn.until.IsZero() {
		j.turn = turnWait{time.Now().Add(j.idleWait()), j.criteria.Exclude}
	}
	if time.Until(j.turn.until) < turnPoll {
		return false
	}
	j.criteria.AddExcluded(route.Number(r.endpointName))
	if c, _ := e.chooseDecode(j); c.Decode != nil {
		return true
	}
	j.criteria.Exclude = j.turn.exclude
	began := time.Now()
	if !wait.For(ctx, turnPoll) {
		return false
	}
	j.probeWaited += time.Since(began)
	return true
}
