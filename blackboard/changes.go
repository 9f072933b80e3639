package blackboard

import (
	"time"

	"github.com/embercove/embercove/config"
)

// rosterLog knows at which revision each endpoint of the roster last changed, so
// that peers can be told what changed since theirs instead of everything.
type rosterLog struct {
	from    uint64 // nothing is known of changes up to this revision
	changed map[string]uint64
	gone    map[string]uint64
}

// mostGone bounds how many endpoints that went are remembered.
const mostGone = 4096

// note takes in that a roster replaced another. A change between two revisions
// counts as one at the later: who has one between them is told it again.
func (l *rosterLog) note(old, now *config.Roster) {
	if old == nil || len(l.gone) > mostGone {
		*l = rosterLog{from: now.Revision, changed: map[string]uint64{}, gone: map[string]uint64{}}
	}
	if old == nil {
		return
	}
	before := make(map[string]*config.Endpoint, len(old.Endpoints))
	for i := range old.Endpoints {
		before[old.Endpoints[i].Name] = &old.Endpoints[i]
	}
	for i := range now.Endpoints {
		e := &now.Endpoints[i]
		if was := before[e.Name]; was == nil || !config.SameRegistration(was, e) {
			l.changed[e.Name] = now.Revision
			delete(l.gone, e.Name)
		}
		delete(before, e.Name)
	}
	for name := range before {
		l.gone[name] = now.Revision
		delete(l.changed, name)
	}
}

// RosterSince returns what a host with an earlier revision lacks: the change, or
// the whole roster where that isn't known. Both are nil if it lacks nothing.
func (t *ConfigTable) RosterSince(after uint64, now time.Time) (*config.Roster, *config.RosterChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.roster == nil || t.roster.Revision <= after:
		return nil, nil
	case after < t.log.from:
		whole := &config.Roster{Revision: t.roster.Revision, Evacuated: t.roster.Evacuated, Endpoints: make([]config.Endpoint, 0, len(t.roster.Endpoints))}
		for _, e := range t.roster.Endpoints {
			whole.Endpoints = append(whole.Endpoints, e.Told(now))
		}
		return whole, nil
	}
	c := &config.RosterChange{From: after, Revision: t.roster.Revision, Evacuated: t.roster.Evacuated}
	for _, e := range t.roster.Endpoints {
		if t.log.changed[e.Name] > after {
			c.Changed = append(c.Changed, e.Told(now))
		}
	}
	for name, at := range t.log.gone {
		if at > after {
			c.Gone = append(c.Gone, name)
		}
	}
	return nil, c
}

// After returns the roster that a change makes of the one in force, or nil where
// the change doesn't join it.
func (t *ConfigTable) After(c *config.RosterChange) *config.Roster {
	r := t.Roster()
	if r == nil || r.Revision < c.From || r.Revision >= c.Revision {
		return nil
	}
	return r.With(c)
}
