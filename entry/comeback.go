package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/embercove/embercove/result"
)

// comeBack forecasts when a request that was refused for lack of room should be
// sent again. Engines that are full now have taken in new answers as soon as the
// ones that they write are over, and who comes back before that mostly meets the
// same crowd. So the time is that of a usual answer. It is spread, so that those
// who were refused together don't come back together.
type comeBack struct {
	mu    sync.Mutex
	pools map[string]time.Duration // time of a usual answer, an average
}

// Weights of comeBack.
const (
	answerWeight = 0.1 // of an answer in the average
	spreadLeast  = 0.5 // of the time of a usual answer
	spreadMost   = 1.5
)

func newComeBack() *comeBack { return &comeBack{pools: map[string]time.Duration{}} }

// learn takes in an answer that was whole.
func (c *comeBack) learn(pool string, took time.Duration) {
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

// after returns when to come back to a pool whose owners told some time.
func (c *comeBack) after(pool string, told time.Duration) time.Duration {
	c.mu.Lock()
	usual := c.pools[pool]
	c.mu.Unlock()
	spread := spreadLeast + (spreadMost-spreadLeast)*rand.Float64()
	return max(told, time.Duration(spread*float64(usual)))
}

// lacksRoom reports whether a refusal is one for lack of room.
func lacksRoom(c result.Code) bool { return c == result.TooLate || c == result.NoDecodeMemory }
