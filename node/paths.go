package node

import (
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/route"
)

// EndpointPaths says how a host reaches endpoints.
type EndpointPaths struct {
	Lost []string `json:"lost,omitempty"` // addresses reached only by way of another host
	None []string `json:"none,omitempty"` // addresses reached neither directly nor by way of another host
	// CutOffDomains are the failure domains whose hosts said lately that they have lost their links to endpoints too.
	CutOffDomains []string       `json:"domains_cut_off,omitempty"`
	Gateways      map[string]int `json:"gateways,omitempty"` // open connections that other hosts pass on for this one, by host
	TunnelsUsed   int            `json:"tunnels_used"`       // their number
	TunnelsPassed int            `json:"tunnels_relayed"`    // open connections that this host passes on for others
}

// pathStatus returns how this host reaches endpoints.
func (n *Node) pathStatus(now time.Time) EndpointPaths {
	s := EndpointPaths{CutOffDomains: n.tunnels.CutOffDomains(now), Gateways: n.tunnels.Gateways(), TunnelsPassed: n.gateway.Active()}
	for _, count := range s.Gateways {
		s.TunnelsUsed += count
	}
	for _, p := range n.Board.Paths.NotDirect(now) {
		if p.State == blackboard.PathLost {
			s.Lost = append(s.Lost, p.Address)
		} else {
			s.None = append(s.None, p.Address)
		}
	}
	return s
}

// explainPaths adds how this host reaches the candidates of a request.
func (n *Node) explainPaths(fleet *route.Fleet, candidates []route.Candidate, now time.Time) {
	for i := range candidates {
		if s := fleet.Find(route.Number(candidates[i].Endpoint)); s != nil {
			candidates[i].Path = n.Board.Paths.State(s.Spec.Address, now).String()
		}
	}
}

// pathGauges returns the metrics on the paths to endpoints.
func pathGauges(n *Node) []gauge {
	count := func(s blackboard.PathState) func() float64 {
		return func() float64 { return float64(n.Board.Paths.Count(s)) }
	}
	return []gauge{
		{"paths_lost", "endpoints that this host reaches only by way of another host", false, count(blackboard.PathLost)},
		{"paths_none", "endpoints that neither this host nor another one reaches", false, count(blackboard.PathNone)},
		{"paths_found_lost", "times that the path to an endpoint was found lost", true, func() float64 { return float64(n.tunnels.Counts.Lost.Load()) }},
		{"paths_restored", "times that an endpoint was found reachable directly again", true, func() float64 { return float64(n.tunnels.Counts.Restored.Load()) }},
		{"tunnels_used", "open connections to endpoints that other hosts pass on for this one", false, func() float64 { return float64(n.tunnels.Active()) }},
		{"tunnels_opened", "connections to endpoints that other hosts opened for this one", true, func() float64 { return float64(n.tunnels.Counts.Opened.Load()) }},
		{"tunnels_denied", "requests for such a connection that other hosts refused or did not answer", true, func() float64 { return float64(n.tunnels.Counts.Refused.Load()) }},
		{"tunnels_relayed", "open connections to endpoints that this host passes on for others", false, func() float64 { return float64(n.gateway.Active()) }},
		{"tunnels_relayed_opened", "connections to endpoints that this host opened for others", true, func() float64 { return float64(n.gateway.Opened.Load()) }},
		{"tunnels_relayed_denied", "requests of other hosts for such a connection that this host refused", true, func() float64 { return float64(n.gateway.Refused.Load()) }},
		{"tunnels_relayed_bytes", "bytes that this host passed on for others, in both directions", true, func() float64 { return float64(n.gateway.Traffic.In.Load()) }},
	}
}
