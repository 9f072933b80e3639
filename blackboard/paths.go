package blackboard

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// PathState is how this host reaches an endpoint.
type PathState int

// The states of a path.
const (
	PathDirect PathState = iota // over this host's own link, as far as is known
	PathLost                    // only by way of another host
	PathNone                    // neither over its own link nor by way of another host
)

// String implements fmt.Stringer.
func (s PathState) String() string { return [...]string{"direct", "lost", "none"}[s] }

const (
	// A path that isn't direct is probed often at first: an endpoint that is silent for a second is
	// wanted again soon.
	probeInterval     = 250 * time.Millisecond
	slowProbeAfter    = 2 * time.Second
	slowProbeInterval = time.Second
	// noPathFor is how long an endpoint counts as out of reach after a failure to reach it.
	noPathFor = 3 * time.Second
	// lostPathFor is how long a path counts as lost after a failure to connect directly, and after its last use.
	// Until then it is probed.
	lostPathFor = 10 * time.Second
	// pathKeptFor is how long the row of an unused path is kept.
	pathKeptFor = time.Minute
)

// PathTable records how this host reaches endpoints, by address.
//
// Its methods are safe for concurrent use.
type PathTable struct {
	mu        sync.Mutex
	paths     map[string]*pathRow
	counts    [PathNone + 1]int // of rows, by state
	sweptAt   time.Time
	reachedAt time.Time // when an endpoint last accepted a connection, over any path
}

// Path is how this host reaches one endpoint.
type Path struct {
	Address     string
	State       PathState
	Since       time.Time     // of the state; zero: always
	ConnectTime time.Duration // usual time until a direct connection is accepted; 0: unknown
	// Confirmed tells of PathNone that a host that reaches other endpoints doesn't reach this one.
	Confirmed bool
}

type pathRow struct {
	Path
	failedAt    time.Time // when it last showed to be no better
	confirmedAt time.Time // when another host last confirmed that the endpoint is out of reach
	probeAt     time.Time // when the next probe is due
	usedAt      time.Time // when a connection was last wanted
}

func newPathTable() *PathTable { return &PathTable{paths: map[string]*pathRow{}} }

// Use returns the path over which a connection is wanted now.
func (t *PathTable) Use(address string, now time.Time) Path {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	if p == nil {
		return Path{Address: address}
	}
	t.expire(p, now)
	p.usedAt = now
	return p.Path
}

// State returns the state of a path.
func (t *PathTable) State(address string, now time.Time) PathState {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	if p == nil {
		return PathDirect
	}
	t.expire(p, now)
	return p.State
}

// expire makes a path direct if nothing has shown lately that it isn't. The caller holds the lock.
func (t *PathTable) expire(p *pathRow, now time.Time) {
	kept := lostPathFor
	if p.State == PathNone {
		kept = noPathFor
	}
	if now.Sub(p.failedAt) > kept || p.isUnused(now) {
		t.change(p, PathDirect, now)
	}
}

// isUnused reports whether a path is lost and no connection has been wanted for long.
func (p *pathRow) isUnused(now time.Time) bool {
	return p.State == PathLost && now.Sub(p.usedAt) > lostPathFor
}

// connectTimeWeight divides the weight of the latest connection in the usual time.
const connectTimeWeight = 4

// RecordDirect records that an endpoint accepted a direct connection after some time. It reports
// whether the path wasn't direct before.
func (t *PathTable) RecordDirect(address string, now time.Time, took time.Duration) (restored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reachedAt = now
	p := t.row(address, now)
	restored = t.change(p, PathDirect, now)
	if p.ConnectTime == 0 {
		p.ConnectTime = took
	}
	p.ConnectTime += (took - p.ConnectTime) / connectTimeWeight
	return restored
}

// RecordTunnel records that an endpoint was reached by way of another host. It reports whether there was
// no path before.
func (t *PathTable) RecordTunnel(address string, now time.Time) (found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reachedAt = now
	p := t.row(address, now)
	return p.State == PathNone && t.change(p, PathLost, now)
}

// RecordFailure records that a path is no better than a state, and whether another host confirmed
// that. It reports whether the state changed, and until when it holds.
func (t *PathTable) RecordFailure(address string, now time.Time, s PathState, confirmed bool) (changed bool, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.row(address, now)
	changed = t.change(p, s, now)
	p.failedAt, p.Confirmed = now, confirmed
	p.probeAt = now.Add(probeInterval)
	if now.Sub(p.Since) >= slowProbeAfter {
		p.probeAt = now.Add(slowProbeInterval)
	}
	return changed, now.Add(noPathFor)
}

// RecordStart records that a process has started at an address. That nobody reached an earlier one there
// says nothing of it.
func (t *PathTable) RecordStart(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[address]; p != nil && p.State == PathNone {
		t.change(p, PathDirect, now)
	}
}

// RecordConfirmed records that a host that reaches other endpoints doesn't reach this one, or that
// there is no host to ask.
func (t *PathTable) RecordConfirmed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(address, now).confirmedAt = now
}

// SilenceConclusive reports whether the silence of an endpoint since a time says something of the
// endpoint and not of this host: another endpoint was reached meanwhile, or another host confirmed
// the silence.
func (t *PathTable) SilenceConclusive(address string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	return !t.reachedAt.Before(since) || p != nil && !p.confirmedAt.Before(since)
}

// DueProbes returns up to max paths that have to be probed now, and when the next ones have to be; the
// zero time: none.
func (t *PathTable) DueProbes(now time.Time, max int) (due []Path, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts[PathLost]+t.counts[PathNone] == 0 {
		return nil, time.Time{}
	}
	for _, p := range t.paths {
		if p.State == PathDirect || p.isUnused(now) {
			continue
		}
		if len(due) < max && !now.Before(p.probeAt) {
			p.probeAt = now.Add(probeInterval) // until the outcome is recorded
			due = append(due, p.Path)
		}
		if next.IsZero() || p.probeAt.Before(next) {
			next = p.probeAt
		}
	}
	return due, next
}

// Forget drops the path to an address that no endpoint has any more.
func (t *PathTable) Forget(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[address]; p != nil {
		t.counts[p.State]--
		delete(t.paths, address)
	}
}

// change sets the state of a row and reports whether it differs. The caller holds the lock.
func (t *PathTable) change(p *pathRow, s PathState, now time.Time) bool {
	if p.State == s {
		return false
	}
	t.counts[p.State]--
	t.counts[s]++
	p.State, p.Since = s, now
	return true
}

// row returns the row of an address. The caller holds the lock.
func (t *PathTable) row(address string, now time.Time) *pathRow {
	t.sweep(now)
	p := t.paths[address]
	if p == nil {
		p = &pathRow{Path: Path{Address: address}, usedAt: now}
		t.paths[address] = p
		t.counts[p.State]++
	}
	return p
}

// sweep drops unused rows from time to time. The caller holds the lock.
func (t *PathTable) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < pathKeptFor {
		return
	}
	t.sweptAt = now
	for address, p := range t.paths {
		if now.Sub(p.usedAt) > pathKeptFor {
			t.counts[p.State]--
			delete(t.paths, address)
		}
	}
}

// Count returns how many paths are in a state. Direct ones are counted only while they are used.
func (t *PathTable) Count(s PathState) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[s]
}

// NotDirect returns the paths that aren't direct, ordered by address.
func (t *PathTable) NotDirect(now time.Time) (out []Path) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.paths {
		t.expire(p, now)
		if p.State != PathDirect {
			out = append(out, p.Path)
		}
	}
	slices.SortFunc(out, func(a, b Path) int { return strings.Compare(a.Address, b.Address) })
	return out
}
