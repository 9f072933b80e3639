package node

import (
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/route"
)

// Status is the state of a host and of the cluster as it sees it.
type Status struct {
	Host               string                  `json:"host"`
	Domain             string                  `json:"failure_domain"`
	Region             string                  `json:"region"`
	UptimeSeconds      float64                 `json:"up_s"`
	Leaving            bool                    `json:"leaving"`
	Config             blackboard.ConfigStatus `json:"config"`
	Hosts              []HostStatus            `json:"hosts"`
	Endpoints          []EndpointStatus        `json:"endpoints"`
	Versions           []VersionStatus         `json:"versions,omitempty"` // of endpoints' software, by pool
	Evacuations        []EvacuationStatus      `json:"evacuations,omitempty"`
	Paths              EndpointPaths           `json:"paths"`
	Intake             intake.Status           `json:"intake"`
	Quotas             []QuotaStatus           `json:"quotas"`
	Regions            []RegionStatus          `json:"regions,omitempty"` // remote ones
	Totals             report.Totals           `json:"sum"`
	TTFT               report.Quantiles        `json:"ttft"`
	TPOT               report.Quantiles        `json:"tpot"`
	RequestsInProgress int                     `json:"requests_in_progress"`
	Pauses             uint64                  `json:"pauses"`
	BrokenInvariants   map[string]uint64       `json:"invariants_broken"`
}

// HostStatus is the state of an entry host as this host sees it.
type HostStatus struct {
	Host          string  `json:"host"`
	Domain        string  `json:"failure_domain"`
	Live          bool    `json:"live"`
	Leaving       bool    `json:"leaving"`
	Unconfirmed   bool    `json:"doubted"`
	SilentSeconds float64 `json:"silent_s"`
}

// EndpointStatus is the state of an endpoint as this host sees it.
type EndpointStatus struct {
	Endpoint         string      `json:"endpoint"`
	Role             config.Role `json:"role"`
	Domain           string      `json:"failure_domain"`
	Owner            string      `json:"owner"`              // empty: there is no live host in its failure domain
	Software         string      `json:"software,omitempty"` // version; "unknown": the registration states none
	State            string      `json:"state"`
	QueueMillis      uint32      `json:"queue_ms"`
	FreeTokens       int32       `json:"free_tokens"`
	FreeSlots        int32       `json:"free_slots"`
	SlowFactor       float64     `json:"slow"`
	FailedPercent    uint8       `json:"failing_pct"`
	DigestAgeSeconds float64     `json:"digest_age_s"`   // -1: no digest was received
	ColdSeconds      float64     `json:"cold_s"`         // how long it may still be cold; 0: it is warm
	PermitsGranted   uint64      `json:"starts"`         // permits that this host granted while the endpoint was cold or announced a limit
	PermitsRefused   uint64      `json:"starts_refused"` // requests for such a permit that this host refused
	// LimitPerSecond is the number of requests a second that the endpoint announced as its limit; nil:
	// it announced none.
	LimitPerSecond  *float64 `json:"limit_per_s,omitempty"`
	LimitAgeSeconds float64  `json:"limit_since_s,omitempty"` // how long ago it was announced
}

// QuotaStatus is a team's quota in a failure domain, as seen by the host that holds it
// there. Figures are in the quota's unit.
type QuotaStatus struct {
	Team               string   `json:"team"`
	Rate               float64  `json:"rate"`              // limit per second, over all hosts
	Free               float64  `json:"free"`              // what is left; at 0 and below requests are refused
	AdmittedPerSecond  float64  `json:"used"`              // recently admitted per second in this failure domain
	RequestedPerSecond float64  `json:"asked"`             // recently requested per second in this failure domain
	UsedShare          float64  `json:"use"`               // share of the rate that is admitted in all failure domains together
	UnreachableDomains []string `json:"unheard,omitempty"` // failure domains that can't be reached
}

// Status returns what PathStatus serves.
func (n *Node) Status() Status {
	now := time.Now()
	ttft, tpot := n.Recorder.Latencies()
	s := Status{Host: n.settings.Host, Domain: n.settings.Domain, Region: n.settings.Region, Leaving: n.Board.Leaving(),
		UptimeSeconds: now.Sub(time.UnixMilli(int64(n.Board.Incarnation))).Seconds(), Config: n.Board.Config.Status(now), Totals: n.Recorder.Totals(),
		TTFT: ttft, TPOT: tpot, RequestsInProgress: n.Board.Requests.Len(), Pauses: n.Board.Pause.Count(), BrokenInvariants: map[string]uint64{}}
	for name, c := range n.Board.Invariant.Counts() {
		s.BrokenInvariants[string(name)] = c
	}
	s.Paths, s.Intake = n.pathStatus(now), n.Board.Intake.Status(now)
	for _, h := range n.Board.Hosts.List() {
		s.Hosts = append(s.Hosts, HostStatus{h.Name, h.Domain, n.Board.Hosts.Live(h, now), h.Leaving, h.Unconfirmed, now.Sub(h.HeartbeatAt).Seconds()})
	}
	v := n.Board.Config.View()
	if v == nil {
		return s
	}
	s.Regions = n.regions(v, now)
	for _, a := range n.Board.Quotas.List(now) {
		if t := v.TeamByNumber[a.Team]; t != nil {
			s.Quotas = append(s.Quotas, QuotaStatus{t.Name, a.Limit.Rate, a.Level, a.Pace, a.Asked, a.Use, a.Unreachable})
		}
	}
	n.Board.Endpoints.Read(func(fleet *route.Fleet) {
		for st := range fleet.All() {
			s.Endpoints = append(s.Endpoints, n.endpointStatus(fleet.View, st, now))
		}
		s.Versions = versionStatus(fleet)
	})
	s.Evacuations = n.evacuations(now)
	return s
}

func (n *Node) endpointStatus(v *config.View, st *route.State, now time.Time) EndpointStatus {
	es := EndpointStatus{Endpoint: st.Spec.Name, Role: st.Role, Domain: st.Spec.Domain, Software: st.Spec.SoftwareName(), State: stateName(st), QueueMillis: st.Digest.QueueMillis,
		FreeTokens: st.Digest.FreeTokens, FreeSlots: st.Digest.FreeSlots, SlowFactor: st.SlowFactor(), FailedPercent: st.Digest.FailPct, DigestAgeSeconds: -1, ColdSeconds: st.ColdRemaining(now).Seconds()}
	es.PermitsGranted, es.PermitsRefused = n.Owner.Permits.Count(st.Number)
	if limit := st.Limit.Report(); limit.Named {
		es.LimitPerSecond, es.LimitAgeSeconds = &limit.PerSecond, clock.Now().Sub(st.Limit.Since).Seconds()
	}
	if !st.DigestAt.IsZero() {
		es.DigestAgeSeconds = now.Sub(st.DigestAt).Seconds()
	}
	if h, ok := owner.Of(n.Board, v, st.Spec, now); ok {
		es.Owner = h.Name
	}
	return es
}

func stateName(st *route.State) string {
	switch f := st.Digest.Flags; {
	case st.IsLeaving():
		return "leaving"
	case st.Evacuated:
		return "being emptied"
	case f&route.FlagDown != 0:
		return "down"
	case f&route.FlagWrongState != 0:
		return "being ordered"
	case time.Now().Before(st.NoPathUntil):
		return "no path"
	case st.IsBackingOff(time.Now()):
		return "resting"
	case st.IsCold(time.Now()):
		return "cold"
	case st.Limit.Report().Named:
		return "limited"
	case st.DigestAt.IsZero():
		return "unknown"
	}
	return "ok"
}
