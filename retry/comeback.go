package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/embercove/embercove/result"
)

// ComeBack forecasts when a request that was refused for lack of room should be
// sent again. Engines that are full now have taken in new answers as soon as the
// ones that they write are over, and who comes back before that mostly meets the
// same crowd. So the time is that of a usual answer. It is spread, so that those
// who were refused together don't come back together.
type ComeBack struct {
	mu    sync.Mutex
	pools map[string]time.Duration // time of a usual answer, an average
}

// Weights of ComeBack.
const (
	answerWeight = 0.1 // of an answer in the average
	spreadLeast  = 0.5 // of the time of a usual answer
	spreadMost   = 1.5
)

// NewComeBack returns a forecast that has seen nothing.
func NewComeBack() *ComeBack { return &ComeBack{pools: map[string]time.Duration{}} }

// Learn takes in an answer that was whole.
func (c *ComeBack) Learn(pool string, took time.Duration) {
	if took <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	usual, seen := c.pools[pool]
	if !seen {
		usual = took
	}
	c.pools[pool] = usual + time.Duration(answerWeight*float64(took-usual))
}

// After returns when to come back to a pool whose owners told some time.
func (c *ComeBack) After(pool string, told time.Duration) time.Duration {
	c.mu.Lock()
	usual := c.pools[pool]
	c.mu.Unlock()
	spread := spreadLeast + (spreadMost-spreadLeast)*rand.Float64()
	return max(told, time.Duration(spread*float64(usual)))
}

// LacksRoom reports whether a refusal is one for lack of room.
func LacksRoom(c result.Code) bool { return c == result.TooLate || c == result.NoDecodeMemory }
