package blackboard

import "time"

// Outdated reports whether the platform may have published a configuration that this host lacks: another
// host has a later revision in force, or nobody has confirmed for longer than maxAge what is known here.
// A maxAge of 0 allows any age.
func (t *ConfigTable) Outdated(now time.Time, maxAge time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if later := t.latestKnown.revision; later > t.Revision() && later != t.rejected {
		return true
	}
	return maxAge > 0 && now.Sub(t.platformAnsweredAt) > maxAge
}
