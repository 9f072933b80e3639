package blackboard

import (
	"time"

	"github.com/embercove/embercove/config"
)

// lapsedAt returns since when, by this process's clock, an endpoint is without its
// registration: from now on if it had one, and for too long if it wasn't known, unless
// nothing was. The caller holds the lock.
func (t *ConfigTable) lapsedAt(was *config.Endpoint, now time.Time) time.Time {
	switch {
	case was == nil && t.roster != nil:
		return now.Add(-2 * config.LapsedKept)
	case was == nil || was.Lapsed.IsZero():
		return now
	}
	return was.Lapsed
}

// DropLapsed drops endpoints that have been without a registration for too
// long, and evacuations that were kept for long without being published again. It reports how
// many there were of each.
func (t *ConfigTable) DropLapsed(now time.Time) (endpoints, evacuations int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	expired := t.lapsed.Expired(now)
	evacuations = t.kept.expire(now)
	if len(expired)+evacuations == 0 {
		return 0, 0
	}
	kept := *t.roster
	for _, e := range expired {
		kept.Endpoints = config.Remove(kept.Endpoints, e.Name)
	}
	t.useRoster(&kept)
	return len(expired), evacuations
}
