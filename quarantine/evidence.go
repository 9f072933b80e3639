package quarantine

import "time"

// Sign is what was observed of an endpoint after a call to it had broken off.
type Sign uint8

// Kinds of evidence.
const (
	// SignNone means that the endpoint is silent, cut off, stalled or full, which says nothing.
	SignNone Sign = iota
	// SignBusy means that a connection was reset, as by an endpoint that accepts no more.
	SignBusy
	// SignLives means that the process to which the call was made has answered.
	SignLives
	// SignRefused means that nothing listens at the endpoint's address.
	SignRefused
	// SignLater means that a process that started later has answered or registered.
	SignLater
)

// Finding is what happened to the process to which a call was made.
type Finding uint8

// Kinds of findings.
const (
	FindingOpen  Finding = iota // not known yet
	FindingLives                // it is alive: the link, the host or the answer was at fault
	FindingEnded                // it has crashed
)

// AskFor is how long evidence is looked for after a call broke off. A start later than that says
// nothing about what broke the call off. Endpoints that crash refuse connections at once, and start
// again after some seconds.
const AskFor = 10 * time.Second

// Judge returns what a piece of evidence means. A broken connection alone means nothing, as
// links fail and connections are reset; neither does silence, which a partition causes as well.
// planned says that the endpoint was leaving when the call broke off: its end says nothing about
// what ran there.
func (s Sign) Judge(planned bool) Finding {
	switch {
	case s == SignLives, planned && (s == SignRefused || s == SignLater):
		return FindingLives
	case s == SignRefused, s == SignLater:
		return FindingEnded
	}
	return FindingOpen
}

// NextAsk returns the time from one poll for evidence to the next, given the time since the call
// broke off. Polls are frequent at first, as each undetected crash may cost another endpoint.
func NextAsk(since time.Duration) time.Duration {
	if since < time.Second {
		return 100 * time.Millisecond
	}
	return time.Second
}
