package node

import (
	"reflect"
	"strings"

	"github.com/embercove/embercove/config"
)

// Reload applies those of the new settings that can change while the node runs:
// the seeds and the retry budget. It returns the names of other fields that have
// changed, which take effect only after a restart. The log level isn't among them:
// the caller sets it.
func (n *Node) Reload(s *config.Settings) (needRestart []string) {
	n.Router.SetSeeds(s.Seeds)
	n.entry.SetRetryBudget(s.RetryBudget)
	old := *n.settings
	old.Seeds, old.RetryBudget, old.LogLevel = s.Seeds, s.RetryBudget, s.LogLevel
	return changedFields(&old, s)
}

// changedFields returns the JSON names of the fields in which two settings differ.
func changedFields(a, b *config.Settings) []string {
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
