package route

import "time"

// Notice is what one response of an endpoint said about the endpoint itself.
type Notice struct {
	Leaving    bool
	Backoff    time.Duration // for how long the endpoint asks this host to back off; 0: not at all
	Started    int64         // start time of the endpoint's process; 0: unknown
	CalledAt   time.Time     // when the call was made
	ReceivedAt time.Time     // when the response header came
}

// Notices is the state that an endpoint's responses have announced to this host. It holds
// regardless of the registration, until a later start of the endpoint is registered.
type Notices struct {
	Leaving      bool
	BackoffUntil time.Time // until when this host backs off

	probeUntil   time.Time // until when the response to the first request after the backoff is awaited
	recovered    bool      // a call made after the backoff was answered
	started      int64
	lastReceived time.Time // when the last notice was received
}

// probeTimeout is how long the response to the first request after a backoff is awaited before
// another is sent.
const probeTimeout = time.Second

// isBackingOff reports whether the backoff that the endpoint asked for is in effect, or a first
// request after it is probing whether the endpoint accepts requests again.
func (n *Notices) isBackingOff(now time.Time) bool {
	return n != nil && (now.Before(n.BackoffUntil) || !n.recovered && now.Before(n.probeUntil))
}

// Admit reports whether a call may be made now. The first call after a backoff blocks others until
// it is answered: if the endpoint backs off again, it would refuse all of them at once.
func (n *Notices) Admit(now time.Time) bool {
	switch {
	case n == nil || n.BackoffUntil.IsZero() || n.recovered:
		return true
	case n.isBackingOff(now):
		return false
	}
	n.probeUntil = now.Add(probeTimeout)
	return true
}

// NoticeChange is what a notice changed.
type NoticeChange struct {
	NewlyLeaving bool // the endpoint announced for the first time that it is leaving
	NewBackoff   bool // it asked for backoff, and none was in effect
}

// observe applies a notice of the endpoint's process.
func (n *Notices) observe(notice Notice) (c NoticeChange) {
	c.NewlyLeaving = notice.Leaving && !n.Leaving
	c.NewBackoff = notice.Backoff > 0 && !notice.ReceivedAt.Before(n.BackoffUntil)
	n.Leaving = n.Leaving || notice.Leaving
	until := notice.ReceivedAt.Add(notice.Backoff)
	switch {
	case notice.Backoff > 0 && until.After(n.BackoffUntil):
		n.BackoffUntil, n.probeUntil, n.recovered = until, time.Time{}, false
	case notice.Backoff == 0 && !notice.CalledAt.Before(n.BackoffUntil):
		n.recovered = true
	}
	n.lastReceived = notice.ReceivedAt
	return c
}

// belongsTo reports whether the notices are of a process with this start time or a later one. If
// their start time is unknown, the first one reported is assumed to be theirs.
func (n *Notices) belongsTo(started int64) bool {
	if n.started == 0 {
		n.started = started
	}
	return started <= n.started
}

const (
	// noticesTTL is how long the notices of an unregistered endpoint are kept: an expired
	// registration may come back.
	noticesTTL = 10 * time.Minute
	// minNotices is how many are kept regardless of age.
	minNotices = 64
)

// ObserveNotice applies a notice of an endpoint, whose registration may be gone by now. Notices of
// an earlier start of the endpoint are ignored.
func (f *Fleet) ObserveNotice(number uint32, notice Notice) (c NoticeChange) {
	s := f.states[number]
	n := f.noticesFor(number, notice.Started)
	announces := notice.Leaving || notice.Backoff > 0
	if n == nil && !announces || s != nil && notice.Started < s.Spec.Born {
		return NoticeChange{}
	}
	// A process whose start isn't registered yet is called as the registered one.
	calledAsRegistered := s != nil && notice.Started == s.Spec.Born
	if n != nil && notice.Started < n.started && !calledAsRegistered {
		return NoticeChange{}
	}
	if n == nil {
		f.expireNotices(notice.ReceivedAt)
		n = &Notices{started: notice.Started}
		f.notices[number] = n
	}
	if s != nil {
		s.Notices = n
	}
	return n.observe(notice)
}

// noticesFor returns the notices of an endpoint's process; nil: none. It drops those of an earlier
// start.
func (f *Fleet) noticesFor(number uint32, started int64) *Notices {
	n := f.notices[number]
	if n != nil && !n.belongsTo(started) {
		delete(f.notices, number)
		return nil
	}
	return n
}

// expireNotices drops notices of endpoints that have long been unregistered. It runs when there
// are twice as many notices as the last run left.
func (f *Fleet) expireNotices(now time.Time) {
	if len(f.notices) < max(minNotices, 2*f.noticesAfterSweep) {
		return
	}
	for number, n := range f.notices {
		if f.states[number] == nil && now.Sub(n.lastReceived) > noticesTTL {
			delete(f.notices, number)
		}
	}
	f.noticesAfterSweep = len(f.notices)
}
