package blackboard

import (
	"time"
)

// Heard notes that what is known here is what the platform answered at a moment.
func (t *ConfigTable) Heard(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.heard) {
		t.heard = at
	}
}

// Older notes that what is known is older than it seems by some time, in which the machine
// was suspended. Without it a host that woke relied on others' word as if it were fresh.
func (t *ConfigTable) Older(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range []*time.Time{&t.heard, &t.told} {
		if !at.IsZero() {
			*at = at.Add(-d)
		}
	}
}

// Told notes that another host, whose knowledge this one has, told of an answer that the
// platform gave at a moment, to it or to one that it heard of it from.
func (t *ConfigTable) Told(at time.Time) {
	t.Heard(at)
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.told) {
		t.told = at
	}
}

// ToldWithin reports whether other hosts told of an answer of the platform that is no
// older than d.
func (t *ConfigTable) ToldWithin(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.told) < d
}

// HeardFor returns how long ago the platform last answered, and whether it ever did.
func (t *ConfigTable) HeardFor(now time.Time) (ago time.Duration, ever bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.heard), !t.heard.IsZero()
}

// HeardWithin reports whether the platform answered within d.
func (t *ConfigTable) HeardWithin(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.heard.IsZero() && now.Sub(t.heard) < d
}

// ConfigStatus is what operators see of the configuration of one host.
type ConfigStatus struct {
	Revision       uint64    `json:"revision"`
	Since          time.Time `json:"since"`
	Rejected       uint64    `json:"rejected_revision,omitempty"`
	Cause          string    `json:"rejected_cause,omitempty"`
	PlatformHeard  time.Time `json:"platform_heard"`
	PlatformSilent float64   `json:"platform_silent_s"`
}

// Status returns what operators see.
func (t *ConfigTable) Status(now time.Time) ConfigStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := ConfigStatus{Revision: t.Revision(), Since: t.since, Rejected: t.rejected, Cause: t.cause, PlatformHeard: t.heard, PlatformSilent: -1}
	if !t.heard.IsZero() {
		s.PlatformSilent = now.Sub(t.heard).Seconds()
	}
	return s
}
