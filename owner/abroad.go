package owner

import (
	"time"

	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/result"
)

// Requests that left their region get what the callers of this one leave: the owner knows
// its endpoint, the host that asks knows a summary that may be seconds old.

// ownTurnsFirst refuses the prompt of another region's request where the engine has much
// to read.
func (b *Book) ownTurnsFirst(now time.Time, a EnqueueArgs) *result.Error {
	queued := b.queue.Backlog(now)
	if !a.Abroad || region.TakesTurn(queued) {
		return nil
	}
	return result.Errorf(result.TooLate, "%s reads for its own region first", b.spec.Name).After(queued)
}

// ownRoomFirst refuses another region's request where the engine is short of room.
func (b *Book) ownRoomFirst(now time.Time, a ReserveArgs) *result.Error {
	if !a.Abroad {
		return nil
	}
	tokens, slots, _ := b.ledger.Free(now)
	wait := b.ledger.Wait(now)
	if region.TakesRoom(region.Room{Free: tokens, Memory: b.spec.MemoryTokens, Slots: slots, AllSlots: b.spec.Slots, Wait: wait, Need: a.Tokens}) {
		return nil
	}
	return result.Errorf(result.NoDecodeMemory, "%s keeps its room for its own region", b.spec.Name).After(max(wait, leastBack))
}

// leastBack is the soonest that a request of another region is told to come back for room.
const leastBack = 200 * time.Millisecond
