package region

import "time"

// What an owner takes from hosts of other regions. It knows its endpoint, so an offer that
// is some seconds old is taken back at once, whoever still believes in it.

// turnMost is the work queued before a prefill engine up to which it takes a prompt of
// another region: half of what callers of its own may wait for with a target of 900 ms, so
// that they find a turn after it. With 225 ms, half of the readers of two regions under
// their usual load, with arrivals in heaps, counted as full, and offered nothing.
const turnMost = 400 * time.Millisecond

// TakesTurn reports whether a prefill engine with so much work queued takes prompts of
// other regions.
func TakesTurn(queued time.Duration) bool { return queued <= turnMost }

// Room is what a decode engine has free, in tokens and requests.
type Room struct {
	Free, Memory    int
	Slots, AllSlots int
	Wait            time.Duration // until a request of the usual size has room
	Need            int           // of the request; 0: of the usual size
}

// ownPart is the part of a decode engine's memory and slots that is kept for callers of its
// own region.
const ownPart = 0.1

// TakesRoom reports whether a decode engine takes a request of another region.
func TakesRoom(r Room) bool {
	left := float64(r.Free - r.Need)
	return r.Wait == 0 && left >= ownPart*float64(r.Memory) && float64(r.Slots) > ownPart*float64(r.AllSlots)
}
