package trace

import (
	"sort"
)

// Group is failed requests that share a cause.
type Group struct {
	Name  string   `json:"name"`
	Cause string   `json:"cause"`
	Count int      `json:"count"`
	IDs   []string `json:"ids"` // of the first ones
}

// groupIDs is how many ids a group names.
const groupIDs = 3

// Failed groups the requests that were not answered by their cause, the most
// frequent first.
func Failed(lines []Line) []Group {
	byID := map[string][]Line{}
	groups := map[string]*Group{}
	for _, l := range lines {
		if l.ID != "" {
			byID[l.ID] = append(byID[l.ID], l)
		}
		if l.Message == msgRefused {
			add(groups, l.Name, beforeTaken(l), l.CallerID)
		}
	}
	for id, own := range byID {
		s := tell(own)
		if s.Name != "ok" {
			add(groups, orNone(s.Name), s.Cause, id)
		}
	}
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		sort.Strings(g.IDs)
		g.IDs = g.IDs[:min(len(g.IDs), groupIDs)]
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

func add(groups map[string]*Group, name, cause, id string) {
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
