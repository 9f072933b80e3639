package config

import (
	"reflect"
	"time"
)

// RosterChange holds the changes of a roster between two revisions. It can be applied to a
// roster of any revision from From up to Revision.
type RosterChange struct {
	From, Revision Position
	Changed        []Endpoint   // new or changed
	Gone           []string     // names of removed endpoints
	Evacuated      []Evacuation // all in force at Revision, changed or not, because they are few
}

// Apply applies a change to r and returns the resulting roster.
func (r *Roster) Apply(c *RosterChange) *Roster {
	out := &Roster{Revision: c.Revision, Endpoints: r.Endpoints, Evacuated: c.Evacuated}
	for _, name := range c.Gone {
		out.Endpoints = Remove(out.Endpoints, name)
	}
	for i := range c.Changed {
		out.Endpoints = Put(out.Endpoints, &c.Changed[i])
	}
	return out
}

// SameRegistration reports whether two registrations are equivalent.
func SameRegistration(a, b *Endpoint) bool {
	return a.Name == b.Name && a.Address == b.Address && a.Domain == b.Domain && a.Pool == b.Pool && a.Role == b.Role &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Model == b.Model && a.Version == b.Version && a.Software == b.Software &&
		a.Lapsed.IsZero() == b.Lapsed.IsZero() && a.Born == b.Born && sameCold(a, b)
}

// SameEndpoint reports whether two endpoints are equal in all fields, including those that are
// only known to this host.
func SameEndpoint(a, b *Endpoint) bool { return reflect.DeepEqual(a, b) }

// RosterList is a roster in the form sent to other hosts.
type RosterList struct {
	Revision  Position
	Endpoints []Endpoint
	Evacuated []Evacuation
}

// List returns the roster in the form sent to other hosts, as of now.
func (r *Roster) List(now time.Time) *RosterList {
	out := &RosterList{Revision: r.Revision, Evacuated: r.Evacuated, Endpoints: make([]Endpoint, 0, r.Endpoints.Len())}
	for _, e := range r.Endpoints.All() {
		out.Endpoints = append(out.Endpoints, e.WithRelativeColdTime(now))
	}
	return out
}

// Roster returns the list as a roster.
func (l *RosterList) Roster() *Roster {
	rows := make([]*Endpoint, len(l.Endpoints))
	for i := range rows {
		rows[i] = &l.Endpoints[i]
	}
	return &Roster{Revision: l.Revision, Endpoints: EndpointsOf(rows), Evacuated: l.Evacuated}
}
