package report

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Windows are the windows that burn is reported over.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Burn is the consumption of the error budget over one window. 1 means that the budget
// lasts exactly for its period; a higher rate uses it up sooner.
type Burn struct {
	Window string  `json:"window"`
	Total  uint64  `json:"total"`
	Bad    uint64  `json:"bad"`
	Rate   float64 `json:"burn"`
}

// BurnRow is the burn of one team or model.
type BurnRow struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Burns []Burn `json:"burns"`
	Alert string `json:"alert,omitempty"`
}

// BurnReport is the error budget burn of one host, or of several merged.
type BurnReport struct {
	Objective float64   `json:"objective"`
	Rows      []BurnRow `json:"rows"`
}

// Burn reports every team and model that had requests in the longest window.
func (r *Recorder) Burn(now time.Time) BurnReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := BurnReport{Objective: r.targets.Objective}
	for _, group := range []struct {
		kind string
		rows map[string]*series
	}{{"team", r.teams}, {"model", r.models}} {
		for name, s := range group.rows {
			br := BurnRow{Kind: group.kind, Name: name}
			for _, w := range Windows {
				total, bad := s.sum(now, w)
				br.Burns = append(br.Burns, Burn{Window: formatWindow(w), Total: total, Bad: bad})
			}
			if br.Burns[len(br.Burns)-1].Total > 0 {
				rep.Rows = append(rep.Rows, br)
			}
		}
	}
	rep.finish()
	return rep
}

func formatWindow(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dm", int(d.Minutes()))
	}
	return fmt.Sprintf("%dh", int(d.Hours()))
}

// finish computes rates and alerts and sorts the rows.
func (b *BurnReport) finish() {
	budget := 1 - b.Objective
	for i := range b.Rows {
		for k := range b.Rows[i].Burns {
			w := &b.Rows[i].Burns[k]
			if w.Total > 0 && budget > 0 {
				w.Rate = float64(w.Bad) / float64(w.Total) / budget
			}
		}
		b.Rows[i].Alert = alert(b.Rows[i].Burns)
	}
	sort.Slice(b.Rows, func(i, j int) bool {
		x, y := b.Rows[i], b.Rows[j]
		if x.Kind != y.Kind {
			return x.Kind > y.Kind
		}
		return x.Name < y.Name
	})
}

// Burn rates at which the alert rule fires: a page when both short windows burn fast, a
// ticket when both long ones burn steadily.
const (
	PageBurn   = 14.4
	TicketBurn = 6.0
)

// AlertRule describes the multi-window alert rule.
const AlertRule = "page: 5m and 1h both burn at 14.4 or more; ticket: 1h and 6h both burn at 6 or more"

func alert(b []Burn) string {
	switch {
	case len(b) < 3:
		return ""
	case b[0].Rate >= PageBurn && b[1].Rate >= PageBurn:
		return "page"
	case b[1].Rate >= TicketBurn && b[2].Rate >= TicketBurn:
		return "ticket"
	}
	return ""
}

// Merge adds up the reports of several hosts.
func Merge(reps []BurnReport) BurnReport {
	var out BurnReport
	at := map[string]int{}
	for _, r := range reps {
		if r.Objective > 0 {
			out.Objective = r.Objective
		}
		for _, row := range r.Rows {
			key := row.Kind + "/" + row.Name
			i, ok := at[key]
			if !ok {
				row.Burns = append([]Burn(nil), row.Burns...)
				at[key] = len(out.Rows)
				out.Rows = append(out.Rows, row)
				continue
			}
			for k := range row.Burns {
				out.Rows[i].Burns[k].Total += row.Burns[k].Total
				out.Rows[i].Burns[k].Bad += row.Burns[k].Bad
			}
		}
	}
	out.finish()
	return out
}

// Text returns the report as an aligned table.
func (b BurnReport) Text() string {
	var s strings.Builder
	fmt.Fprintf(&s, "objective %.4g; burn 1 uses the error budget up at its rate\n%s\n\n", b.Objective, AlertRule)
	fmt.Fprintf(&s, "%-6s %-24s", "kind", "name")
	for _, w := range Windows {
		fmt.Fprintf(&s, " %8s %6s %6s", formatWindow(w), "bad", "of")
	}
	s.WriteString("  alert\n")
	for _, r := range b.Rows {
		fmt.Fprintf(&s, "%-6s %-24s", r.Kind, r.Name)
		for _, w := range r.Burns {
			fmt.Fprintf(&s, " %8.2f %6d %6d", w.Rate, w.Bad, w.Total)
		}
		fmt.Fprintf(&s, "  %s\n", r.Alert)
	}
	return strings.TrimRight(s.String(), " ")
}
