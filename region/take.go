package region

import "time"

// What an owner accepts from hosts of other regions. The owner knows its endpoint's current state,
// so it refuses requests that come on an outdated offer.

// maxPrefillQueue is the queued work up to which a prefill engine accepts a prompt of another
// region. It is about half of what local callers may wait with a target of 900 ms, so that they
// still get a prefill slot after it. With 225 ms, half of the prefill engines of two regions under
// typical load counted as full because of bursty arrivals, and the regions offered nothing.
const maxPrefillQueue = 400 * time.Millisecond

// AcceptsPrefill reports whether a prefill engine with this much queued work accepts prompts of
// other regions.
func AcceptsPrefill(queued time.Duration) bool { return queued <= maxPrefillQueue }

// DecodeCapacity is the free capacity of a decode engine, in tokens and requests.
type DecodeCapacity struct {
	Free, Memory      int
	Slots, TotalSlots int
	Wait              time.Duration // until there is capacity for a request of typical size
	Need              int           // of the request; 0: not a specific request
}

// ownShare is the share of a decode engine's memory and slots that is reserved for callers of its
// own region.
const ownShare = 0.1

// AcceptsDecode reports whether a decode engine accepts a request of another region.
func AcceptsDecode(r DecodeCapacity) bool {
	left := float64(r.Free - r.Need)
	return r.Wait == 0 && left >= ownShare*float64(r.Memory) && float64(r.Slots) > ownShare*float64(r.TotalSlots)
}
