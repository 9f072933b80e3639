package tool

import (
	"fmt"
	"io"
	"strings"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/node"
)

// evacuation is what the asked hosts know, together, of a failure domain that is emptied.
type evacuation struct {
	revision config.Position
	hosts    int     // that have it in force
	since    float64 // s, for which the first has
	last     float64 // s, for which the last has
	peers    int     // of the hosts, those that a peer told
	running  int     // calls there that the hosts wait for
}

// evacuations prints the failure domains that are being emptied. Which hosts don't know
// of one, and what runs there still, says when it may be taken away.
func (t *tool) evacuations(all map[string]node.Status) {
	by := map[string]*evacuation{}
	for _, s := range all {
		for _, row := range s.Evacuated {
			e := by[row.Domain]
			if e == nil {
				e = &evacuation{last: row.Since}
				by[row.Domain] = e
			}
			e.hosts++
			e.revision = max(e.revision, row.Revision)
			e.since, e.last = max(e.since, row.Since), min(e.last, row.Since)
			e.running += row.Running
			if strings.HasPrefix(row.From, "peer") {
				e.peers++
			}
		}
	}
	if len(by) == 0 {
		return
	}
	fmt.Fprintln(t.out)
	t.table("BEING EMPTIED\tREVISION\tKNOWN BY\tTOLD BY PEERS\tFIRST KNOWN FOR\tLAST KNOWN FOR\tRUNNING", func(w io.Writer) {
		for _, domain := range keys(by) {
			e := by[domain]
			fmt.Fprintf(w, "%s\t%s\t%d of %d\t%d\t%s\t%s\t%d\n", domain, e.revision, e.hosts, len(all), e.peers, age(e.since), age(e.last), e.running)
		}
	})
}
