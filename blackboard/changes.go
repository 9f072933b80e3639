package blackboard

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/trie"
)

// rosterLog knows which endpoints of the roster changed at which revision, so
// that peers can be told what changed since theirs instead of everything.
type rosterLog struct {
	from  config.Position // nothing is known of changes up to this revision
	steps []step          // in the order of their revisions
}

// step is the change of one endpoint.
type step struct {
	revision config.Position
	number   uint32
	name     string
}

// mostSteps bounds the changes that are remembered. Who is behind by more is told the whole
// roster, which is packed once for all who ask.
const mostSteps = 4096

// note takes in that a roster replaced another. A change between two revisions
// counts as one at the later: who has one between them is told it again. From era to era
// nothing joins: another host may know changes that were lost before this one heard of them.
func (l *rosterLog) note(old, now *config.Roster) {
	if old == nil || old.Revision.Era() != now.Revision.Era() {
		*l = rosterLog{from: now.Revision}
		return
	}
	trie.Diff(old.Endpoints, now.Endpoints, func(number uint32, a, b *config.Endpoint) {
		if a != nil && (b == nil || a.Name != b.Name) {
			l.steps = append(l.steps, step{now.Revision, number, a.Name})
		}
		if b != nil && (a == nil || !config.SameRegistration(a, b)) {
			l.steps = append(l.steps, step{now.Revision, number, b.Name})
		}
	})
	l.trim()
}

// trim forgets the older half of what is remembered once there is too much.
func (l *rosterLog) trim() {
	if len(l.steps) <= mostSteps {
		return
	}
	cut := len(l.steps) - mostSteps/2
	l.from = l.steps[cut-1].revision
	for cut < len(l.steps) && l.steps[cut].revision == l.from {
		cut++ // of a revision all is known or nothing
	}
	l.steps = append([]step(nil), l.steps[cut:]...)
}

// since returns the names and numbers of endpoints that changed after a revision.
func (l *rosterLog) since(after config.Position) map[string]uint32 {
	out := map[string]uint32{}
	for i := len(l.steps) - 1; i >= 0 && l.steps[i].revision > after; i-- {
		out[l.steps[i].name] = l.steps[i].number
	}
	return out
}

// RosterSince returns what a host with an earlier revision lacks: the change, or
// the whole roster where that isn't known. Both are nil if it lacks nothing.
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
	for name, number := range t.log.since(after) {
		if e := t.roster.Endpoints.Get(number); e != nil && e.Name == name {
			c.Changed = append(c.Changed, e.Told(now))
		} else {
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
