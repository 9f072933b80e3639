// Package load sends open-loop load to entry hosts and judges the answers.
//
// Arrivals come from a seed, so that every policy meets the same ones. The
// judge is the caller's clock and the stand-ins' own truth; the router's word
// is only compared with them.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a class of requests in a mix.
type Kind struct {
	Name      string
	Share     float64
	Team      []string
	Least     int // prompt tokens
	Most      int
	MaxTokens int
	Shared    float64 // share of prompts that begin with a common document
}

// Mix is the workload of a deployment.
type Mix struct {
	Name  string
	Model string
	Words []string
	Kinds []Kind
	Docs  int // common documents
}

// Mixes are the workloads of the two record keepers: very long prompts with
// short answers, and short prompts with longer answers.
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

// Arrival is one request to come.
type Arrival struct {
	At        time.Duration
	Kind      string
	Team      string
	Prompt    string
	MaxTokens int
	Leaves    time.Duration // the caller leaves then; 0: it stays
	Once      bool          // the request may not be repeated
	Key       string        // idempotency key; may be empty
	KeyAge    time.Duration // how long ago the key was first sent
	Host      int           // which entry host the balancer picks, modulo their number
}

// tokenBytes is how many bytes of a prompt count as a token.
const tokenBytes = 4

// Arrivals returns the arrivals of a span at a rate, in order. leaving is the
// share of callers that leave during prefill.
func (m Mix) Arrivals(seed uint64, rate float64, span time.Duration, leaving float64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 0x5eed))
	docs := make([]string, m.Docs)
	for i := range docs {
		docs[i] = document(r, m.Words, m.most()*tokenBytes)
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

func (m Mix) most() int {
	n := 0
	for _, k := range m.Kinds {
		n = max(n, k.Most)
	}
	return n
}

func (m Mix) arrival(r *rand.Rand, docs []string, at time.Duration, n int, leaving float64) Arrival {
	k := m.kind(r.Float64())
	tokens := k.Least + r.IntN(k.Most-k.Least+1)
	shared := r.Float64() < k.Shared
	// The rank of a common document falls off as in a power law.
	doc := docs[int(float64(len(docs))*r.Float64()*r.Float64()*r.Float64())]
	question := fmt.Sprintf(" Spurning %d-%d: ", n, r.Uint32())
	body := cut(doc, tokens*tokenBytes-len(question))
	prompt := body + question
	if !shared {
		prompt = question + body
	}
	a := Arrival{At: at, Kind: k.Name, Team: k.Team[r.IntN(len(k.Team))], Prompt: prompt, MaxTokens: k.MaxTokens, Host: r.IntN(1 << 20)}
	leaveAfter := time.Duration((0.02 + 0.5*r.Float64()) * float64(time.Second))
	if r.Float64() < leaving {
		a.Leaves = leaveAfter
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
