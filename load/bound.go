package load

import (
	"math"
	"sort"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/route"
)

// Capacity is the throughput of a document's pools with a mix: the requests per
// second at which the mean work fully uses each resource, computed from the
// stand-ins' rates alone. It assumes that no prompt is cached: what prefix
// caches save is left to the policy.
type Capacity struct {
	Rate    float64 // the smallest of the three below
	Prefill float64 // prefill of prompts
	Decode  float64 // use of decode memory and slots
	Link    float64 // transfer of KV caches into the decode engines
}

// Size of the sample of arrivals from which the mean work is computed.
const (
	sampleDuration = 200 * time.Second
	sampleRate     = 20
)

// Capacity returns the capacity of the document's pools for the mix. It counts
// fractions of requests in decode memory and ignores the latency targets, so at
// a load of 1.0 a policy has to make up for both with cached prefixes.
func (m Mix) Capacity(d *config.Document) Capacity {
	arrivals := m.Arrivals(1, sampleRate, sampleDuration, 0)
	prefill, decode, transfer := 0.0, 0.0, 0.0
	pre, dec := pools(d)
	for _, a := range arrivals {
		tokens := float64(endpoint.Tokens(len(a.Prompt)))
		prefill += tokens / pre.tokensPerSecond
		decode += dec.poolSeconds(a)
		transfer += tokens * dec.kvBytesPerToken / dec.totalLinkRate
	}
	n := float64(len(arrivals))
	c := Capacity{Prefill: n / prefill, Decode: n / decode, Link: n / transfer}
	c.Rate = min(c.Prefill, c.Decode, c.Link)
	return c
}

// uncachedPromptTokens returns the prompt tokens of an arrival that aren't in seen, the
// blocks of earlier prompts, and adds its blocks there. It is at least 1.
func uncachedPromptTokens(a Arrival, seen map[uint64]bool) int {
	blocks := endpoint.Blocks(a.Prompt)
	tokens := endpoint.Tokens(len(a.Prompt))
	for _, b := range blocks {
		if seen[b] {
			tokens -= endpoint.BlockTokens
		}
		seen[b] = true
	}
	return max(1, tokens)
}

type prefillPool struct{ tokensPerSecond float64 }

// decodePool sums up all decode engines: how many requests they can hold, and
// how long a step with a full batch takes.
type decodePool struct {
	slots           float64
	memory          float64
	stepTime        time.Duration
	linkRate        float64 // bytes per second into one engine
	totalLinkRate   float64 // bytes per second into all engines
	kvBytesPerToken float64
}

func pools(d *config.Document) (prefillPool, decodePool) {
	var pre prefillPool
	var dec decodePool
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		switch e.Role {
		case config.Prefill:
			pre.tokensPerSecond += e.TokensPerSecond
		case config.Decode:
			n := route.BatchLimit(e, d.Targets.TPOT())
			dec.slots += float64(n)
			dec.memory += float64(e.MemoryTokens)
			dec.stepTime = max(dec.stepTime, route.StepTime(e, n))
			dec.linkRate = float64(e.LinkBytesPerSecond)
			dec.totalLinkRate += dec.linkRate
		}
	}
	if len(d.Models) > 0 {
		dec.kvBytesPerToken = float64(d.Models[0].KVBytesPerToken)
	}
	return pre, dec
}

// poolSeconds returns the seconds for which a request would occupy the whole
// decode pool, by its share of the slots or of the memory, whichever is larger.
func (p decodePool) poolSeconds(a Arrival) float64 {
	tokens := endpoint.Tokens(len(a.Prompt))
	duration := float64(tokens)*p.kvBytesPerToken/p.linkRate + float64(fake.AnswerLength(a.Prompt, a.MaxTokens))*p.stepTime.Seconds()
	return duration * math.Max(1/p.slots, float64(tokens+a.MaxTokens)/p.memory)
}

// Bound returns an upper bound on the arrivals that can be answered in time: the
// number that fit, those with the least work first, into the capacity of the
// prefill pool with ideal caches and into that of the links, within the span plus
// one TTFT target. Callers that will leave aren't counted, so a policy that
// answers some of them before they leave can exceed the bound. It ignores decode
// memory, its fragmentation and the order of the arrivals.
func Bound(d *config.Document, arrivals []Arrival, span time.Duration) int {
	pre, dec := pools(d)
	var prefill, transfer []float64
	seen := map[uint64]bool{}
	for _, a := range arrivals {
		if a.LeaveAfter == 0 {
			prefill = append(prefill, float64(uncachedPromptTokens(a, seen))/pre.tokensPerSecond)
			transfer = append(transfer, float64(endpoint.Tokens(len(a.Prompt)))*dec.kvBytesPerToken/dec.totalLinkRate)
		}
	}
	within := (span + d.Targets.TTFT()).Seconds()
	return min(maxWithin(prefill, within), maxWithin(transfer, within))
}

// maxWithin returns how many pieces of work, in seconds, fit into the available
// time. It sorts them.
func maxWithin(work []float64, available float64) int {
	sort.Float64s(work)
	for n, w := range work {
		if available -= w; available < 0 {
			return n
		}
	}
	return len(work)
}
