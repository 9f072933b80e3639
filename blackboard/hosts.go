package blackboard

import (
	"cmp"
	"slices"
	"sort"
	"sync"
	"time"
)

// Host is the known state of one entry host.
type Host struct {
	Name        string
	Number      uint32
	Domain      string
	Region      string
	Peers       string // address of its net/rpc listener
	Incarnation uint64
	Heartbeat   uint64 // number of heartbeats of this incarnation
	Leaving     bool
	HeartbeatAt time.Time // when Heartbeat last rose, by this host's clock
	SuspectedAt time.Time // when a watcher reported it as gone; zero: none has
	Unconfirmed bool      // a call to it failed and no heartbeat arrived since
	ChangedAt   time.Time // when its incarnation, or that it is leaving, first became known
}

// HostTable is the membership table. Each process decides for itself which hosts are live, from
// heartbeats that hosts forward to each other.
type HostTable struct {
	minSuspect time.Duration // silence allowed in a small fleet
	minRound   time.Duration

	mu      sync.RWMutex
	round   time.Duration // time between exchanges; see SetRound
	roundAt time.Time     // when round was set
	self    Host
	hosts   map[uint32]*Host
}

func newHostTable(self Host, suspect, heartbeatInterval time.Duration) *HostTable {
	t := &HostTable{minSuspect: suspect, minRound: heartbeatInterval, round: heartbeatInterval, self: self, hosts: map[uint32]*Host{}}
	t.hosts[self.Number] = &t.self
	return t
}

// Tick increments this host's own heartbeat.
func (t *HostTable) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Heartbeat++
	t.self.HeartbeatAt = now
}

// SetLeaving marks this host as leaving, so that its endpoints move to other owners.
func (t *HostTable) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.self.ChangedAt = time.Now()
	t.self.Heartbeat++
}

// Self returns this host's own row.
func (t *HostTable) Self() Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.self
}

// Learn merges a row about a host received from a peer or from the platform. A row from the
// platform's list has no incarnation and doesn't show that the host is live. Learn reports
// whether anything changed that decisions depend on.
func (t *HostTable) Learn(h Host, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.Number == t.self.Number {
		// The previous process on this host had a clock that was ahead. Use a higher
		// incarnation, or other hosts would take this process for the older one.
		if h.Incarnation > t.self.Incarnation {
			t.self.Incarnation = h.Incarnation + 1
		}
		return false
	}
	cur := t.hosts[h.Number]
	if cur == nil {
		row := h
		row.HeartbeatAt, row.Unconfirmed, row.ChangedAt = now, false, now
		t.hosts[h.Number] = &row
		return true
	}
	if h.Incarnation == 0 {
		changed := h.Leaving && !cur.Leaving && cur.Incarnation == 0
		cur.Leaving = cur.Leaving || (h.Leaving && cur.Incarnation == 0)
		return changed
	}
	newer := h.Incarnation > cur.Incarnation || h.Incarnation == cur.Incarnation && h.Heartbeat > cur.Heartbeat
	if !newer {
		return false
	}
	changed := h.Incarnation != cur.Incarnation || h.Leaving != cur.Leaving || cur.Unconfirmed || !cur.SuspectedAt.IsZero()
	row := h
	row.HeartbeatAt, row.SuspectedAt, row.ChangedAt = now, time.Time{}, cur.ChangedAt
	if h.Incarnation != cur.Incarnation || h.Leaving != cur.Leaving {
		row.ChangedAt = now
	}
	*cur = row
	return changed
}

// ListedLeaving marks a host that the platform lists as leaving. The list lags, so a heartbeat
// with a later incarnation overrides it.
func (t *HostTable) ListedLeaving(number uint32, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[number]; h != nil && h.Incarnation == incarnation && number != t.self.Number {
		h.Leaving = true
	}
}

