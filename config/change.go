package config

import (
	"reflect"
	"time"
)

// RosterChange is what changed in a roster since an earlier revision, as of
// Revision. It may be laid over any roster from From to Revision.
type RosterChange struct {
	From, Revision Position
	Changed        []Endpoint   // new, or with a new state
	Gone           []string     // names
	Evacuated      []Evacuation // all that hold as of Revision, as they are few
}

// With returns the roster that a change makes of r.
func (r *Roster) With(c *RosterChange) *Roster {
	out := &Roster{Revision: c.Revision, Endpoints: r.Endpoints, Evacuated: c.Evacuated}
	for _, name := range c.Gone {
		out.Endpoints = Remove(out.Endpoints, name)
	}
	for i := range c.Changed {
		out.Endpoints = Put(out.Endpoints, &c.Changed[i])
	}
	return out
}

// SameRegistration reports whether two registrations say the same.
func SameRegistration(a, b *Endpoint) bool {
	return a.Name == b.Name && a.Address == b.Address && a.Domain == b.Domain && a.Pool == b.Pool && a.Role == b.Role &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Model == b.Model && a.Version == b.Version &&
		a.Lapsed.IsZero() == b.Lapsed.IsZero() && a.Born == b.Born && sameCold(a, b)
}

// SameEndpoint reports whether two endpoints are the same in all that they say and that is
// known of them here.
func SameEndpoint(a, b *Endpoint) bool { return reflect.DeepEqual(a, b) }

// RosterList is a roster as other hosts are told of it.
type RosterList struct {
	Revision  Position
	Endpoints []Endpoint
	Evacuated []Evacuation
}

// List returns the roster as other hosts are told of it now.
func (r *Roster) List(now time.Time) *RosterList {
	out := &RosterList{Revision: r.Revision, Evacuated: r.Evacuated, Endpoints: make([]Endpoint, 0, r.Endpoints.Len())}
	for _, e := range r.Endpoints.All() {
		out.Endpoints = append(out.Endpoints, e.Told(now))
	}
	return out
}

// Roster returns the roster of a list.
func (l *RosterList) Roster() *Roster {
	rows := make([]*Endpoint, len(l.Endpoints))
	for i := range rows {
		rows[i] = &l.Endpoints[i]
	}
	return &Roster{Revision: l.Revision, Endpoints: EndpointsOf(rows), Evacuated: l.Evacuated}
}
