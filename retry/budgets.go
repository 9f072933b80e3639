// Package retry decides whether a request that failed or was refused may be retried, and when its
// caller should try again.
//
// Its types are safe for concurrent use, keep their state in memory and do no I/O.
package retry

import (
	"sync"
	"time"

	"github.com/embercove/embercove/config"
)

// Sizes of the retry budget of a team or endpoint, in retries.
const (
	initialRetries = 2.0
	maxRetries     = 10.0
	maxEntries     = 4096 // teams and endpoints that are tracked; the budget of any other stays at initialRetries
)

// Budgets bounds retries. Each team and each endpoint may spend a share of its recent successes, so
// that failing endpoints don't cause a retry storm. If the settings define a window, each pool also
// has a number of retries per window, which all hosts share.
type Budgets struct {
	hosts func() int // number of hosts that share the window's Extra

	mu        sync.Mutex
	window    config.RetryBudget
	remaining map[string]float64
	pools     map[string]*poolWindow
}

// NewBudgets returns budgets with a window. hosts returns how many hosts share the window.
func NewBudgets(window config.RetryBudget, hosts func() int) *Budgets {
	return &Budgets{window: window, remaining: map[string]float64{}, pools: map[string]*poolWindow{}, hosts: hosts}
}

// Windowed reports whether retries are counted in a window.
func (b *Budgets) Windowed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Seconds > 0
}

// SetWindow changes the window. A different window drops all counts.
func (b *Budgets) SetWindow(w config.RetryBudget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window != w {
		b.window, b.pools = w, map[string]*poolWindow{}
	}
}

func (b *Budgets) get(name string) float64 {
	n, ok := b.remaining[name]
	if !ok {
		return initialRetries
	}
	return n
}

func (b *Budgets) put(name string, n float64) {
	if _, ok := b.remaining[name]; ok || len(b.remaining) < maxEntries {
		b.remaining[name] = n
	}
}

// Take spends one retry of both the team and the failed endpoint, if both have one left.
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

// Has reports whether Take would succeed.
func (b *Budgets) Has(team, endpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get("t/"+team) >= 1 && b.get("e/"+endpoint) >= 1
}

// Earn adds a fraction of a retry to the budgets of both after a success.
func (b *Budgets) Earn(team, endpoint string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range []string{"t/" + team, "e/" + endpoint} {
		b.put(name, min(maxRetries, b.get(name)+share))
	}
}

// poolWindow counts a pool's requests and retries in the slices of a sliding window.
type poolWindow struct {
	slice    int64 // number of the newest slice
	requests [windowSlices]int
	retries  [windowSlices]int
}

// windowSlices is the number of slices of a window.
const windowSlices = 20

// safetyFactor is the part of a window's budget that is used. Hosts count separately, and their
// windows aren't aligned.
const safetyFactor = 0.75

func (u *poolWindow) advance(slice int64) {
	for ; u.slice < slice; u.slice++ {
		if slice-u.slice > windowSlices {
			u.slice = slice - windowSlices
		}
		index := (u.slice + 1) % windowSlices
		u.requests[index], u.retries[index] = 0, 0
	}
}

func sum(counts [windowSlices]int) float64 {
	n := 0
	for _, c := range counts {
		n += c
	}
	return float64(n)
}

func (b *Budgets) poolAt(name string, now time.Time) *poolWindow {
	u := b.pools[name]
	slice := now.UnixNano() / int64(b.window.Window()/windowSlices)
	if u == nil {
		u = &poolWindow{slice: slice}
		b.pools[name] = u
	}
	u.advance(slice)
	return u
}

// CountRequest counts a request for a pool.
func (b *Budgets) CountRequest(pool string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window.Seconds == 0 {
		return
	}
	u := b.poolAt(pool, now)
	u.requests[u.slice%windowSlices]++
}

// SpendInWindow spends n retries of a pool, if the window has that many left.
func (b *Budgets) SpendInWindow(pool string, now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.window.Seconds == 0 || n == 0 {
		return true
	}
	u := b.poolAt(pool, now)
	if !b.covers(u, n) {
		return false
	}
	u.retries[u.slice%windowSlices] += n
	return true
}

// HasInWindow reports whether SpendInWindow would succeed.
func (b *Budgets) HasInWindow(pool string, now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Seconds == 0 || n == 0 || b.covers(b.poolAt(pool, now), n)
}

// covers reports whether a pool's window has n retries left. The caller holds the lock.
func (b *Budgets) covers(u *poolWindow, n int) bool {
	limit := b.window.Share*sum(u.requests) + b.window.Extra/float64(max(1, b.hosts()))
	return sum(u.retries)+float64(n) <= safetyFactor*limit
}
