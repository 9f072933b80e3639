package blackboard

import (
	"time"

	"github.com/embercove/embercove/config"
)

// knownRevisions holds the latest revisions known to be in force on other hosts, and since when this
// host has been behind.
type knownRevisions struct {
	revision uint64          // highest configuration revision reported by another host
	roster   config.Position // highest roster revision reported by another host
	since    time.Time       // meaningless while this host is not behind
}

// ObserveRevisions records which revisions of the configuration and of the roster another host has in
// force. It reports whether the configuration is newer than this host's and not yet known.
func (t *ConfigTable) ObserveRevisions(revision uint64, roster config.Position, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.isBehind()
	isNew := revision > t.latestKnown.revision && revision > t.Revision()
	t.latestKnown.revision, t.latestKnown.roster = max(t.latestKnown.revision, revision), max(t.latestKnown.roster, roster)
	if !before && t.isBehind() {
		t.latestKnown.since = now // otherwise it has been behind since an earlier revision
	}
	return isNew
}

// isBehind reports whether another host has a newer revision. The caller holds the lock.
func (t *ConfigTable) isBehind() bool {
	return t.latestKnown.revision > t.Revision() || t.latestKnown.roster > t.rosterRevision()
}

// rosterRevision is like RosterRevision. The caller holds the lock.
func (t *ConfigTable) rosterRevision() config.Position {
	if t.roster == nil {
		return 0
	}
	return t.roster.Revision
}

// Behind returns how long this host has known of a newer configuration or roster than its own,
// or 0 if it knows of none.
func (t *ConfigTable) Behind(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isBehind() {
		return 0
	}
	return now.Sub(t.latestKnown.since)
}
