package tool

import (
	"fmt"
	"io"
	"strings"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/node"
)

// evacuation sums up what the queried hosts know of the evacuation of a failure domain.
type evacuation struct {
	revision         config.Position
	hosts            int     // hosts that apply it
	longest          float64 // seconds for which the first host has applied it
	shortest         float64 // seconds for which the last host has applied it
	learnedFromPeers int     // hosts that learned of it from a peer
	running          int     // calls of these hosts that still run there
}

// printEvacuations prints the failure domains that are being evacuated. A domain can be
// taken down once all hosts know of the evacuation and nothing runs there any more.
func (t *tool) printEvacuations(statuses map[string]node.Status) {
	byDomain := map[string]*evacuation{}
	for _, s := range statuses {
		for _, row := range s.Evacuations {
			e := byDomain[row.Domain]
			if e == nil {
				e = &evacuation{shortest: row.KnownSeconds}
				byDomain[row.Domain] = e
			}
			e.hosts++
			e.revision = max(e.revision, row.Revision)
			e.longest, e.shortest = max(e.longest, row.KnownSeconds), min(e.shortest, row.KnownSeconds)
			e.running += row.Running
			if strings.HasPrefix(row.From, "peer") {
				e.learnedFromPeers++
			}
		}
	}
	if len(byDomain) == 0 {
		return
	}
	fmt.Fprintln(t.out)
	t.printTable("BEING EMPTIED\tREVISION\tKNOWN BY\tTOLD BY PEERS\tFIRST KNOWN FOR\tLAST KNOWN FOR\tRUNNING", func(w io.Writer) {
		for _, domain := range sortedKeys(byDomain) {
			e := byDomain[domain]
			fmt.Fprintf(w, "%s\t%s\t%d of %d\t%d\t%s\t%s\t%d\n", domain, e.revision, e.hosts, len(statuses), e.learnedFromPeers, formatAge(e.longest), formatAge(e.shortest), e.running)
		}
	})
}
