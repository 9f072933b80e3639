package pace

import "time"

// Word is what an answer of an endpoint said of how many requests a second the endpoint takes,
// from all hosts together.
type Word struct {
	Named     bool    // it named a limit; else it came without one
	PerSecond float64 // requests
	// At orders the words of an endpoint, by package clock. A limit is named when the head of
	// its answer arrives. An answer without one takes back only what had been named when its
	// call was sent: one that was under way as the endpoint began to name a limit says nothing.
	At   time.Time
	Born int64 // start of the endpoint's process; 0: unknown
}

// Change is what a word changes in what is believed.
type Change uint8

// The changes.
const (
	ChangeNone  Change = iota
	ChangeBegan        // the endpoint names a limit, and named none before
	ChangeValue        // it names another one
	ChangeEnded        // it names none any more
)

// String returns the change in words, as operators see it.
func (c Change) String() string {
	return [...]string{"none", "endpoint names a limit", "endpoint names another limit", "endpoint names no limit any more"}[c]
}

// Belief is what is believed of an endpoint: its newest word. The zero value has heard none.
type Belief struct {
	word Word
	// Since is when this host first heard of a limit that is named still, by package clock.
	Since time.Time
}

// Hear takes a word in and returns what it changes. An earlier process of the endpoint has
// nothing to say for a later one; of the words of one process the newest holds, whoever heard it.
func (b *Belief) Hear(now time.Time, w Word) Change {
	if w.Born < b.word.Born {
		return ChangeNone
	}
	b.Restarted(w.Born)
	if !w.At.After(b.word.At) {
		return ChangeNone
	}
	before := b.word
	b.word = w
	switch {
	case w.Named && !before.Named:
		b.Since = now
		return ChangeBegan
	case w.Named && w.PerSecond != before.PerSecond:
		return ChangeValue
	case !w.Named && before.Named:
		return ChangeEnded
	}
	return ChangeNone
}

// Restarted takes in that the endpoint's process is of a start: of a later one nothing has been
// heard yet.
func (b *Belief) Restarted(born int64) {
	if born > b.word.Born && b.word.Born != 0 {
		*b = Belief{}
	}
}

// Word returns the newest word.
func (b *Belief) Word() Word { return b.word }
