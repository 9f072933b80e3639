package node

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/entry"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// Paths of the admin interface.
const (
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
	PathStatus   = "/status"
	PathRequests = "/requests"
	PathBurn     = "/burn"
	PathConfig   = "/config"
	PathExplain  = "/explain"
)

func (n *Node) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET "+PathReady, n.ready)
	mux.Handle("GET "+PathMetrics, n.metrics.handler)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) })
	mux.HandleFunc("GET "+PathRequests, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.requests()) })
	mux.HandleFunc("GET "+PathBurn, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Record.Burn(time.Now())) })
	mux.HandleFunc("GET "+PathConfig, n.config)
	mux.HandleFunc("GET "+PathExplain, n.explain)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// ready is what the balancer asks.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.Board.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case n.Board.Config.View() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		w.Write([]byte("ready\n"))
	}
}

// Status is what one host says of itself and of what it sees.
type Status struct {
	Host      string                  `json:"host"`
	Domain    string                  `json:"failure_domain"`
	Region    string                  `json:"region"`
	Up        float64                 `json:"up_s"`
	Leaving   bool                    `json:"leaving"`
	Config    blackboard.ConfigStatus `json:"config"`
	Hosts     []HostStatus            `json:"hosts"`
	Endpoints []EndpointStatus        `json:"endpoints"`
	Evacuated []EvacuationStatus      `json:"evacuations,omitempty"`
	Quotas    []QuotaStatus           `json:"quotas"`
	Regions   []RegionStatus          `json:"regions,omitempty"` // the other ones
	Sum       report.Sum              `json:"sum"`
	TTFT      report.Quantiles        `json:"ttft"`
	TPOT      report.Quantiles        `json:"tpot"`
	Progress  int                     `json:"requests_in_progress"`
	Pauses    uint64                  `json:"pauses"`
	Broken    map[string]uint64       `json:"invariants_broken"`
}

// HostStatus is one entry host as another sees it.
type HostStatus struct {
	Host    string  `json:"host"`
	Domain  string  `json:"failure_domain"`
	Live    bool    `json:"live"`
	Leaving bool    `json:"leaving"`
	Doubted bool    `json:"doubted"`
	Silent  float64 `json:"silent_s"`
}

// EndpointStatus is one endpoint as a host sees it.
type EndpointStatus struct {
	Endpoint string      `json:"endpoint"`
	Role     config.Role `json:"role"`
	Domain   string      `json:"failure_domain"`
	Owner    string      `json:"owner"` // empty: no live host in its domain
	State    string      `json:"state"`
	Queue    uint32      `json:"queue_ms"`
	Free     int32       `json:"free_tokens"`
	Slots    int32       `json:"free_slots"`
	Slow     float64     `json:"slow"`
	Failing  uint8       `json:"failing_pct"`
	Age      float64     `json:"digest_age_s"` // -1: never heard of
	Cold     float64     `json:"cold_s"`       // for which it is or may be cold still; 0: it is warm
	Starts   uint64      `json:"starts"`       // that this host has given out there while it was cold
}

// QuotaStatus is a team's quota in a failure domain, as the host that holds it there
// sees it. Figures are in the quota's unit.
type QuotaStatus struct {
	Team    string   `json:"team"`
	Rate    float64  `json:"rate"` // a second, over all hosts
	Free    float64  `json:"free"` // 0 and below: requests are refused
	Used    float64  `json:"used"` // let in a second, lately, in this failure domain
	Asked   float64  `json:"asked"`
	Use     float64  `json:"use"` // part of the rate that is let in everywhere
	Unheard []string `json:"unheard,omitempty"`
}

