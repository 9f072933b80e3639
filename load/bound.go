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

// Capacity is what the pools of a document can do with a mix, worked out
// from the stand-ins' rates alone: requests a second at which each resource
// is fully used by mean work. Prompts count whole: a cache is a gain that a
// policy has to earn.
type Capacity struct {
	Rate    float64 // of the resource that is used up first
	Prefill float64 // reading prompts
	Decode  float64 // holding decode memory and slots
	Link    float64 // moving KV cache into the decode engines
}

// sampleSpan and sampleRate give the sample that mean work is taken from.
const (
	sampleSpan = 200 * time.Second
	sampleRate = 20
)

// Capacity returns what the document's pools can do with the mix. Fractions
// of requests pack into memory here and no target is looked at, so at 1.0 a
// policy has to make up for both by cached prefixes.
func (m Mix) Capacity(d *config.Document) Capacity {
	arrivals := m.Arrivals(1, sampleRate, sampleSpan, 0)
	read, hold, move := 0.0, 0.0, 0.0
	pre, dec := pools(d)
	for _, a := range arrivals {
		tokens := float64(endpoint.Tokens(len(a.Prompt)))
		read += tokens / pre.rate
		hold += dec.slotSeconds(a)
		move += tokens * dec.kv / dec.links
	}
	n := float64(len(arrivals))
	c := Capacity{Prefill: n / read, Decode: n / hold, Link: n / move}
	c.Rate = min(c.Prefill, c.Decode, c.Link)
	return c
}

// uncached returns the tokens of an arrival that no earlier one brought in.
func uncached(a Arrival, seen map[uint64]bool) int {
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

type prefillPool struct{ rate float64 }

// decodePool is the decode engines taken together: how many requests they
// hold, and how long a step of a full batch takes.
type decodePool struct {
	slots  float64
	memory float64
	step   time.Duration
	link   float64 // bytes a second into one engine
	links  float64 // into all
	kv     float64
}

func pools(d *config.Document) (prefillPool, decodePool) {
	var p prefillPool
	var c decodePool
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		switch e.Role {
		case config.Prefill:
			p.rate += e.TokensPerSecond
		case config.Decode:
			n := route.BatchLimit(e, d.Targets.TPOT())
			c.slots += float64(n)
			c.memory += float64(e.MemoryTokens)
			c.step = max(c.step, route.StepTime(e, n))
			c.link = float64(e.LinkBytesPerSecond)
			c.links += c.link
		}
	}
	if len(d.Models) > 0 {
		c.kv = float64(d.Models[0].KVBytesPerToken)
	}
	return p, c
}

// slotSeconds returns how much of the whole decode pool a request uses, in
// seconds: by slots or by memory, whichever is more.
func (c decodePool) slotSeconds(a Arrival) float64 {
	tokens := endpoint.Tokens(len(a.Prompt))
	stay := float64(tokens)*c.kv/c.link + float64(fake.AnswerLength(a.Prompt, a.MaxTokens))*c.step.Seconds()
	return stay * math.Max(1/c.slots, float64(tokens+a.MaxTokens)/c.memory)
}

// Bound returns the most arrivals that could be answered in time: as many as
// fit, the least work first, into what the prefill pool can read with ideal
// caches and into what the links can move, within the span and one target.
// Callers that will leave are left out, so a policy that answers some of them
// first can pass it. It ignores decode memory, packing and order.
func Bound(d *config.Document, arrivals []Arrival, span time.Duration) int {
	pre, dec := pools(d)
	var read, move []float64
	seen := map[uint64]bool{}
	for _, a := range arrivals {
		if a.Leaves == 0 {
			read = append(read, float64(uncached(a, seen))/pre.rate)
			move = append(move, float64(endpoint.Tokens(len(a.Prompt)))*dec.kv/dec.links)
		}
	}
	within := (span + d.Targets.TTFT()).Seconds()
	return min(mostWithin(read, within), mostWithin(move, within))
}

// mostWithin returns how many of the works fit into a time.
func mostWithin(work []float64, left float64) int {
	sort.Float64s(work)
	for n, w := range work {
		if left -= w; left < 0 {
			return n
		}
	}
	return len(work)
}
