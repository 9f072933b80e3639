package route

import (
	"math"
	"slices"
	"sort"

	"github.com/embercove/embercove/config"
)

// Candidate describes one endpoint and its cost for a request.
type Candidate struct {
	Endpoint string      `json:"endpoint"`
	Role     config.Role `json:"role"`
	Domain   string      `json:"failure_domain"`
	Cost     float64     `json:"cost_s"` // -1 if it is excluded
	Reason   string      `json:"why,omitempty"`
	Queue    float64     `json:"queue_s"`
	Uncached int         `json:"uncached_tokens"`
	Free     int32       `json:"free_tokens"`
	Age      float64     `json:"digest_age_s"`     // -1: no digest received
	Cold     float64     `json:"cold_s,omitempty"` // for how much longer it is or may be cold
	// Limit is the request rate per second that the endpoint names as its limit; nil: none.
	Limit  *float64 `json:"limit_per_s,omitempty"`
	Chosen bool     `json:"chosen"`
	// Path says how this host reaches the endpoint: direct, lost (by way of another host) or none.
	Path string `json:"path,omitempty"`
}

// Explain lists every endpoint that the route allows with its cost: prefill before decode, the
// cheapest first, excluded ones last.
func (f *Fleet) Explain(r *Request) []Candidate {
	v, c := f.View, f.Pick(r)
	var out []Candidate
	for _, s := range slices.Concat(r.Group.Prefill.All(), r.Group.Decode.All()) {
		row := Candidate{Endpoint: s.Spec.Name, Role: s.Role, Domain: s.Spec.Domain, Cost: -1, Reason: explainReason(s, r),
			Queue: float64(s.Digest.QueueMillis) / 1000, Free: s.Digest.FreeTokens, Age: -1, Cold: s.ColdRemaining(r.Now).Seconds(),
			Chosen: s.Spec == c.Prefill || s.Spec == c.Decode}
		if !s.DigestAt.IsZero() {
			row.Age = math.Round(r.Now.Sub(s.DigestAt).Seconds()*1000) / 1000
		}
		if w := s.Limit.Report(); w.Named {
			row.Limit = &w.PerSecond
		}
		if row.Reason == "" {
			row.Cost = decodeCost(v, s, r)
			if s.Role == config.Prefill {
				row.Cost = prefillCost(v, s, r)
				row.Uncached = s.Uncached(r.Tokens, r.Head, r.HasHead)
			}
		}
		out = append(out, row)
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Role != b.Role {
			return a.Role == config.Prefill
		}
		if (a.Cost < 0) != (b.Cost < 0) {
			return b.Cost < 0
		}
		return a.Cost < b.Cost
	})
	return out
}

// explainReason returns why a request can't go to an endpoint, or "".
func explainReason(s *State, r *Request) string {
	if b := IneligibleReason(s, r); b != ReasonNone {
		return b.String()
	}
	if !s.Spec.Serves(r.Model) {
		return "does not serve the model"
	}
	return ""
}
