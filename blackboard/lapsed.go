package blackboard

import (
	"time"

	"github.com/embercove/embercove/config"
)

// knownEndpoints returns the endpoints of the roster by name; the caller holds the lock.
func (t *ConfigTable) knownEndpoints() map[string]*config.Endpoint {
	if t.roster == nil {
		return nil
	}
	known := make(map[string]*config.Endpoint, len(t.roster.Endpoints))
	for i := range t.roster.Endpoints {
		known[t.roster.Endpoints[i].Name] = &t.roster.Endpoints[i]
	}
	return known
}

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
// long, and reports how many.
func (t *ConfigTable) DropLapsed(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.roster == nil || !t.roster.AnyExpired(now) {
		return 0
	}
	kept := &config.Roster{Revision: t.roster.Revision, Evacuated: t.roster.Evacuated}
	for _, e := range t.roster.Endpoints {
		if !e.Expired(now) {
			kept.Endpoints = append(kept.Endpoints, e)
		}
	}
	dropped := len(t.roster.Endpoints) - len(kept.Endpoints)
	if dropped > 0 {
		t.useRoster(kept, now)
	}
	return dropped
}
