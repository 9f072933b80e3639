package node

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/entry"
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
	PathSuspects = "/suspects"
)

func (n *Node) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET "+PathReady, n.ready)
	mux.Handle("GET "+PathMetrics, n.metrics.handler)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) })
	mux.HandleFunc("GET "+PathRequests, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.requests()) })
	mux.HandleFunc("GET "+PathBurn, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Recorder.Burn(time.Now())) })
	mux.HandleFunc("GET "+PathConfig, n.config)
	mux.HandleFunc("GET "+PathExplain, n.explain)
	mux.HandleFunc("GET "+PathSuspects, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.suspects()) })
	mux.HandleFunc("POST "+PathSuspects, n.clearSuspect)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// ready answers the load balancer's readiness probe.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.Board.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case n.Board.Config.View() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case n.isOutdatedByLoad():
		http.Error(w, "callers hold up what this host hears of the platform", http.StatusServiceUnavailable)
	default:
		w.Write([]byte("ready\n"))
	}
}

// isOutdatedByLoad reports whether callers are or were just held off, and the configuration may still be out of
// date. A host that is cut off isn't held up by callers, and goes on serving what it can.
func (n *Node) isOutdatedByLoad() bool {
	return n.Board.Intake.IsBounded() && n.Board.Config.Outdated(time.Now(), config.FractionMillis(n.settings.ChangeMillis))
}

// RequestRow describes a request in progress.
type RequestRow struct {
	ID           string  `json:"id"`
	Team         string  `json:"team"`
	Model        string  `json:"model"`
	Phase        string  `json:"phase"`
	AgeSeconds   float64 `json:"age_s"`
	PhaseSeconds float64 `json:"in_phase_s"`
	Prefill      string  `json:"prefill,omitempty"`
	Decode       string  `json:"decode,omitempty"`
	Attempts     uint32  `json:"attempts"`
	PromptTokens int     `json:"prompt_tokens"`
}

func (n *Node) requests() []RequestRow {
	now := time.Now()
	out := []RequestRow{}
	for _, r := range n.Board.Requests.List() {
		out = append(out, RequestRow{ID: r.ID.String(), Team: r.Team, Model: r.Model, Phase: string(r.Phase), AgeSeconds: now.Sub(r.Since).Seconds(),
			PhaseSeconds: now.Sub(r.PhaseSince).Seconds(), Prefill: r.Prefill, Decode: r.Decode, Attempts: r.Attempt, PromptTokens: r.Tokens})
	}
	return out
}

// config writes the document in force, with defaults filled in.
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
	Revision          uint64            `json:"revision"`
	Labels            map[string]string `json:"labels"`
	Route             string            `json:"route"`
	Refusal           string            `json:"refusal,omitempty"`
	Prefill           string            `json:"prefill,omitempty"`
	Decode            string            `json:"decode,omitempty"`
	QueueSeconds      float64           `json:"wait_s"`
	PrefillSeconds    float64           `json:"read_s"`
	TransferSeconds   float64           `json:"move_s"`
	TTFTTargetSeconds float64           `json:"ttft_target_s"`
	Candidates        []route.Candidate `json:"candidates"`
	// Regions says of each other region whether the request would be redirected to it if its
	// own region refused it now.
	Regions []entry.RegionChoice `json:"regions,omitempty"`
	// Parts says what crashes of endpoints speak against the parts of the prompt that were asked for.
	Parts []SuspectRow `json:"parts,omitempty"`
}

// explain answers for ?team=…&model=…&tokens=…&max_tokens=…&labels=k=v,k=v&parts=a,b.
func (n *Node) explain(w http.ResponseWriter, r *http.Request) {
	v := n.Board.Config.View()
	if v == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	labels := map[string]string{"team": query.Get("team"), "model": query.Get("model")}
	if t := v.Teams[query.Get("team")]; t != nil {
		for k, val := range t.Labels {
			labels[k] = val
		}
	}
	for _, p := range strings.Split(query.Get("labels"), ",") {
		if k, val, ok := strings.Cut(p, "="); ok {
			labels[k] = val
		}
	}
	tokens, _ := strconv.Atoi(query.Get("tokens"))
	maxTokens, _ := strconv.Atoi(query.Get("max_tokens"))
	ex := n.Explain(v, labels, tokens, maxTokens)
	ex.Parts = n.suspectParts(strings.Split(query.Get("parts"), ","))
	writeJSON(w, ex)
}

// Explain computes where a request with the labels would be routed now.
func (n *Node) Explain(v *config.View, labels map[string]string, tokens, maxTokens int) Explanation {
	ex := Explanation{Revision: v.Revision, Labels: labels, TTFTTargetSeconds: v.Doc.Targets.TTFT().Seconds()}
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
	req := route.Request{Model: labels["model"], Tokens: tokens, MaxAnswer: maxTokens, EntryDomain: v.DomainIndex(n.settings.Domain),
		Region: v.RegionSet(n.settings.Region), AllowedRegions: v.AllowedRegions(r.Route, v.Teams[labels["team"]]), Now: time.Now()}
	hosts := n.Board.Hosts.Regions(req.Now)
	n.Board.Endpoints.Read(func(fleet *route.Fleet) {
		if fleet.View != v {
			return // a new revision took effect since v was read; the next call uses it
		}
		req.Group = fleet.Group(r, "")
		ex.Candidates = fleet.Explain(&req)
		n.explainPaths(fleet, ex.Candidates, req.Now)
		ex.Regions = entry.ExplainRegions(n.Board, v, req, hosts)
		c := fleet.Pick(&req)
		if c.Prefill == nil {
			ex.Refusal = result.NoEndpoint.String()
			if route.MainReason(slices.Concat(req.Group.Prefill.All(), req.Group.Decode.All()), &req) == route.ReasonEvacuated {
				ex.Refusal = result.Evacuated.String()
			}
			return
		}
		ex.Prefill, ex.Decode = c.Prefill.Name, c.Decode.Name
		ex.QueueSeconds, ex.PrefillSeconds, ex.TransferSeconds = c.QueueDuration.Seconds(), c.PrefillDuration.Seconds(), c.TransferDuration.Seconds()
		if ex.QueueSeconds+ex.PrefillSeconds+ex.TransferSeconds > ex.TTFTTargetSeconds {
			ex.Refusal = result.TooLate.String() + " according to the latest digests; the owner decides"
		}
	})
	return ex
}
