package load

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
)

// Table configures a series of runs: every policy at every load, on the same arrivals.
type Table struct {
	Deployments []string
	Loads       string // shares of the capacity, separated by commas
	Modes       string // policies, separated by commas
	Span        time.Duration
	Seed        uint64
	Parallel    int               // number of concurrent runs
	Progress    func(line string) // receives a line of progress per run; may be nil
}

// Row is one run of a table.
type Row struct {
	Deployment string
	Mode       string
	Factor     float64
	Report     Report
}

// tableLeaving is the share of callers that leave during prefill in the runs of a table.
const tableLeaving = 0.1

// Do runs the table and returns its rows, in order of deployment, load and policy.
func (t Table) Do(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, d := range t.Deployments {
		for _, l := range strings.Split(t.Loads, ",") {
			f, err := strconv.ParseFloat(l, 64)
			if err != nil || f <= 0 {
				return nil, errors.Errorf("loads: %q: want a number above 0", l)
			}
			for _, m := range strings.Split(t.Modes, ",") {
				rows = append(rows, Row{Deployment: d, Mode: m, Factor: f})
			}
		}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, t.Parallel))
	errs := make([]error, len(rows))
	for i := range rows {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			errs[i] = t.run(ctx, &rows[i])
			<-slots
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return rows, nil
}

func (t Table) run(ctx context.Context, r *Row) error {
	report, _, err := Run{Deployment: r.Deployment, Mode: config.PolicyMode(r.Mode), Factor: r.Factor, Span: t.Span, Leaving: tableLeaving,
		Seed: t.Seed, LagMillis: DefaultLag}.Do(ctx)
	if err != nil {
		return errors.Wrapf(err, "%s %s", r.Deployment, r.Mode)
	}
	r.Report = report
	if t.Progress != nil {
		t.Progress(fmt.Sprintf("%s %s at %g: good %d of %d", r.Deployment, r.Mode, r.Factor, report.Good, report.Offered-report.Left))
	}
	return nil
}

// Markdown formats the rows as a table for docs/RESULTS.md.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| deployment | load | policy | offered | good | good of stayed | of bound | wasted | for leavers | TTFT p50/p95/p99 ms | TPOT p95 ms | wrong |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		p := r.Report
		fmt.Fprintf(&b, "| %s | %g | %s | %d | %d | %.1f%% | %.1f%% | %.2f%% | %.2f%% | %.0f/%.0f/%.0f | %.1f | %d |\n", r.Deployment, r.Factor, r.Mode,
			p.Offered, p.Good, 100*p.GoodShare, 100*float64(p.Good)/float64(max(1, p.Bound)), 100*p.Waste.OtherShare, 100*p.Waste.LeaverShare,
			p.TTFT.P50, p.TTFT.P95, p.TTFT.P99, p.TPOT.P95, p.Wrong)
	}
	return b.String()
}
