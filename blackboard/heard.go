package blackboard

import (
	"time"
)

// RecordPlatformAnswer records that the state of this host matches an answer that the platform
// gave at a time.
func (t *ConfigTable) RecordPlatformAnswer(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.platformAnsweredAt) {
		t.platformAnsweredAt = at
	}
}

// AddAge increases the age of what is known by the time in which the machine was suspended.
// Without it a resumed host treated reports of other hosts as if they were fresh.
func (t *ConfigTable) AddAge(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range []*time.Time{&t.platformAnsweredAt, &t.reportedAnswerAt} {
		if !at.IsZero() {
			*at = at.Add(-d)
		}
	}
}

// RecordReportedAnswer records that another host with the same state reported an answer that the
// platform gave at a time, to that host or to one from which it received the report.
func (t *ConfigTable) RecordReportedAnswer(at time.Time) {
	t.RecordPlatformAnswer(at)
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.reportedAnswerAt) {
		t.reportedAnswerAt = at
	}
}

// ReportedWithin reports whether other hosts reported an answer of the platform that is younger
// than d.
func (t *ConfigTable) ReportedWithin(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.reportedAnswerAt) < d
}

// PlatformSilence returns the time since the platform last answered, and whether it ever did.
func (t *ConfigTable) PlatformSilence(now time.Time) (ago time.Duration, ever bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.platformAnsweredAt), !t.platformAnsweredAt.IsZero()
}

// PlatformAnsweredWithin reports whether the platform answered within d.
func (t *ConfigTable) PlatformAnsweredWithin(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.platformAnsweredAt.IsZero() && now.Sub(t.platformAnsweredAt) < d
}

// ConfigStatus is the configuration status of one host, as shown to operators.
type ConfigStatus struct {
	Revision              uint64    `json:"revision"`
	Since                 time.Time `json:"since"`
	Rejected              uint64    `json:"rejected_revision,omitempty"`
	Cause                 string    `json:"rejected_cause,omitempty"`
	PlatformAnsweredAt    time.Time `json:"platform_heard"`
	PlatformSilentSeconds float64   `json:"platform_silent_s"`
}

// Status returns the status shown to operators.
func (t *ConfigTable) Status(now time.Time) ConfigStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := ConfigStatus{Revision: t.Revision(), Since: t.inForceSince, Rejected: t.rejected, Cause: t.rejectedCause, PlatformAnsweredAt: t.platformAnsweredAt, PlatformSilentSeconds: -1}
	if !t.platformAnsweredAt.IsZero() {
		s.PlatformSilentSeconds = now.Sub(t.platformAnsweredAt).Seconds()
	}
	return s
}
