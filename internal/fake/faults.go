package fake

import "sync"

// Faults are what a stand-in does wrong. Counts say how many of the next
// calls are struck; they fall to zero by themselves.
type Faults struct {
	RefuseShare    float64 `json:"refuse_share"`     // refused, vouched as not run
	CutBefore      int     `json:"cut_before"`       // connection closed before anything ran
	CutAfter       int     `json:"cut_after"`        // connection closed after the work, without the answer
	BreakStreams   int     `json:"break_streams"`    // streams that die after BreakAfter tokens
	BreakAfter     int     `json:"break_after"`      // tokens before a broken stream dies
	CleanBreak     bool    `json:"clean_break"`      // a broken stream ends like a whole one
	IgnoreResume   bool    `json:"ignore_resume"`    // resumed streams begin anew
	CrossAnswers   int     `json:"cross_answers"`    // chunks that carry another attempt's id
	StallTransfers int     `json:"stall_transfers"`  // transfers that stop half-way
	LateMillis     int     `json:"late_ms"`          // delay of every answer
	Slow           float64 `json:"slow"`             // factor on the time of work; 0 means 1
	LoseCancels    bool    `json:"lose_cancels"`     // disconnects and aborts go unheard
	LoseEvents     float64 `json:"lose_events"`      // share of cache events lost
	Leaving        bool    `json:"leaving"`          // reported as leaving
	LagMillis      int     `json:"lag_ms"`           // age of reported load
	WrongState     string  `json:"wrong_version"`    // version the runner falls back to
	IgnoreFences   bool    `json:"ignore_fences"`    // takes orders of any age
	DropOrders     int     `json:"drop_orders"`      // orders that are acknowledged and not carried out
	RefuseUnvouch  int     `json:"refuse_unvouched"` // refused without vouching that nothing ran
}

// faultBox holds the faults of a running stand-in.
type faultBox struct {
	mu sync.Mutex
	f  Faults
}

func (b *faultBox) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.f
}

func (b *faultBox) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.f = f
}

// take uses up one of a counted fault and reports whether there was one.
func (b *faultBox) take(field func(*Faults) *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := field(&b.f)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (f Faults) slow() float64 {
	if f.Slow <= 0 {
		return 1
	}
	return f.Slow
}
