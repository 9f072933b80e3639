package quarantine

import "time"

// Evidence is what was observed of an endpoint after a call to it had broken off.
type Evidence uint8

// Kinds of evidence.
const (
	// EvidenceNone means that the endpoint is silent, cut off, stalled or full, which says nothing.
	EvidenceNone Evidence = iota
	// EvidenceBusy means that a connection was reset, as by an endpoint that accepts no more.
	EvidenceBusy
	// EvidenceAlive means that the process to which the call was made has answered.
	EvidenceAlive
	// EvidenceRefused means that nothing listens at the endpoint's address.
	EvidenceRefused
	// EvidenceRestarted means that a process that started later has answered or registered.
	EvidenceRestarted
)

// Finding is what happened to the process to which a call was made.
type Finding uint8

// Kinds of findings.
const (
	FindingUnknown Finding = iota // not known yet
	FindingAlive                  // it is alive: the link, the host or the answer was at fault
	FindingCrashed                // it has crashed
)

// PollFor is how long evidence is looked for after a call broke off. A start later than that says
// nothing about what broke the call off. Endpoints that crash refuse connections at once, and start
// again after some seconds.
const PollFor = 10 * time.Second

// Evaluate returns what a piece of evidence means. A broken connection alone means nothing, as
// links fail and connections are reset; neither does silence, which a partition causes as well.
// planned says that the endpoint was leaving when the call broke off: its end says nothing about
// what ran there.
func (e Evidence) Evaluate(planned bool) Finding {
	switch {
	case e == EvidenceAlive, planned && (e == EvidenceRefused || e == EvidenceRestarted):
		return FindingAlive
	case e == EvidenceRefused, e == EvidenceRestarted:
		return FindingCrashed
	}
	return FindingUnknown
}

// NextPoll returns the time from one poll for evidence to the next, given the time since the call
// broke off. Polls are frequent at first, as each undetected crash may cost another endpoint.
func NextPoll(since time.Duration) time.Duration {
	if since < time.Second {
		return 100 * time.Millisecond
	}
	return time.Second
}
