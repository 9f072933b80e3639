package publish

import (
	"slices"
	"strings"

	"github.com/embercove/embercove/config"
)

// Which failure domains are being emptied is known as of the follower's revision, like
// the endpoints: a listing tells it whole, a watch what began and what was taken back,
// and peers the whole of it with a roster.

// setEvacuated takes over the whole of what is told.
func (f *Follower) setEvacuated(list []config.Evacuation) {
	f.empty = make(map[string]config.Evacuation, len(list))
	for _, e := range list {
		f.empty[e.Domain] = e
	}
}

// evacuate takes in what a watch tells.
func (f *Follower) evacuate(c *Changes) {
	for _, e := range c.Evacuated {
		f.empty[e.Domain] = e
	}
	for _, domain := range c.Returned {
		delete(f.empty, domain)
	}
}

// evacuated lists the evacuations by failure domain.
func (f *Follower) evacuated() []config.Evacuation {
	out := make([]config.Evacuation, 0, len(f.empty))
	for _, e := range f.empty {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b config.Evacuation) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}
