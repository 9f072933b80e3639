package config

import "slices"

// RosterChange is what changed in a roster since an earlier revision, as of
// Revision. It may be laid over any roster from From to Revision.
type RosterChange struct {
	From, Revision uint64
	Changed        []Endpoint   // new, or with a new state
	Gone           []string     // names
	Evacuated      []Evacuation // all that hold as of Revision, as they are few
}

// With returns the roster that a change makes of r.
func (r *Roster) With(c *RosterChange) *Roster {
	out := &Roster{Revision: c.Revision, Evacuated: c.Evacuated}
	replaced := make(map[string]bool, len(c.Changed))
	for _, e := range c.Changed {
		replaced[e.Name] = true
	}
	for _, e := range r.Endpoints {
		if !replaced[e.Name] && !slices.Contains(c.Gone, e.Name) {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	out.Endpoints = append(out.Endpoints, c.Changed...)
	return out
}

// SameRegistration reports whether two registrations say the same.
func SameRegistration(a, b *Endpoint) bool {
	return a.Name == b.Name && a.Address == b.Address && a.Domain == b.Domain && a.Pool == b.Pool && a.Role == b.Role &&
		a.Slots == b.Slots && a.Leaving == b.Leaving && a.Model == b.Model && a.Version == b.Version &&
		a.Lapsed.IsZero() == b.Lapsed.IsZero() && a.Born == b.Born && sameCold(a, b)
}
