// Package retry decides what a request that failed or was refused may cost further: how
// many more calls are made for it, and when its caller should come back.
//
// Its types are safe for concurrent use, keep what they learn in memory, and ask nobody.
package retry

import (
	"sync"
	"time"

	"github.com/embercove/embercove/config"
)

// Sizes of a retry budget that earns, in retries.
const (
	budgetStart = 2.0
	budgetMost  = 10.0
	maxBudgets  = 4096
)

// Budgets bound retries. Each team and each endpoint has a share of its recent
// successes to spend, so that failing endpoints are not met with a storm of
// further tries. Where the settings name a window, each pool of endpoints has
// besides a number of further calls in it, which all hosts share.
type Budgets struct {
	hosts func() int // that share a window's extra

	mu     sync.Mutex
	window config.RetryBudget
	left   map[string]float64
	pools  map[string]*poolUse
}

// NewBudgets returns budgets with a window, which the hosts share whose number hosts
// returns.
func NewBudgets(window config.RetryBudget, hosts func() int) *Budgets {
	return &Budgets{window: window, left: map[string]float64{}, pools: map[string]*poolUse{}, hosts: hosts}
}

// Windowed reports whether further calls are counted in a window.
func (b *Budgets) Windowed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Seconds > 0
}

// Set has another window hold from now on.
func (b *Budgets) Set(w config.RetryBudget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window != w {
		b.window, b.pools = w, map[string]*poolUse{}
	}
}

func (b *Budgets) get(name string) float64 {
	n, ok := b.left[name]
	if !ok {
		return budgetStart
	}
	return n
}

func (b *Budgets) put(name string, n float64) {
	if _, ok := b.left[name]; ok || len(b.left) < maxBudgets {
		b.left[name] = n
	}
}

// Take spends one retry of the team and of the endpoint that failed, if both
// have one left.
func (b *Budgets) Take(team, endpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, e := b.get("t/"+team), b.get("e/"+endpoint)
	if t < 1 || e < 1 {
		return false
	}
	b.put("t/"+team, t-1)
	b.put("e/"+endpoint, e-1)
	return true
}

// Earn adds a share of a retry to both after a success.
func (b *Budgets) Earn(team, endpoint string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range []string{"t/" + team, "e/" + endpoint} {
		b.put(name, min(budgetMost, b.get(name)+share))
	}
}

// poolUse counts a pool's requests and further calls in slices of a window.
type poolUse struct {
	slice    int64 // number of the newest slice
	requests [windowSlices]int
	further  [windowSlices]int
}

// windowSlices is how finely a window slides.
const windowSlices = 20

// cautious is the part of a window's budget that is spent: hosts count apart,
// and their windows end at other moments.
const cautious = 0.75

func (u *poolUse) advance(slice int64) {
	for ; u.slice < slice; u.slice++ {
		if slice-u.slice > windowSlices {
			u.slice = slice - windowSlices
		}
		at := (u.slice + 1) % windowSlices
		u.requests[at], u.further[at] = 0, 0
	}
}

func sum(counts [windowSlices]int) float64 {
	n := 0
	for _, c := range counts {
		n += c
	}
	return float64(n)
}

func (b *Budgets) pool(name string, now time.Time) *poolUse {
	u := b.pools[name]
	slice := now.UnixNano() / int64(b.window.Window()/windowSlices)
	if u == nil {
		u = &poolUse{slice: slice}
		b.pools[name] = u
	}
	u.advance(slice)
	return u
}

// Count notes a request for a pool.
func (b *Budgets) Count(pool string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window.Seconds == 0 {
		return
	}
	u := b.pool(pool, now)
	u.requests[u.slice%windowSlices]++
}

// Further spends n further calls to a pool, if the window has so many left.
func (b *Budgets) Further(pool string, now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window.Seconds == 0 || n == 0 {
		return true
	}
	u := b.pool(pool, now)
	most := b.window.Share*sum(u.requests) + b.window.Extra/float64(max(1, b.hosts()))
	if sum(u.further)+float64(n) > cautious*most {
		return false
	}
	u.further[u.slice%windowSlices] += n
	return true
}
