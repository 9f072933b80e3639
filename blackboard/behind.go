package blackboard

import (
	"time"

	"github.com/embercove/embercove/config"
)

// lack is what other hosts are known to have, and since when this one lacks it.
type lack struct {
	revision uint64          // of the configuration, the highest that another host told of
	roster   config.Position // the same of the roster
	since    time.Time       // of no meaning while this host lacks nothing
}

// HeardOf notes which revision of the configuration and of the roster another host has
// in force. It reports whether that is news of a configuration that this host lacks.
func (t *ConfigTable) HeardOf(revision uint64, roster config.Position, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.lacks()
	news := revision > t.lack.revision && revision > t.Revision()
	t.lack.revision, t.lack.roster = max(t.lack.revision, revision), max(t.lack.roster, roster)
	if !before && t.lacks() {
		t.lack.since = now // else it has been behind since an earlier one
	}
	return news
}

// lacks reports whether another host has something newer; the caller holds the lock.
func (t *ConfigTable) lacks() bool {
	return t.lack.revision > t.Revision() || t.lack.roster > t.rosterRevision()
}

// rosterRevision is RosterRevision; the caller holds the lock.
func (t *ConfigTable) rosterRevision() config.Position {
	if t.roster == nil {
		return 0
	}
	return t.roster.Revision
}

// Behind returns how long this host has known of a configuration or a roster that it
// lacks; 0: of none.
func (t *ConfigTable) Behind(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lacks() {
		return 0
	}
	return now.Sub(t.lack.since)
}
