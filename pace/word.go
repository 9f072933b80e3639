package pace

import (
	"math"
	"time"
)

// Word is what an answer of an endpoint said of how many requests a second the endpoint takes,
// from all hosts together. The zero value: nothing was heard.
type Word struct {
	Named     bool    // it named a limit; else it came without one
	PerSecond float64 // requests
	// At orders the words of an endpoint, by package clock. A limit is named when the head of
	// its answer arrives. An answer without one takes back only what had been named when its
	// call was sent: one that was under way as the endpoint began to name a limit says nothing.
	At   time.Time
	Born int64 // start of the endpoint's process; 0: unknown
}

// Told is a word as hosts tell it each other, whose clocks differ.
type Told struct {
	Heard     bool
	Named     bool
	PerSecond float64
	AgeMillis int64
	Born      int64
}

// Tell returns the word for another host.
func (w Word) Tell(now time.Time) Told {
	return Told{!w.At.IsZero(), w.Named, w.PerSecond, now.Sub(w.At).Milliseconds(), w.Born}
}

// Word returns what was told, as heard now.
func (t Told) Word(now time.Time) Word {
	if !t.Heard {
		return Word{}
	}
	return Word{t.Named, t.PerSecond, now.Add(-time.Duration(t.AgeMillis) * time.Millisecond), t.Born}
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
	// Since is when this host first heard of a limit that is named still, by package clock.
	Since time.Time

	word   Word
	lifted time.Time // when this host heard that the limit is over
	before float64   // the limit until then
}

const (
	// freshFor is how long a named limit makes its endpoint the dearer choice. Later a request
	// may find out whether it still holds.
	freshFor = 2 * time.Second
	// rampFor is how long an endpoint whose limit is over is still sent no more than rises by
	// so much: all hosts hear of the end at once, and it has less in progress than the others.
	rampFor    = 750 * time.Millisecond
	rampDouble = 125 * time.Millisecond
	// rampLeast is where the rise begins at the least, in requests a second.
	rampLeast = 4.0
)

// Hear takes a word in and returns what it changes. An earlier process of the endpoint has
// nothing to say for a later one; of the words of one process the newest holds, whoever heard it.
func (b *Belief) Hear(now time.Time, w Word) Change {
	if w.Born != 0 && w.Born < b.word.Born {
		return ChangeNone // where the start isn't told, it may be the same process
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
		b.lifted, b.before = now, before.PerSecond
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

// Limit returns how many requests a second the endpoint may be sent now by all hosts together,
// where that is bounded.
func (b *Belief) Limit(now time.Time) (perSecond float64, bounded bool) {
	if b.word.Named {
		return b.word.PerSecond, true
	}
	since := now.Sub(b.lifted)
	if b.lifted.IsZero() || since >= rampFor {
		return 0, false
	}
	return max(b.before, rampLeast) * math.Exp2(since.Seconds()/rampDouble.Seconds()), true
}

// Changed reports whether a limit has just begun to be named, or is just over.
func (b *Belief) Changed(now time.Time) bool {
	at := b.Since
	if !b.word.Named {
		at = b.lifted
	}
	return !at.IsZero() && now.Sub(at) < rampFor
}

// Fresh returns for how long still the endpoint is the dearer choice.
func (b *Belief) Fresh(now time.Time) time.Duration {
	if !b.word.Named {
		return 0
	}
	return max(0, freshFor-now.Sub(b.word.At))
}
