package publish

import (
	"slices"
	"strings"

	"github.com/embercove/embercove/config"
)

// The set of evacuated failure domains is known as of the follower's position, like the
// endpoints: a listing and a peer's roster contain the whole set, a watch the evacuations that
// began and ended.

// setEvacuations replaces the whole set of evacuations.
func (f *Follower) setEvacuations(list []config.Evacuation) {
	f.evacuations = make(map[string]config.Evacuation, len(list))
	for _, e := range list {
		f.evacuations[e.Domain] = e
	}
}

// applyEvacuations applies the evacuations of a watch's answer.
func (f *Follower) applyEvacuations(c *Changes) {
	for _, e := range c.Evacuated {
		f.evacuations[e.Domain] = e
	}
	for _, domain := range c.Returned {
		delete(f.evacuations, domain)
	}
}

// evacuationList returns the evacuations, sorted by failure domain.
func (f *Follower) evacuationList() []config.Evacuation {
	out := make([]config.Evacuation, 0, len(f.evacuations))
	for _, e := range f.evacuations {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b config.Evacuation) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}
