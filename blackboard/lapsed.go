package blackboard

import (
	"time"

	"github.com/embercove/embercove/config"
)

// expiredSince returns since when, by this process's clock, the registration of an endpoint has
// been expired. That is now if it was valid until now. An endpoint that isn't on this host's
// roster counts as past its grace period; a host without a roster accepts it. The caller holds
// the lock.
func (t *ConfigTable) expiredSince(known *config.Endpoint, now time.Time) time.Time {
	switch {
	case known == nil && t.roster != nil:
		return now.Add(-2 * config.ExpiryGrace)
	case known == nil || known.Lapsed.IsZero():
		return now
	}
	return known.Lapsed
}

// DropExpired drops endpoints whose registrations expired longer ago than the grace period, and
// evacuations that were kept for too long without being published again. It returns the number
// of each.
func (t *ConfigTable) DropExpired(now time.Time) (endpoints, evacuations int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := t.expired.PastGrace(now)
	evacuations = t.kept.expire(now)
	if len(dropped)+evacuations == 0 {
		return 0, 0
	}
	kept := *t.roster
	for _, e := range dropped {
		kept.Endpoints = config.Remove(kept.Endpoints, e.Name)
	}
	t.useRoster(&kept)
	return len(dropped), evacuations
}
