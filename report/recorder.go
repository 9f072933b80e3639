package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// maxRows bounds the teams and models that are counted separately, so that names made up by
// callers can't use up the memory. Further ones are counted together.
const maxRows = 1024

// otherRow is the name under which the teams or models beyond maxRows are counted.
const otherRow = "(other)"

// Recorder counts the outcomes of one host. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	targets config.Targets
	teams   map[string]*series
	models  map[string]*series
	sum     Totals
	ttft    *hdrhistogram.Histogram
	tpot    *hdrhistogram.Histogram
}

// Totals holds the totals since the start of the process.
type Totals struct {
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
	minMicros          = 1
	maxMicros          = 600_000_000
	significantFigures = 3
)

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{teams: map[string]*series{}, models: map[string]*series{}, sum: Totals{Codes: map[result.Code]uint64{}},
		ttft: hdrhistogram.New(minMicros, maxMicros, significantFigures), tpot: hdrhistogram.New(minMicros, maxMicros, significantFigures)}
}

// SetTargets sets the targets of the revision in force.
func (r *Recorder) SetTargets(t config.Targets) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = t
}

// Record counts an outcome and returns its verdict.
func (r *Recorder) Record(o Outcome, now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Evaluate(o, r.targets)
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
	seriesFor(r.teams, o.Team).add(now, v != Good)
	seriesFor(r.models, o.Model).add(now, v != Good)
	return v
}

func seriesFor(m map[string]*series, name string) *series {
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

// Totals returns the totals since the start of the process.
func (r *Recorder) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sum
	s.Codes = make(map[result.Code]uint64, len(r.sum.Codes))
	for k, v := range r.sum.Codes {
		s.Codes[k] = v
	}
	return s
}

// Quantiles of a duration, in ms.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Latencies returns the quantiles of time to first token and time per token.
func (r *Recorder) Latencies() (ttft, tpot Quantiles) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return quantiles(r.ttft), quantiles(r.tpot)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(95), at(99)}
}
