package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/embercove/embercove/result"
)

// Delay forecasts when a request that was refused for lack of capacity should be retried. Full
// engines accept new requests when their running ones end, and an earlier retry mostly finds them
// still full. So the delay is the typical time of an answer. It is randomized, so that callers that
// were refused together don't retry together.
type Delay struct {
	mu    sync.Mutex
	pools map[string]time.Duration // average time of an answer
}

// Weights of the forecast.
const (
	answerWeight = 0.1 // of a new answer in the average
	minSpread    = 0.5 // of the typical time of an answer
	maxSpread    = 1.5
)

// NewDelay returns a forecast without observations.
func NewDelay() *Delay { return &Delay{pools: map[string]time.Duration{}} }

// Learn records how long a complete answer took.
func (c *Delay) Learn(pool string, took time.Duration) {
	if took <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	typical, seen := c.pools[pool]
	if !seen {
		typical = took
	}
	c.pools[pool] = typical + time.Duration(answerWeight*float64(took-typical))
}

// After returns the delay before a retry at a pool. It is at least the one that owners reported.
func (c *Delay) After(pool string, reported time.Duration) time.Duration {
	c.mu.Lock()
	typical := c.pools[pool]
	c.mu.Unlock()
	spread := minSpread + (maxSpread-minSpread)*rand.Float64()
	return max(reported, time.Duration(spread*float64(typical)))
}

// LacksCapacity reports whether a request was refused for lack of capacity.
func LacksCapacity(c result.Code) bool { return c == result.TooLate || c == result.NoDecodeMemory }
