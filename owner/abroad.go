package owner

import (
	"time"

	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/result"
)

// Cross-region requests only get capacity that requests of the local region leave unused.
// The owner checks this because it knows the endpoint's current state, while the sending
// host has a summary that may be seconds old.

// checkRemoteQueue refuses the prompt of a cross-region request if the engine's prefill
// backlog is long.
func (s *Scheduler) checkRemoteQueue(now time.Time, a EnqueueArgs) *result.Error {
	queued := s.queue.Backlog(now)
	if !a.Abroad || region.AcceptsPrefill(queued) {
		return nil
	}
	return result.Errorf(result.TooLate, "endpoint %s serves prefills of its own region first", s.spec.Name).After(queued)
}

// checkRemoteMemory refuses a cross-region request if the engine is short of decode memory or slots.
func (s *Scheduler) checkRemoteMemory(now time.Time, a ReserveArgs) *result.Error {
	if !a.Abroad {
		return nil
	}
	tokens, slots, _ := s.ledger.Free(now)
	wait := s.ledger.Wait(now)
	if region.AcceptsDecode(region.DecodeCapacity{Free: tokens, Memory: s.spec.MemoryTokens, Slots: slots, TotalSlots: s.spec.Slots, Wait: wait, Need: a.Tokens}) {
		return nil
	}
	return result.Errorf(result.NoDecodeMemory, "endpoint %s keeps its decode memory for its own region", s.spec.Name).After(max(wait, minRemoteRetry))
}

// minRemoteRetry is the minimum retry delay for a cross-region request refused for lack of memory.
const minRemoteRetry = 200 * time.Millisecond
