package stand

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// scope is one level of a template: a value, and its key if it is an entry of a table.
type scope struct {
	key   string
	value any
	last  bool
}

// fill fills a settings template as the deploy page describes it, as far as this project uses it.
func fill(text string, scopes []scope) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		text = after
		inner := scopes[len(scopes)-1]
		switch {
		case tag == ",":
			if !inner.last {
				out.WriteByte(',')
			}
		case tag == "@":
			out.WriteString(inner.key)
		case tag == ".":
			fmt.Fprint(&out, inner.value)
		case tag[0] == '#' || tag[0] == '^':
			body, remainder, _ := strings.Cut(text, "{{/"+tag[1:]+"}}")
			text = remainder
			out.WriteString(section(tag[0] == '#', find(tag[1:], scopes), body, scopes))
		default:
			name, asJSON := strings.CutSuffix(tag, "|json")
			value := find(name, scopes)
			if asJSON {
				src, _ := json.Marshal(value)
				out.Write(src)
			} else if value != nil {
				fmt.Fprint(&out, value)
			}
		}
	}
}

func section(given bool, value any, body string, scopes []scope) string {
	if !given {
		if value == nil {
			return fill(body, scopes)
		}
		return ""
	}
	var out strings.Builder
	switch v := value.(type) {
	case nil:
	case map[string]any:
		keys := slices.Sorted(maps.Keys(v))
		for i, k := range keys {
			out.WriteString(fill(body, append(slices.Clone(scopes), scope{k, v[k], i == len(keys)-1})))
		}
	default:
		out.WriteString(fill(body, append(slices.Clone(scopes), scope{value: v, last: true})))
	}
	return out.String()
}

// find looks a dotted name up, from the innermost scope outwards.
func find(name string, scopes []scope) any {
	for _, s := range slices.Backward(scopes) {
		value := s.value
		for part := range strings.SplitSeq(name, ".") {
			table, _ := value.(map[string]any)
			value = table[part]
		}
		if value != nil {
			return value
		}
	}
	return nil
}
