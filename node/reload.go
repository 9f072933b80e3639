package node

import (
	"reflect"
	"strings"

	"github.com/embercove/embercove/config"
)

// Reload takes over what of new settings can change while the node runs: the
// seeds and the retry budget. It returns the names of fields that changed and
// hold from the next start only.
func (n *Node) Reload(s *config.Settings) (later []string) {
	n.Router.SetSeeds(s.Seeds)
	n.entry.SetRetryBudget(s.RetryBudget)
	old := *n.settings
	old.Seeds, old.RetryBudget, old.LogLevel = s.Seeds, s.RetryBudget, s.LogLevel
	return changed(&old, s)
}

// changed returns the names of the fields in which two settings differ.
func changed(a, b *config.Settings) []string {
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	var names []string
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			name, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}
