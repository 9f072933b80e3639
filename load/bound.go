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
// from the stand-ins' rates alone.
type Capacity struct {
	Rate    float64 // requests a second at which the busier pool is fully used
	Prefill float64 // requests a second that the prefill pool can read
	Decode  float64 // requests a second that the decode pool can write
}

// sampleSpan and sampleRate give the sample that mean work is taken from.
const (
	sampleSpan = 200 * time.Second
	sampleRate = 20
)

// Capacity works out the mean work of the mix, with each common document read
// once for each engine that it is sent to left out: a prefix that is cached
// everywhere costs nothing. So the figure is what ideal caches would allow,
// and 1.0 of it is a hard load.
func (m Mix) Capacity(d *config.Document) Capacity {
	arrivals := m.Arrivals(1, sampleRate, sampleSpan, 0)
	read, write := 0.0, 0.0
	pre, dec := pools(d)
	seen := map[uint64]bool{}
	for _, a := range arrivals {
		read += float64(uncached(a, seen)) / pre.rate
		write += dec.slotSeconds(a)
	}
	n := float64(len(arrivals))
	c := Capacity{Prefill: n / read, Decode: n / write}
	c.Rate = math.Min(c.Prefill, c.Decode)
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
	link   float64
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

// Bound returns the most arrivals that the prefill pool could read in time,
// were it one engine of the pool's whole rate with ideal caches, free to take
// the shortest work first over the whole span. No policy can answer more.
func Bound(d *config.Document, arrivals []Arrival, span time.Duration) int {
	pre, _ := pools(d)
	var work []float64
	seen := map[uint64]bool{}
	for _, a := range arrivals {
		if a.Leaves == 0 {
			work = append(work, float64(uncached(a, seen))/pre.rate)
		}
	}
	sort.Float64s(work)
	left := (span + d.Targets.TTFT()).Seconds()
	n := 0
	for _, w := range work {
		if left -= w; left < 0 {
			break
		}
		n++
	}
	return n
}
