// Package load sends open-loop load to entry hosts and checks the answers.
//
// Arrivals are generated from a seed, so that every policy gets the same ones.
// Results are measured by the caller's clock and the stand-ins' records; what
// the router reports is only compared with them.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a class of requests in a mix.
type Kind struct {
	Name            string
	Share           float64
	Teams           []string
	MinPromptTokens int     // prompt tokens, at least
	MaxPromptTokens int     // prompt tokens, at most
	MaxTokens       int     // of the answer
	Shared          float64 // share of prompts that start with a shared document
}

// Mix is the workload of a deployment.
type Mix struct {
	Name  string
	Model string
	Words []string
	Kinds []Kind
	Docs  int // number of shared documents
}

// Mixes are the workloads of the two example deployments. Both mix very long
// prompts with short answers and short prompts with longer answers.
var Mixes = map[string]Mix{
	"domaskra": {Name: "domaskra", Model: "docket-reader", Words: icelandic, Docs: 40, Kinds: []Kind{
		{"docket check", 0.55, []string{"lawyers", "press", "public"}, 3000, 18000, 4, 0.4},
		{"plain summary", 0.45, []string{"public", "lawyers"}, 60, 500, 400, 0},
	}},
	"paranacor": {Name: "paranacor", Model: "climate-reader", Words: spanish, Docs: 60, Kinds: []Kind{
		{"archive class", 0.50, []string{"insurers", "researchers"}, 5000, 22000, 8, 0.5},
		{"basin question", 0.50, []string{"water-boards", "researchers"}, 60, 500, 320, 0},
	}},
}

// Arrival is one request of the load.
type Arrival struct {
	At            time.Duration // since the start of the load
	Kind          string
	Team          string
	Prompt        string
	MaxTokens     int
	LeaveAfter    time.Duration // the caller disconnects this long after sending; 0: never
	NotRepeatable bool          // the request may not be repeated
	Key           string        // idempotency key; may be empty
	KeyAge        time.Duration // time since the key was first sent
	Host          int           // entry host the load balancer picks, modulo the number of hosts
}

// tokenBytes is the number of bytes per token of a prompt.
const tokenBytes = 4

// Arrivals returns the arrivals of a span, in order, at a rate in requests per
// second. leaving is the share of callers that disconnect during prefill.
func (m Mix) Arrivals(seed uint64, rate float64, span time.Duration, leaving float64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 0x5eed))
	docs := make([]string, m.Docs)
	for i := range docs {
		docs[i] = generateText(r, m.Words, m.maxPromptTokens()*tokenBytes)
	}
	var out []Arrival
	for t := 0.0; ; {
		t += r.ExpFloat64() / rate
		at := time.Duration(t * float64(time.Second))
		if at >= span {
			return out
		}
		out = append(out, m.arrival(r, docs, at, len(out), leaving))
	}
}

func (m Mix) maxPromptTokens() int {
	n := 0
	for _, k := range m.Kinds {
		n = max(n, k.MaxPromptTokens)
	}
	return n
}

func (m Mix) arrival(r *rand.Rand, docs []string, at time.Duration, n int, leaving float64) Arrival {
	k := m.kind(r.Float64())
	tokens := k.MinPromptTokens + r.IntN(k.MaxPromptTokens-k.MinPromptTokens+1)
	shared := r.Float64() < k.Shared
	// The popularity of the shared documents follows a power law.
	doc := docs[int(float64(len(docs))*r.Float64()*r.Float64()*r.Float64())]
	question := fmt.Sprintf(" Spurning %d-%d: ", n, r.Uint32())
	body := truncate(doc, tokens*tokenBytes-len(question))
	prompt := body + question
	if !shared {
		prompt = question + body
	}
	a := Arrival{At: at, Kind: k.Name, Team: k.Teams[r.IntN(len(k.Teams))], Prompt: prompt, MaxTokens: k.MaxTokens, Host: r.IntN(1 << 20)}
	leaveAfter := time.Duration((0.02 + 0.5*r.Float64()) * float64(time.Second))
	if r.Float64() < leaving {
		a.LeaveAfter = leaveAfter
	}
	return a
}

func (m Mix) kind(x float64) Kind {
	for _, k := range m.Kinds {
		if x < k.Share {
			return k
		}
		x -= k.Share
	}
	return m.Kinds[len(m.Kinds)-1]
}
