package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// scope is a field's value during filling, with the entries around it.
type scope struct {
	value any
	key   string
	last  bool
	outer *scope
}

// fill fills the gaps of a settings template, as the users' page on deployment describes them.
func fill(text string, s *scope) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		gap, after, _ := strings.Cut(rest, "}}")
		if gap[0] != '#' && gap[0] != '^' {
			out.WriteString(s.gap(gap))
			text = after
			continue
		}
		inner, behind, _ := strings.Cut(after, "{{/"+gap[1:]+"}}")
		out.WriteString(s.section(gap[0] == '^', gap[1:], inner))
		text = behind
	}
}

// section fills a part that stands once for each entry, or if a value is given or missing.
func (s *scope) section(missing bool, name, inner string) string {
	value := s.lookup(name)
	isSet := value != nil && value != false
	if missing || !isSet {
		if missing != isSet {
			return fill(inner, s)
		}
		return ""
	}
	table, isTable := value.(map[string]any)
	if !isTable {
		return fill(inner, &scope{value: value, outer: s})
	}
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var out strings.Builder
	for i, key := range keys {
		out.WriteString(fill(inner, &scope{value: table[key], key: key, last: i == len(keys)-1, outer: s}))
	}
	return out.String()
}

// gap returns the text of a single gap.
func (s *scope) gap(name string) string {
	switch name {
	case "@":
		return s.key
	case ",":
		if s.last {
			return ""
		}
		return ","
	}
	path, asJSON := strings.CutSuffix(name, "|json")
	value := s.lookup(path)
	if asJSON {
		src, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(src)
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// lookup returns the value at a path of names, nil if there is none.
func (s *scope) lookup(path string) any {
	if path == "." {
		return s.value
	}
	for at := s; at != nil; at = at.outer {
		value := at.value
		for _, name := range strings.Split(path, ".") {
			table, _ := value.(map[string]any)
			value = table[name]
		}
		if value != nil {
			return value
		}
	}
	return nil
}
