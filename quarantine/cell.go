package quarantine

import (
	"time"

	"github.com/embercove/embercove/request"
)

// Bounds of what is remembered.
const (
	// suspectKept is how long an end is remembered without another: what comes each hour
	// or less often ends fewer endpoints than break by themselves.
	suspectKept = time.Hour
	// blamedKept is how long a blamed request is remembered after its last end.
	blamedKept = 24 * time.Hour
	// mostCells is how many marks are remembered: some 0.6 MB. An endpoint that ends marks
	// what it had in progress, some tens.
	mostCells = 4096
)

// cellKey names a request in one stage.
type cellKey struct {
	request request.Fingerprint
	stage   Stage
}

// cell is what is known of a request in one stage.
type cell struct {
	mark     Mark
	at       time.Time // when the mark was made
	team     uint32
	process  Process // that ended last
	old      bool    // it had not just begun there
	endpoint string
	host     string // that saw it
}

// put takes a cell over if it tells of more than the one that is there, and reports whether
// it did; the caller holds the lock.
func (r *Registry) put(k cellKey, c *cell, now time.Time) bool {
	old := r.cells[k]
	if old != nil && !old.mark.Below(c.mark) || old == nil && c.expired(now) {
		return false
	}
	if old == nil && len(r.cells) >= mostCells && !r.makeRoom(c) {
		return false
	}
	r.cells[k] = c
	return true
}

// makeRoom forgets a cell for a new one, of the team that has the most: a caller who sends
// many different requests that end endpoints pushes out their own team's marks. Of these the
// one with the fewest ends goes, and of such the oldest. It reports whether there is room.
func (r *Registry) makeRoom(c *cell) bool {
	of := map[uint32]int{c.team: 1}
	for _, other := range r.cells {
		of[other.team]++
	}
	most := c.team
	for team, n := range of {
		if n > of[most] || n == of[most] && team < most {
			most = team
		}
	}
	worst, key := c, cellKey{}
	for k, other := range r.cells {
		if other.team == most && (worst.team != most || other.sooner(worst)) {
			worst, key = other, k
		}
	}
	r.counts.Evicted++
	if worst == c {
		return false
	}
	delete(r.cells, key)
	return true
}

// sooner reports whether a cell is forgotten before another.
func (c *cell) sooner(o *cell) bool {
	if c.mark.Ends != o.mark.Ends || c.mark.Beside != o.mark.Beside {
		return Mark{Ends: c.mark.Ends, Beside: c.mark.Beside}.Below(Mark{Ends: o.mark.Ends, Beside: o.mark.Beside})
	}
	return c.at.Before(o.at)
}

// expired reports whether a cell has been kept for long enough.
func (c *cell) expired(now time.Time) bool {
	kept := suspectKept
	if c.mark.Ends >= mostEnds {
		kept = blamedKept
	}
	return now.Sub(c.at) >= kept
}

func (c *cell) row(k cellKey, now time.Time) Row {
	return Row{Request: k.request, Stage: k.stage, Mark: c.mark, Team: c.team, AgeMillis: max(0, now.Sub(c.at).Milliseconds()),
		Process: c.process, Old: c.old, Endpoint: c.endpoint, Host: c.host}
}

// Sweep forgets what has been kept for long enough.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, c := range r.cells {
		if c.expired(now) {
			delete(r.cells, k)
		}
	}
	r.events.sweep(now)
	r.trials.sweep(now)
}
