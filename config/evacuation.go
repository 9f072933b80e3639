package config

import (
	"slices"
	"strings"
)

// Evacuation says that operators have a failure domain emptied: nothing more is sent to
// its endpoints until that is taken back.
type Evacuation struct {
	Domain   string
	Revision uint64 // of the store, when it was published
}

// EvacuationsByDomain returns a list by failure domain; nil for an empty one.
func EvacuationsByDomain(list []Evacuation) map[string]Evacuation {
	if len(list) == 0 {
		return nil
	}
	out := make(map[string]Evacuation, len(list))
	for _, e := range list {
		out[e.Domain] = e
	}
	return out
}

// Emptied reports whether an endpoint lies in a failure domain that is being emptied.
func (v *View) Emptied(e *Endpoint) bool {
	_, emptied := v.Evacuated[e.Domain]
	return emptied
}

// SameEvacuations reports whether a roster names the failure domains that the view has
// as being emptied, and no others.
func (v *View) SameEvacuations(r *Roster) bool {
	for _, e := range r.Evacuated {
		if v.Evacuated[e.Domain] != e {
			return false
		}
	}
	return len(r.Evacuated) == len(v.Evacuated)
}

// EvacuatedAfter returns the evacuations in force once a roster of a revision, which has
// list, follows one that has old. A listing of a store in pages may tell of a moment
// after its own revision; such a word outlives rosters that are older than it.
func EvacuatedAfter(old, list []Evacuation, revision uint64) []Evacuation {
	by := EvacuationsByDomain(list)
	out := make([]Evacuation, 0, len(list))
	for _, e := range old {
		if _, told := by[e.Domain]; e.Revision > revision && !told {
			out = append(out, e)
		}
	}
	for _, e := range by {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}
