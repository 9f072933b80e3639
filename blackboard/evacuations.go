package blackboard

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/embercove/embercove/config"
)

// EvacuationTable records since when evacuations are in force on this host, for operators.
// Requests are bound by the view in use; no decision uses this table.
type EvacuationTable struct {
	mu   sync.Mutex
	rows map[string]EvacuationRow
}

// EvacuationRow is a failure domain that is evacuated.
type EvacuationRow struct {
	config.Evacuation
	Since time.Time // when it came into force here
	From  string    // the store, or the peer that sent it
}

// Note records the evacuations of a view that came into force, received from the given source.
// It returns those that began and those that ended with it, ordered by failure domain.
func (t *EvacuationTable) Note(v *config.View, from string, now time.Time) (began, ended []EvacuationRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for domain, row := range t.rows {
		if _, still := v.Evacuated[domain]; !still {
			ended = append(ended, row)
			delete(t.rows, domain)
		}
	}
	for domain, e := range v.Evacuated {
		if old, known := t.rows[domain]; known && old.Revision == e.Revision {
			continue
		}
		if t.rows == nil {
			t.rows = map[string]EvacuationRow{}
		}
		t.rows[domain] = EvacuationRow{e, now, from}
		began = append(began, t.rows[domain])
	}
	sortRows(began)
	sortRows(ended)
	return began, ended
}

// List returns the evacuated failure domains, ordered by name.
func (t *EvacuationTable) List() []EvacuationRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []EvacuationRow
	for _, row := range t.rows {
		out = append(out, row)
	}
	sortRows(out)
	return out
}

func sortRows(rows []EvacuationRow) {
	slices.SortFunc(rows, func(a, b EvacuationRow) int { return strings.Compare(a.Domain, b.Domain) })
}
