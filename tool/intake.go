package tool

import (
	"fmt"
	"io"
	"time"

	"github.com/embercove/embercove/node"
)

// printIntake prints the hosts that have held callers off since they started.
func (t *tool) printIntake(statuses map[string]node.Status) {
	var affected []node.Status
	for _, a := range sortedKeys(statuses) {
		if s := statuses[a]; s.Intake.ShutCount > 0 {
			affected = append(affected, s)
		}
	}
	if len(affected) == 0 {
		return
	}
	fmt.Fprintln(t.out)
	t.printTable("HOST\tDOMAIN\tCALLERS\tDELAY\tARRIVING\tWINDOW\tHELD OFF\tFOR\tREFUSED", func(w io.Writer) {
		for _, s := range affected {
			state, window := "admitted", "none"
			if s.Intake.Shut {
				state = "held off"
			}
			if s.Intake.Window > 0 {
				window = fmt.Sprint(s.Intake.Window)
			}
			held := time.Duration(s.Intake.ShutSeconds * float64(time.Second)).Round(100 * time.Millisecond)
			fmt.Fprintf(w, "%s\t%s\t%s\t%.0fms\t%d\t%s\t%d\t%s\t%d\n", s.Host, s.Domain, state, s.Intake.DelayMillis, s.Intake.Arriving, window, s.Intake.ShutCount, held, s.Intake.Refused)
		}
	})
}
