package pace

import (
	"math"
	"time"
)

// Report is what an answer of an endpoint says about how many requests a second the endpoint takes
// from all hosts together. The zero value means that nothing was observed.
type Report struct {
	Named     bool    // the answer named a limit
	PerSecond float64 // requests
	// At orders the reports of an endpoint, by package clock. The time of a named limit is when the
	// head of the answer arrives. The time of an answer without a limit is when its call was sent:
	// a call that was in flight when the endpoint began to name a limit says nothing about that
	// limit.
	At      time.Time
	Started int64 // start of the endpoint's process; 0: unknown
}

// WireReport is a Report as hosts send it to each other. Their clocks differ, so it carries an age.
type WireReport struct {
	Heard     bool
	Named     bool
	PerSecond float64
	AgeMillis int64
	Born      int64
}

// Wire returns the report in the form sent to another host.
func (w Report) Wire(now time.Time) WireReport {
	return WireReport{!w.At.IsZero(), w.Named, w.PerSecond, now.Sub(w.At).Milliseconds(), w.Started}
}

// Report returns the report with its time on this host's clock.
func (t WireReport) Report(now time.Time) Report {
	if !t.Heard {
		return Report{}
	}
	return Report{t.Named, t.PerSecond, now.Add(-time.Duration(t.AgeMillis) * time.Millisecond), t.Born}
}

// Change says how a report changes the known limit.
type Change uint8

// Kinds of change.
const (
	ChangeNone  Change = iota
	ChangeBegan        // the endpoint names a limit and named none before
	ChangeValue        // it names another limit
	ChangeEnded        // it no longer names a limit
)

// String returns the change as operators see it.
func (c Change) String() string {
	return [...]string{"none", "endpoint names a limit", "endpoint names another limit", "endpoint names no limit any more"}[c]
}

// LimitState holds the newest report of an endpoint's limit. The zero value has observed none.
type LimitState struct {
	// Since is when this host first learned of the limit that is still named, by package clock.
	Since time.Time

	report    Report
	endedAt   time.Time // when this host learned that the limit has ended
	lastLimit float64   // the limit until then
}

const (
	// penaltyFor is how long a report of a limit makes its endpoint the more expensive choice.
	// After that a request may find out whether the limit still holds.
	penaltyFor = 2 * time.Second
	// For rampDuration after a limit ends the endpoint is sent no more than an allowance that
	// doubles every rampDouble: all hosts learn of the end at once, and the endpoint has less in
	// progress than the others.
	rampDuration = 750 * time.Millisecond
	rampDouble   = 125 * time.Millisecond
	// minRampRate is the least rate at which the ramp begins, in requests a second.
	minRampRate = 4.0
)

// Observe applies a report and returns what it changes. A report of an earlier process of the
// endpoint says nothing about a later one; of the reports of one process the newest holds,
// whichever host observed it.
func (b *LimitState) Observe(now time.Time, w Report) Change {
	if w.Started != 0 && w.Started < b.report.Started {
		return ChangeNone // where no start time is reported, it may be the same process
	}
	b.DropIfRestarted(w.Started)
	if !w.At.After(b.report.At) {
		return ChangeNone
	}
	previous := b.report
	b.report = w
	switch {
	case w.Named && !previous.Named:
		b.Since = now
		return ChangeBegan
	case w.Named && w.PerSecond != previous.PerSecond:
		return ChangeValue
	case !w.Named && previous.Named:
		b.endedAt, b.lastLimit = now, previous.PerSecond
		return ChangeEnded
	}
	return ChangeNone
}

// DropIfRestarted drops all that is known if the endpoint's current process started later than the
// process of the newest report.
func (b *LimitState) DropIfRestarted(started int64) {
	if started > b.report.Started && b.report.Started != 0 {
		*b = LimitState{}
	}
}

// Report returns the newest report.
func (b *LimitState) Report() Report { return b.report }

// Limit returns how many requests a second all hosts together may send the endpoint now, if that is
// bounded.
func (b *LimitState) Limit(now time.Time) (perSecond float64, bounded bool) {
	if b.report.Named {
		return b.report.PerSecond, true
	}
	since := now.Sub(b.endedAt)
	if b.endedAt.IsZero() || since >= rampDuration {
		return 0, false
	}
	return max(b.lastLimit, minRampRate) * math.Exp2(since.Seconds()/rampDouble.Seconds()), true
}

// RecentlyChanged reports whether a limit has just begun or just ended.
func (b *LimitState) RecentlyChanged(now time.Time) bool {
	at := b.Since
	if !b.report.Named {
		at = b.endedAt
	}
	return !at.IsZero() && now.Sub(at) < rampDuration
}

// PenaltyLeft returns for how much longer the endpoint is the more expensive choice.
func (b *LimitState) PenaltyLeft(now time.Time) time.Duration {
	if !b.report.Named {
		return 0
	}
	return max(0, penaltyFor-now.Sub(b.report.At))
}