// Status returns what PathStatus shows.
func (n *Node) Status() Status {
	now := time.Now()
	ttft, tpot := n.Record.Times()
	s := Status{Host: n.settings.Host, Domain: n.settings.Domain, Region: n.settings.Region, Leaving: n.Board.Leaving(),
		Up: now.Sub(time.UnixMilli(int64(n.Board.Incarnation))).Seconds(), Config: n.Board.Config.Status(now), Sum: n.Record.Sum(),
		TTFT: ttft, TPOT: tpot, Progress: n.Board.Requests.Len(), Pauses: n.Board.Pause.Count(), Broken: map[string]uint64{}}
	for name, c := range n.Board.Invariant.Counts() {
		s.Broken[string(name)] = c
	}
	for _, h := range n.Board.Hosts.List() {
		s.Hosts = append(s.Hosts, HostStatus{h.Name, h.Domain, n.Board.Hosts.Live(h, now), h.Leaving, h.Doubted, now.Sub(h.Advanced).Seconds()})
	}
	v := n.Board.Config.View()
	if v == nil {
		return s
	}
	s.Regions = n.regions(v, now)
	for _, a := range n.Board.Quotas.List(now) {
		if t := v.TeamByNumber[a.Team]; t != nil {
			s.Quotas = append(s.Quotas, QuotaStatus{t.Name, a.Limit.Rate, a.Level, a.Pace, a.Asked, a.Use, a.Missed})
		}
	}
	n.Board.Endpoints.Read(func(v *config.View, states []route.State) {
		for i := range states {
			s.Endpoints = append(s.Endpoints, n.endpointStatus(v, &states[i], now))
		}
	})
	s.Evacuated = n.evacuations(now)
	return s
}

func (n *Node) endpointStatus(v *config.View, st *route.State, now time.Time) EndpointStatus {
	es := EndpointStatus{Endpoint: st.Spec.Name, Role: st.Role, Domain: st.Spec.Domain, State: stateName(st), Queue: st.Digest.QueueMillis,
		Free: st.Digest.FreeTokens, Slots: st.Digest.FreeSlots, Slow: st.Slow(), Failing: st.Digest.FailPct, Age: -1, Cold: st.ColdFor(now).Seconds(), Starts: n.Owner.Starts.Count(st.Number)}
	if !st.At.IsZero() {
		es.Age = now.Sub(st.At).Seconds()
	}
	if h, ok := owner.Of(n.Board, v, st.Spec, now); ok {
		es.Owner = h.Name
	}
	return es
}

func stateName(st *route.State) string {
	switch f := st.Digest.Flags; {
	case st.Leaving || f&route.FlagLeaving != 0:
		return "leaving"
	case st.Evacuated:
		return "being emptied"
	case f&route.FlagDown != 0:
		return "down"
	case f&route.FlagWrong != 0:
		return "being ordered"
	case st.Cold(time.Now()):
		return "cold"
	case st.At.IsZero():
		return "unknown"
	}
	return "ok"
}

// RequestRow is a request in progress as operators see it.
type RequestRow struct {
	ID      string  `json:"id"`
	Team    string  `json:"team"`
	Model   string  `json:"model"`
	Phase   string  `json:"phase"`
	Age     float64 `json:"age_s"`
	InPhase float64 `json:"in_phase_s"`
	Prefill string  `json:"prefill,omitempty"`
	Decode  string  `json:"decode,omitempty"`
	Attempt uint32  `json:"attempts"`
	Tokens  int     `json:"prompt_tokens"`
}

func (n *Node) requests() []RequestRow {
	now := time.Now()
	out := []RequestRow{}
	for _, r := range n.Board.Requests.List() {
		out = append(out, RequestRow{ID: r.ID.String(), Team: r.Team, Model: r.Model, Phase: string(r.Phase), Age: now.Sub(r.Since).Seconds(),
			InPhase: now.Sub(r.PhaseSince).Seconds(), Prefill: r.Prefill, Decode: r.Decode, Attempt: r.Attempt, Tokens: r.Tokens})
	}
	return out
}

// config shows the document in force, with defaults filled in.
func (n *Node) config(w http.ResponseWriter, _ *http.Request) {
	v := n.Board.Config.View()
	if v == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, struct {
		Revision uint64           `json:"revision"`
		Settings *config.Settings `json:"settings"`
		Document *config.Document `json:"document"`
	}{v.Revision, n.settings, v.Doc})
}

