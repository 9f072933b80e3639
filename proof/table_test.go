package proof

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/load"
)

// Size of the table of TestTable. The whole table:
//
//	go test ./proof -run TestTable -v -timeout 1h -proof.span 60s -proof.loads 0.7,1,1.3,2 \
//		-proof.modes owner,least_load,fixed_share,dispatcher,random,round_robin,two_choices
var (
	tableSpan  = flag.Duration("proof.span", 5*time.Second, "duration of load in each run of the table")
	tableLoads = flag.String("proof.loads", "1", "loads of the table")
	tableModes = flag.String("proof.modes", "owner", "policies of the table")
	tableSeed  = flag.Uint64("proof.seed", 1, "seed of the table's arrivals")
)

// TestTable prints how the policies do on each deployment and load. It runs in virtual time, so
// the figures don't depend on the machine. It checks that no answer is wrong and that the owner
// policy, at loads up to the capacity, answers nearly all requests in time.
func TestTable(t *testing.T) {
	const minShare = 0.85
	var rows []load.Row
	for _, dep := range examples.Names {
		for _, l := range strings.Split(*tableLoads, ",") {
			f, err := strconv.ParseFloat(l, 64)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range strings.Split(*tableModes, ",") {
				rows = append(rows, load.Row{Deployment: dep, Mode: m, Factor: f})
			}
		}
	}
	t.Run("runs", func(t *testing.T) {
		for i := range rows {
			t.Run(fmt.Sprintf("%s %s at %g", rows[i].Deployment, rows[i].Mode, rows[i].Factor), func(t *testing.T) {
				t.Parallel()
				r := &rows[i]
				r.Report, _ = measureRun(t, load.Run{
					Deployment: r.Deployment, Mode: config.PolicyMode(r.Mode), Factor: r.Factor, Span: *tableSpan,
					Leaving: 0.1, Seed: *tableSeed,
				})
				if r.Report.Wrong > 0 {
					t.Errorf("%d answers are wrong or broken", r.Report.Wrong)
				}
				if r.Mode == "owner" && r.Factor <= 1 && r.Report.GoodShare < minShare {
					t.Errorf("%.1f%% in time", 100*r.Report.GoodShare)
				}
			})
		}
	})
	t.Log("\n" + load.Markdown(rows))
}
