package blackboard

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
	"sync"
	"time"
)

// Host is what is known of one entry host.
type Host struct {
	Name        string
	Number      uint32
	Domain      string
	Region      string
	Peers       string // address of its net/rpc listener
	Incarnation uint64
	Beat        uint64 // heartbeats of this incarnation
	Leaving     bool
	Advanced    time.Time // when Beat was last seen to rise, by our clock
	Accused     time.Time // when a watcher said that it is gone; zero: nobody does
	Doubted     bool      // a call to it failed and no heartbeat came since
	Noted       time.Time // when its incarnation was first heard of, or that it leaves
}

// HostTable is the membership: who is live is judged by each process for
// itself, from heartbeats that hosts hand on to each other.
type HostTable struct {
	least   time.Duration // silence allowed in a small fleet
	suspect time.Duration
	beat    time.Duration

	mu    sync.RWMutex
	self  Host
	hosts map[uint32]*Host
}

func newHostTable(self Host, suspect, beat time.Duration) *HostTable {
	t := &HostTable{least: suspect, suspect: suspect, beat: beat, self: self, hosts: map[uint32]*Host{}}
	t.hosts[self.Number] = &t.self
	return t
}

// Tick raises this host's own heartbeat.
func (t *HostTable) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	t.self.Advanced = now
}

// SetRound sets the time between exchanges, by which silence is judged.
func (t *HostTable) SetRound(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspect = max(t.least, suspectRounds*d)
	t.beat = d
}

// suspectRounds is how many rounds a host may be silent.
const suspectRounds = 5

// SetLeaving marks this host as leaving, which takes its endpoints from it.
func (t *HostTable) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.self.Noted = time.Now()
	t.self.Beat++
}

// Self returns this host's own row.
func (t *HostTable) Self() Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.self
}

// Learn takes in what a peer or the platform says of a host. A row from the
// platform's list has no incarnation and proves no life. Learn reports
// whether the row changed what decisions are made from.
func (t *HostTable) Learn(h Host, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.Number == t.self.Number {
		// A predecessor whose clock was ahead: outrank it, or the others
		// would take this process for older than the one that is gone.
		if h.Incarnation > t.self.Incarnation {
			t.self.Incarnation = h.Incarnation + 1
		}
		return false
	}
	cur := t.hosts[h.Number]
	if cur == nil {
		row := h
		row.Advanced, row.Doubted, row.Noted = now, false, now
		t.hosts[h.Number] = &row
		return true
	}
	if h.Incarnation == 0 {
		changed := h.Leaving && !cur.Leaving && cur.Incarnation == 0
		cur.Leaving = cur.Leaving || (h.Leaving && cur.Incarnation == 0)
		return changed
	}
	newer := h.Incarnation > cur.Incarnation || h.Incarnation == cur.Incarnation && h.Beat > cur.Beat
	if !newer {
		return false
	}
	changed := h.Incarnation != cur.Incarnation || h.Leaving != cur.Leaving || cur.Doubted || !cur.Accused.IsZero()
	row := h
	row.Advanced, row.Accused, row.Noted = now, time.Time{}, cur.Noted
	if h.Incarnation != cur.Incarnation || h.Leaving != cur.Leaving {
		row.Noted = now
	}
	*cur = row
	return changed
}

// ListedLeaving marks a host that the platform lists as leaving. The list
// lags, so the host's own word under a later incarnation overrides it.
func (t *HostTable) ListedLeaving(number uint32, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[number]; h != nil && h.Incarnation == incarnation && number != t.self.Number {
		h.Leaving = true
	}
}

// Doubt notes that a call to the host failed. A doubted host is passed over
// until its heartbeat rises again, so that a frozen one costs one time-out
// and not one for each request.
func (t *HostTable) Doubt(number uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[number]; h != nil && number != t.self.Number {
		h.Doubted = true
	}
}

// Answered notes that a host has just answered a call of this one, which ends a
// doubt. Its own heartbeat may be long under way where there are many hosts.
func (t *HostTable) Answered(number uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.hosts[number]; h != nil {
		h.Doubted = false
	}
}

// limit is the silence after which a host counts as gone. News travels by
// way of other hosts in a number of rounds that grows with the logarithm of
// their number.
func (t *HostTable) limit() time.Duration {
	return t.suspect + t.beat*time.Duration(bits.Len(uint(len(t.hosts)))/2)
}

func (t *HostTable) live(h *Host, now time.Time) bool {
	return h.Number == t.self.Number || h.Accused.IsZero() && now.Sub(h.Advanced) <= t.limit()
}

// Accuse takes in that a watcher could not reach a host, which can have sent no
// heartbeat after the one given. A later one clears the host again; earlier ones
// that still come by way of others don't. It reports whether this is news; of this
// host itself it never is, but its heartbeat jumps, so that the others learn better.
func (t *HostTable) Accuse(number uint32, incarnation, beat uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number == t.self.Number {
		if incarnation == t.self.Incarnation && beat >= t.self.Beat {
			t.self.Beat = beat + 1
		}
		return false
	}
	h := t.hosts[number]
	if h == nil || h.Incarnation != incarnation || h.Beat > beat || !h.Accused.IsZero() {
		return false
	}
	h.Accused, h.Beat = now, beat
	return true
}

// Accused returns the hosts that were accused lately.
func (t *HostTable) Accused(now time.Time, lately time.Duration) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Host
	for _, h := range t.hosts {
		if !h.Accused.IsZero() && now.Sub(h.Accused) < lately {
			out = append(out, *h)
		}
	}
	return out
}

// Watched returns the hosts that this host watches: the next ones of its
// domain in a ring of the live hosts. Each host is watched by as many.
func (t *HostTable) Watched(n int, now time.Time) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var ring []Host
	for _, h := range t.hosts {
		if h.Number != t.self.Number && h.Domain == t.self.Domain && h.Peers != "" && t.live(h, now) {
			ring = append(ring, *h)
		}
	}
	// Distance around the ring of numbers, from this host on.
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

// Each calls f with every known host and whether it is live, in no order. f must
// not call the table. It copies no table, which List does, as it is called often and
// there may be hundreds of hosts.
func (t *HostTable) Each(now time.Time, f func(h *Host, live bool)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, h := range t.hosts {
		f(h, t.live(h, now))
	}
}

// Len returns how many hosts are known.
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

// Live reports whether a row that List returned counts as live.
func (t *HostTable) Live(h Host, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.live(&h, now)
}

// Forget drops hosts that have been silent for so long that nothing refers
// to them any more, and that the platform doesn't list.
func (t *HostTable) Forget(now time.Time, silence time.Duration, listed func(number uint32) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n, h := range t.hosts {
		if n != t.self.Number && now.Sub(h.Advanced) > silence && !listed(n) {
			delete(t.hosts, n)
		}
	}
}

// Renew treats every host as just heard from. It is called after a pause of
// this process: that nothing was heard then says nothing about the others.
func (t *HostTable) Renew(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		h.Advanced, h.Accused = now, time.Time{}
	}
}