// Explanation says where a request would go, and why.
type Explanation struct {
	Revision   uint64            `json:"revision"`
	Labels     map[string]string `json:"labels"`
	Route      string            `json:"route"`
	Refusal    string            `json:"refusal,omitempty"`
	Prefill    string            `json:"prefill,omitempty"`
	Decode     string            `json:"decode,omitempty"`
	Wait       float64           `json:"wait_s"`
	Read       float64           `json:"read_s"`
	Move       float64           `json:"move_s"`
	Target     float64           `json:"ttft_target_s"`
	Candidates []route.Candidate `json:"candidates"`
	// Regions says of each other region whether the request would leave for it if its own
	// refused it now.
	Regions []entry.RegionChoice `json:"regions,omitempty"`
}

// explain answers for ?team=…&model=…&tokens=…&max_tokens=…&labels=k=v,k=v.
func (n *Node) explain(w http.ResponseWriter, q *http.Request) {
	v := n.Board.Config.View()
	if v == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	f := q.URL.Query()
	labels := map[string]string{"team": f.Get("team"), "model": f.Get("model")}
	if t := v.Teams[f.Get("team")]; t != nil {
		for k, val := range t.Labels {
			labels[k] = val
		}
	}
	for _, p := range strings.Split(f.Get("labels"), ",") {
		if k, val, ok := strings.Cut(p, "="); ok {
			labels[k] = val
		}
	}
	tokens, _ := strconv.Atoi(f.Get("tokens"))
	answer, _ := strconv.Atoi(f.Get("max_tokens"))
	writeJSON(w, n.Explain(v, labels, tokens, answer))
}

// Explain works out where a request with the labels would go now.
func (n *Node) Explain(v *config.View, labels map[string]string, tokens, answer int) Explanation {
	ex := Explanation{Revision: v.Revision, Labels: labels, Target: v.Doc.Targets.TTFT().Seconds()}
	if v.Teams[labels["team"]] == nil {
		ex.Refusal = result.UnknownTeam.String()
		return ex
	}
	if v.Models[labels["model"]] == nil {
		ex.Refusal = result.UnknownModel.String()
		return ex
	}
	r := v.Match(labels, false)
	if r == nil {
		ex.Refusal = result.NoRoute.String()
		return ex
	}
	ex.Route = r.Name
	req := route.Request{Group: &r.Group, Model: labels["model"], Tokens: tokens, MaxAnswer: answer, Home: v.DomainIndex(n.settings.Domain),
		Region: v.RegionSet(n.settings.Region), Homes: v.Homes(r.Route, v.Teams[labels["team"]]), Now: time.Now()}
	hosts := n.Board.Hosts.Regions(req.Now)
	n.Board.Endpoints.Read(func(tv *config.View, states []route.State) {
		if tv != v {
			return // a revision came in between; the next call sees it
		}
		ex.Candidates = route.Explain(v, states, &req)
		ex.Regions = entry.ExplainRegions(n.Board, v, states, req, hosts)
		c := route.Pick(v, states, &req)
		if c.Prefill < 0 {
			ex.Refusal = result.NoEndpoint.String()
			if route.Blame(states, append(slices.Clone(r.Group.Prefill), r.Group.Decode...), &req) == route.BarEvacuated {
				ex.Refusal = result.Evacuated.String()
			}
			return
		}
		ex.Prefill, ex.Decode = v.Doc.Endpoints[c.Prefill].Name, v.Doc.Endpoints[c.Decode].Name
		ex.Wait, ex.Read, ex.Move = c.Wait.Seconds(), c.Read.Seconds(), c.Move.Seconds()
		if ex.Wait+ex.Read+ex.Move > ex.Target {
			ex.Refusal = result.TooLate.String() + " by the last digests; the owner decides"
		}
	})
	return ex
}
