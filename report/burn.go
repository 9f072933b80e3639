package report

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// bucketSize and buckets are the grain and the reach of the windows.
const (
	bucketSize = time.Minute
	buckets    = 360
)

// Windows are the spans that burn is reported over.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// maxRows bounds the teams and models counted apart, so that names made up
// by callers can't fill the memory; further ones are counted together.
const maxRows = 1024

// otherRow is where names past maxRows are counted.
const otherRow = "(other)"

// series counts one team or model over time.
type series struct {
	minute [buckets]int64 // since 1970; says whose minute a bucket holds
	total  [buckets]uint32
	bad    [buckets]uint32
}

func (s *series) add(now time.Time, bad bool) {
	m := now.Unix() / 60
	i := m % buckets
	if s.minute[i] != m {
		s.minute[i], s.total[i], s.bad[i] = m, 0, 0
	}
	s.total[i]++
	if bad {
		s.bad[i]++
	}
}

func (s *series) sum(now time.Time, span time.Duration) (total, bad uint64) {
	m := now.Unix() / 60
	for k := range int64(span / bucketSize) {
		i := (m - k) % buckets
		if s.minute[i] == m-k {
			total += uint64(s.total[i])
			bad += uint64(s.bad[i])
		}
	}
	return total, bad
}

// Recorder counts the outcomes of one host. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	targets config.Targets
	teams   map[string]*series
	models  map[string]*series
	sum     Sum
	ttft    *hdrhistogram.Histogram
	tpot    *hdrhistogram.Histogram
}

// Sum adds outcomes up since the start of the process.
type Sum struct {
	Requests  uint64                 `json:"requests"`
	Good      uint64                 `json:"good"`
	Late      uint64                 `json:"late"`
	Bad       uint64                 `json:"bad"`
	Excluded  uint64                 `json:"excluded"`
	Prefilled uint64                 `json:"prefilled_tokens"`
	Wasted    uint64                 `json:"wasted_tokens"`
	Tokens    uint64                 `json:"answer_tokens"`
	Tries     uint64                 `json:"tries"`
	Attempts  uint64                 `json:"attempts"`
	Codes     map[result.Code]uint64 `json:"codes"`
}

// Bounds of the histograms, in µs.
const (
	leastMicros = 1
	mostMicros  = 600_000_000
	figures     = 3
)

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{teams: map[string]*series{}, models: map[string]*series{}, sum: Sum{Codes: map[result.Code]uint64{}},
		ttft: hdrhistogram.New(leastMicros, mostMicros, figures), tpot: hdrhistogram.New(leastMicros, mostMicros, figures)}
}

// SetTargets sets the targets of the revision in force.
func (r *Recorder) SetTargets(t config.Targets) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = t
}

// Record counts an outcome.
func (r *Recorder) Record(o Outcome, now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Judge(o, r.targets)
	r.sum.add(o, v)
	if o.TTFT > 0 {
		_ = r.ttft.RecordValue(o.TTFT.Microseconds())
	}
	if o.TPOT > 0 {
		_ = r.tpot.RecordValue(o.TPOT.Microseconds())
	}
	if v == Excluded {
		return v
	}
	row(r.teams, o.Team).add(now, v != Good)
	row(r.models, o.Model).add(now, v != Good)
	return v
}

func row(m map[string]*series, name string) *series {
	s := m[name]
	if s == nil && len(m) >= maxRows {
		name = otherRow
		s = m[name]
	}
	if s == nil {
		s = new(series)
		m[name] = s
	}
	return s
}

func (s *Sum) add(o Outcome, v Verdict) {
	s.Requests++
	s.Codes[o.Code]++
	s.Prefilled += uint64(o.Prefilled)
	s.Wasted += uint64(o.Wasted)
	s.Tokens += uint64(o.Tokens)
	s.Tries += uint64(o.Tries)
	s.Attempts += uint64(o.Attempts)
	switch v {
	case Good:
		s.Good++
	case Late:
		s.Late++
	case Bad:
		s.Bad++
	default:
		s.Excluded++
	}
}

// Sum returns the counts since the start.
func (r *Recorder) Sum() Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sum
	s.Codes = make(map[result.Code]uint64, len(r.sum.Codes))
	for k, v := range r.sum.Codes {
		s.Codes[k] = v
	}
	return s
}

// Quantiles are in ms.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Times returns the quantiles of time to first token and time per token.
func (r *Recorder) Times() (ttft, tpot Quantiles) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return quantiles(r.ttft), quantiles(r.tpot)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(95), at(99)}
}

// Burn is the use of the error budget over one window. 1 means that the
// budget is used up exactly at its rate; more means sooner.
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

// BurnReport is the service-level burn of one host or of several.
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
				br.Burns = append(br.Burns, Burn{Window: span(w), Total: total, Bad: bad})
			}
			if br.Burns[len(br.Burns)-1].Total > 0 {
				rep.Rows = append(rep.Rows, br)
			}
		}
	}
	rep.finish()
	return rep
}

func span(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dm", int(d.Minutes()))
	}
	return fmt.Sprintf("%dh", int(d.Hours()))
}

// finish works out rates and alerts and sorts the rows.
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

// Rates from which the alert rule speaks: a page when both short windows
// burn fast, a ticket when both long ones burn steadily.
const (
	PageBurn   = 14.4
	TicketBurn = 6.0
)

// AlertRule states the multi-window rule in words.
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

// Merge adds the reports of several hosts up.
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
		fmt.Fprintf(&s, " %8s %6s %6s", span(w), "bad", "of")
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