// MarkUnconfirmed records that a call to the host failed. The host is then skipped until its heartbeat
// rises again, so that a frozen host costs one timeout instead of one for each request.
func (t *HostTable) MarkUnconfirmed(number uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[number]; h != nil && number != t.self.Number {
		h.Unconfirmed = true
	}
}

// Confirm records that a host has just answered a call of this one, which confirms it again.
// With many hosts its heartbeat may take long to arrive.
func (t *HostTable) Confirm(number uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[number]; h != nil {
		h.Unconfirmed = false
	}
}

// Suspect records that a watcher could not reach a host whose last known heartbeat is heartbeat. A
// later heartbeat clears the host again; earlier ones that still arrive by way of other hosts
// don't. It reports whether the host was not suspected before. If this host itself is
// suspected, its heartbeat jumps past the given one, which clears it at the other hosts.
func (t *HostTable) Suspect(number uint32, incarnation, heartbeat uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number == t.self.Number {
		if incarnation == t.self.Incarnation && heartbeat >= t.self.Heartbeat {
			t.self.Heartbeat = heartbeat + 1
		}
		return false
	}
	h := t.hosts[number]
	if h == nil || h.Incarnation != incarnation || h.Heartbeat > heartbeat || !h.SuspectedAt.IsZero() {
		return false
	}
	h.SuspectedAt, h.Heartbeat = now, heartbeat
	return true
}

// Suspected returns the hosts that became suspected within the time lately.
func (t *HostTable) Suspected(now time.Time, lately time.Duration) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Host
	for _, h := range t.hosts {
		if !h.SuspectedAt.IsZero() && now.Sub(h.SuspectedAt) < lately {
			out = append(out, *h)
		}
	}
	return out
}

// Watched returns the hosts that this host watches: the next n in a ring of the live hosts of
// its domain. Each host is watched by n others.
func (t *HostTable) Watched(n int, now time.Time) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var ring []Host
	for _, h := range t.hosts {
		if h.Number != t.self.Number && h.Domain == t.self.Domain && h.Peers != "" && t.live(h, now) {
			ring = append(ring, *h)
		}
	}
	// Order by distance from this host around the ring of numbers.
	slices.SortFunc(ring, func(a, b Host) int { return cmp.Compare(a.Number-t.self.Number, b.Number-t.self.Number) })
	return ring[:min(n, len(ring))]
}

// Get returns a host's row and whether it is live.
func (t *HostTable) Get(number uint32, now time.Time) (h Host, live, known bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row := t.hosts[number]
	if row == nil {
		return Host{}, false, false
	}
	return *row, t.live(row, now), true
}

// Each calls f with every known host and whether it is live, in no particular order. f must not
// call the table. Unlike List it copies nothing, because it is called often and there may be
// hundreds of hosts.
func (t *HostTable) Each(now time.Time, f func(h *Host, live bool)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, h := range t.hosts {
		f(h, t.live(h, now))
	}
}

// Len returns the number of known hosts.
func (t *HostTable) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.hosts)
}

// List returns every known host, ordered by name.
func (t *HostTable) List() []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Host, 0, len(t.hosts))
	for _, h := range t.hosts {
		out = append(out, *h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Live reports whether a host returned by List counts as live.
func (t *HostTable) Live(h Host, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.live(&h, now)
}

// Forget drops hosts that the platform doesn't list and that have been silent for so long that
// nothing refers to them any more.
func (t *HostTable) Forget(now time.Time, silence time.Duration, listed func(number uint32) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, h := range t.hosts {
		if n != t.self.Number && now.Sub(h.HeartbeatAt) > silence && !listed(n) {
			delete(t.hosts, n)
		}
	}
}

// ResetSilence treats every host as if its heartbeat had just arrived. It is called after a pause of
// this process, in which silence says nothing about the other hosts.
func (t *HostTable) ResetSilence(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		h.HeartbeatAt, h.SuspectedAt = now, time.Time{}
	}
}
