package node

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// EvacuationStatus is a failure domain that is being evacuated.
type EvacuationStatus struct {
	Domain       string          `json:"failure_domain"`
	KnownSeconds float64         `json:"known_s"`  // for how long it has been in force here
	Revision     config.Position `json:"revision"` // at which it was published
	From         string          `json:"from"`     // the store, or the peer that reported it
	Running      int             `json:"running"`  // calls of this host that still run there
}

// evacuations lists the failure domains that are being evacuated.
func (n *Node) evacuations(now time.Time) []EvacuationStatus {
	var out []EvacuationStatus
	running := n.runningEvacuated()
	for _, row := range n.Board.Evacuations.List() {
		out = append(out, EvacuationStatus{row.Domain, now.Sub(row.Since).Seconds(), row.Revision, row.From, running[row.Domain]})
	}
	return out
}

// runningEvacuated returns how many calls of this host run at the endpoints of each failure
// domain that is being evacuated.
func (n *Node) runningEvacuated() map[string]int {
	out := map[string]int{}
	n.Board.Endpoints.Read(func(fleet *route.Fleet) {
		for s := range fleet.All() {
			if s.Evacuated {
				out[s.Spec.Domain] += s.InFlight
			}
		}
	})
	return out
}

// evacuationGauges returns the metrics on failure domains that are being evacuated.
func evacuationGauges(n *Node) []gauge {
	return []gauge{
		{"evacuations", "failure domains that are being emptied", false, func() float64 { return float64(len(n.Board.Evacuations.List())) }},
		{"evacuated_requests_running", "calls of this host that run in failure domains that are being emptied", false, func() float64 {
			sum := 0
			for _, r := range n.runningEvacuated() {
				sum += r
			}
			return float64(sum)
		}},
		{"evacuation_turned_away", "requests that asked or waited at endpoints of failure domains that are being emptied, refused by their owner here", true, func() float64 {
			return float64(n.Owner.EvacuationRefusals.Load())
		}},
	}
}
