package load

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
)

// Report summarizes one run.
type Report struct {
	Name      string                `json:"name"`
	Offered   int                   `json:"offered"`
	Left      int                   `json:"left"`
	Answered  int                   `json:"answered"`
	Good      int                   `json:"good"`
	Wrong     int                   `json:"wrong_or_broken"`
	Goodput   float64               `json:"goodput_per_s"`
	GoodShare float64               `json:"good_share"` // of the callers that stayed
	Bound     int                   `json:"bound"`
	TTFT      report.Quantiles      `json:"ttft"`
	TPOT      report.Quantiles      `json:"tpot"`
	Codes     map[string]int        `json:"codes"`
	Kinds     map[string]KindReport `json:"kinds"`
	Waste     Waste                 `json:"waste"`
}

// KindReport counts the requests of one kind or of one team.
type KindReport struct {
	Offered int `json:"offered"`
	Good    int `json:"good"`
}

// Waste is the prefill work by the stand-ins' records, in tokens.
type Waste struct {
	Prefilled          int     `json:"read_tokens"`
	Leavers            int     `json:"wasted_for_leavers"` // the caller left; not all of it is avoidable
	Others             int     `json:"wasted_for_others"`
	OtherShare         float64 `json:"wasted_share_others"`
	LeaverShare        float64 `json:"wasted_share_leavers"`
	AttemptsPerRequest float64 `json:"attempts_per_request"` // prefill runs per request that ran
}

// Summarize returns the report of a run.
func Summarize(name string, results []Result, records []fake.Record, targets config.Targets, span time.Duration) Report {
	rep := Report{Name: name, Offered: len(results), Codes: map[string]int{}, Kinds: map[string]KindReport{}}
	ttft, tpot := newHistogram(), newHistogram()
	for _, r := range results {
		good := r.CleanEnd && r.Correct && r.TTFT <= targets.TTFT() && r.TPOT <= targets.TPOT()
		for _, key := range []string{r.Kind, "team " + r.Team} {
			k := rep.Kinds[key]
			k.Offered++
			if good {
				k.Good++
			}
			rep.Kinds[key] = k
		}
		switch {
		case good:
			rep.Good++
		case r.Left:
			rep.Left++
		}
		if r.CleanEnd {
			rep.Answered++
			_ = ttft.RecordValue(r.TTFT.Microseconds())
			if r.TPOT > 0 {
				_ = tpot.RecordValue(r.TPOT.Microseconds())
			}
		}
		rep.Codes[codeName(r)]++
		if !r.Left && (r.Code == 0 || r.Code == result.OK && !r.Correct) {
			rep.Wrong++
		}
	}
	rep.Goodput = float64(rep.Good) / span.Seconds()
	rep.GoodShare = float64(rep.Good) / float64(max(1, rep.Offered-rep.Left))
	rep.TTFT, rep.TPOT = quantiles(ttft), quantiles(tpot)
	rep.Waste = computeWaste(results, records)
	return rep
}

func codeName(r Result) string {
	switch {
	case r.Left:
		return "(left)"
	case r.Code == 0:
		return "(broken)"
	}
	return r.Code.String()
}

const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func quantiles(h *hdrhistogram.Histogram) report.Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return report.Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// computeWaste sums up the prefill work and the part of it whose result was never
// imported by a decode engine.
func computeWaste(results []Result, records []fake.Record) Waste {
	left := map[uint64]bool{}
	for _, r := range results {
		if r.Left {
			left[fake.PromptHash(r.Prompt)] = true
		}
	}
	var w Waste
	prefillRuns := map[uint64]int{}
	for _, rec := range records {
		if rec.Role != string(config.Prefill) {
			continue
		}
		w.Prefilled += rec.Tokens
		if rec.Finished {
			prefillRuns[rec.Prompt]++
		}
		switch {
		case rec.Used:
		case left[rec.Prompt]:
			w.Leavers += rec.Tokens
		default:
			w.Others += rec.Tokens
		}
	}
	runs := 0
	for _, n := range prefillRuns {
		runs += n
	}
	w.OtherShare = float64(w.Others) / float64(max(1, w.Prefilled))
	w.LeaverShare = float64(w.Leavers) / float64(max(1, w.Prefilled))
	w.AttemptsPerRequest = float64(runs) / float64(max(1, len(prefillRuns)))
	return w
}

// Text returns the report as text.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", r.Name)
	fmt.Fprintf(&b, "  offered %d, left %d, answered %d, good %d (%.1f%% of those that stayed, %.1f/s), wrong or broken %d\n",
		r.Offered, r.Left, r.Answered, r.Good, 100*r.GoodShare, r.Goodput, r.Wrong)
	fmt.Fprintf(&b, "  time to first token  p50 %7.1f ms  p95 %7.1f ms  p99 %7.1f ms\n", r.TTFT.P50, r.TTFT.P95, r.TTFT.P99)
	fmt.Fprintf(&b, "  time per token       p50 %7.1f ms  p95 %7.1f ms  p99 %7.1f ms\n", r.TPOT.P50, r.TPOT.P95, r.TPOT.P99)
	if r.Waste.Prefilled > 0 { // only stand-ins of this process have records here
		r.wasteText(&b)
	}
	for _, k := range sortedKeys(r.Kinds) {
		fmt.Fprintf(&b, "  %-22s good %d of %d\n", k, r.Kinds[k].Good, r.Kinds[k].Offered)
	}
	for _, k := range sortedKeys(r.Codes) {
		fmt.Fprintf(&b, "  %-22s %d\n", k, r.Codes[k])
	}
	return b.String()
}

func (r Report) wasteText(b *strings.Builder) {
	fmt.Fprintf(b, "  prompt tokens read %d, wasted %.2f%% and for callers that left %.2f%%, prefills for each request run %.3f\n",
		r.Waste.Prefilled, 100*r.Waste.OtherShare, 100*r.Waste.LeaverShare, r.Waste.AttemptsPerRequest)
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
