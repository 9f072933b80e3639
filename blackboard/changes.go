package blackboard

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/trie"
)

// rosterLog records which endpoints of the roster changed at which revision, so that peers
// can be sent the changes since their revision instead of the whole roster.
type rosterLog struct {
	from    config.Position // changes up to this revision are unknown
	changes []loggedChange  // ordered by revision
}

// loggedChange is the change of one endpoint.
type loggedChange struct {
	revision config.Position
	number   uint32
	name     string
}

// maxLoggedChanges bounds the number of recorded changes. A host that is further behind is sent the
// whole roster, which is packed once for all hosts that ask for it.
const maxLoggedChanges = 4096

// record records that a roster replaced another. All changes between the two revisions are recorded
// at the later one, so a host with a revision in between may be sent a change again. The log
// starts again at a change of era: another host may have applied changes of the old era that were
// lost before this host received them.
func (l *rosterLog) record(old, now *config.Roster) {
	if old == nil || old.Revision.Era() != now.Revision.Era() {
		*l = rosterLog{from: now.Revision}
		return
	}
	trie.Diff(old.Endpoints, now.Endpoints, func(number uint32, a, b *config.Endpoint) {
		if a != nil && (b == nil || a.Name != b.Name) {
			l.changes = append(l.changes, loggedChange{now.Revision, number, a.Name})
		}
		if b != nil && (a == nil || !config.SameRegistration(a, b)) {
			l.changes = append(l.changes, loggedChange{now.Revision, number, b.Name})
		}
	})
	l.trim()
}

// trim drops the older half of the log once it is too long.
func (l *rosterLog) trim() {
	if len(l.changes) <= maxLoggedChanges {
		return
	}
	cut := len(l.changes) - maxLoggedChanges/2
	l.from = l.changes[cut-1].revision
	for cut < len(l.changes) && l.changes[cut].revision == l.from {
		cut++ // keep all changes of a revision or none
	}
	l.changes = append([]loggedChange(nil), l.changes[cut:]...)
}

// changedSince returns the numbers by name of the endpoints that changed after a revision.
func (l *rosterLog) changedSince(after config.Position) map[string]uint32 {
	out := map[string]uint32{}
	for i := len(l.changes) - 1; i >= 0 && l.changes[i].revision > after; i-- {
		out[l.changes[i].name] = l.changes[i].number
	}
	return out
}

// RosterSince returns what a host with the revision after is missing: the change, or the whole
// roster if the change isn't known. Both are nil if it is up to date.
func (t *ConfigTable) RosterSince(after config.Position, now time.Time) (*config.RosterList, *config.RosterChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.roster == nil || t.roster.Revision <= after:
		return nil, nil
	case after < t.log.from:
		return t.roster.List(now), nil
	}
	c := &config.RosterChange{From: after, Revision: t.roster.Revision, Evacuated: t.roster.Evacuated}
	for name, number := range t.log.changedSince(after) {
		if e := t.roster.Endpoints.Get(number); e != nil && e.Name == name {
			c.Changed = append(c.Changed, e.WithRelativeColdTime(now))
		} else {
			c.Gone = append(c.Gone, name)
		}
	}
	return nil, c
}

// ApplyChange applies a change to the roster in force and returns the result, or nil if the change
// doesn't apply to the revision in force.
func (t *ConfigTable) ApplyChange(c *config.RosterChange) *config.Roster {
	r := t.Roster()
	if r == nil || r.Revision < c.From || r.Revision >= c.Revision {
		return nil
	}
	return r.Apply(c)
}
