package fake

import "sync"

// Faults configures fault injection in a stand-in. Each field of type int,
// except BreakAfter, DelayMillis and LagMillis, is the number of the next calls
// that get the fault, and counts down to zero.
type Faults struct {
	RefuseShare       float64 `json:"refuse_share"`     // share of calls refused, reported as not run
	CutBefore         int     `json:"cut_before"`       // connection closed before any work
	CutAfter          int     `json:"cut_after"`        // connection closed after the work, without the end of the answer
	BreakStreams      int     `json:"break_streams"`    // streams that break after BreakAfter tokens
	BreakAfter        int     `json:"break_after"`      // tokens sent before the break
	CleanBreak        bool    `json:"clean_break"`      // a broken stream ends like a complete one
	IgnoreResume      bool    `json:"ignore_resume"`    // resumed streams start again at the first token
	CrossAnswers      int     `json:"cross_answers"`    // chunks that carry another attempt's id
	StallTransfers    int     `json:"stall_transfers"`  // transfers that stall half-way
	DelayMillis       int     `json:"late_ms"`          // delay of every answer
	Slow              float64 `json:"slow"`             // factor on the duration of work; 0 means 1
	LoseCancels       bool    `json:"lose_cancels"`     // disconnects and aborts are ignored
	LoseEvents        float64 `json:"lose_events"`      // share of cache events lost, 0 to 1
	Leaving           bool    `json:"leaving"`          // the state report says that the endpoint is leaving
	LagMillis         int     `json:"lag_ms"`           // maximum age of the reported load
	WrongVersion      string  `json:"wrong_version"`    // version the runner reports and serves instead of its own
	IgnoreFences      bool    `json:"ignore_fences"`    // accepts orders with outdated fences
	DropOrders        int     `json:"drop_orders"`      // orders that are acknowledged but not carried out
	RefuseUnconfirmed int     `json:"refuse_unvouched"` // calls refused without the report that nothing ran
}

// faultState holds the current faults of a running stand-in.
type faultState struct {
	mu      sync.Mutex
	current Faults
}

func (b *faultState) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

func (b *faultState) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = f
}

// consume decrements the count of a fault and reports whether it was above zero.
func (b *faultState) consume(field func(*Faults) *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := field(&b.current)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (f Faults) slowdown() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return f.Slow
}
