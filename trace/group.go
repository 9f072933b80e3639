package trace

import (
	"sort"
)

// Group is a set of failed requests with the same cause.
type Group struct {
	Name  string   `json:"name"`
	Cause string   `json:"cause"`
	Count int      `json:"count"`
	IDs   []string `json:"ids"` // the first maxGroupIDs in sorted order
}

// maxGroupIDs is the number of request ids that a group lists.
const maxGroupIDs = 3

// GroupFailed groups the requests that got no complete answer by the cause of that. The
// largest groups come first.
func GroupFailed(lines []Line) []Group {
	byID := map[string][]Line{}
	groups := map[string]*Group{}
	for _, l := range lines {
		if l.ID != "" {
			byID[l.ID] = append(byID[l.ID], l)
		}
		if l.Message == msgRefused {
			addToGroup(groups, l.Name, refusedCause(l), l.CallerID)
		}
	}
	for id, requestLines := range byID {
		s := buildStory(requestLines)
		if s.Name != "ok" {
			addToGroup(groups, orNone(s.Name), s.Cause, id)
		}
	}
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		sort.Strings(g.IDs)
		g.IDs = g.IDs[:min(len(g.IDs), maxGroupIDs)]
		out = append(out, *g)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Count != out[j].Count {
			return out[i].Count > out[j].Count
		}
		return out[i].Cause < out[j].Cause
	})
	return out
}

func addToGroup(groups map[string]*Group, name, cause, id string) {
	key := name + "\x00" + cause
	g := groups[key]
	if g == nil {
		g = &Group{Name: name, Cause: cause}
		groups[key] = g
	}
	g.Count++
	if id != "" {
		g.IDs = append(g.IDs, id)
	}
}
