package intake

import "time"

// window bounds how many requests may arrive at a time. Without it, everybody who was held off would return at
// the same moment. It shrinks whenever the gate shuts and grows with each request that has arrived, like the
// window of a TCP connection. The zero value has no bound.
type window struct {
	size     float64 // 0: no bound
	arriving int
	fullAt   time.Time // when it was last full
	shrunkAt time.Time
	closed   bool // it was full, and hasn't emptied to reopenShare of its size since
}

const (
	minWindow = 4
	// minBounded is how many requests have to arrive for a window to be bounded: fewer at once may have arrived by
	// chance as something else delayed them.
	minBounded   = 8
	shrinkFactor = 0.5
	// shrinkInterval is the least time in which it shrinks again: what was refused has to show first.
	shrinkInterval = 200 * time.Millisecond
	// reopenShare is the share of a window that was full to which it has to empty: listening anew costs more than
	// a connection.
	reopenShare = 0.5
	// windowExpiry is after how long without being full a window has no bound any more.
	windowExpiry = 10 * time.Second
)

// arrive changes the number of requests that arrive, and reports whether no further one may.
func (w *window) arrive(change int, now time.Time) (full bool) {
	w.arriving += change
	if w.size == 0 {
		return false
	}
	if change < 0 {
		w.size += 1 / w.size
	}
	switch {
	case float64(w.arriving) >= w.size:
		w.closed, w.fullAt = true, now
	case float64(w.arriving) <= reopenShare*w.size:
		w.closed = false
	}
	if !w.closed && now.Sub(w.fullAt) > windowExpiry {
		w.size = 0
	}
	return w.closed
}

// shrink makes the window smaller than what arrives now.
func (w *window) shrink(now time.Time) {
	if now.Sub(w.shrunkAt) < shrinkInterval {
		return
	}
	size := w.size
	if size == 0 {
		if w.arriving < minBounded {
			return
		}
		size = float64(w.arriving)
	}
	w.size, w.fullAt, w.shrunkAt = max(minWindow, shrinkFactor*size), now, now
}

// isOverfull reports whether more requests arrive than there is room for.
func (w *window) isOverfull() bool { return w.size > 0 && float64(w.arriving) > w.size }
