package blackboard

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choosing a host for a key by highest random weight among the live hosts, and detecting
// that the choice may have changed.

// Order returns the live hosts of a domain that are not leaving, in rendezvous order for a
// key: the first owns it, the next is its successor. The list may be empty.
func (t *HostTable) Order(key uint64, domain string, now time.Time) []Host {
	type scored struct {
		Host
		score uint64
	}
	t.mu.RLock()
	rows := make([]scored, 0, 8)
	for _, h := range t.hosts {
		if h.Domain == domain && !h.Leaving && t.live(h, now) {
			rows = append(rows, scored{*h, Rendezvous(key, h.Number)})
		}
	}
	t.mu.RUnlock()
	slices.SortFunc(rows, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	out := make([]Host, len(rows))
	for i, r := range rows {
		out[i] = r.Host
	}
	return out
}

// CountAhead returns how many hosts come before this one in the Order of its domain.
func (t *HostTable) CountAhead(key uint64, domain string, now time.Time) (n int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	own := Rendezvous(key, t.self.Number)
	for _, h := range t.hosts {
		if h.Domain == domain && !h.Leaving && t.live(h, now) && Rendezvous(key, h.Number) > own {
			n++
		}
	}
	return n
}

// Majority reports whether more than half of the known hosts are live, of which there are
// assumed to be at least minKnown. Leaving hosts don't count. At most one side of a partition
// has a majority. After the loss of many hosts no side has one until they are back.
func (t *HostTable) Majority(now time.Time, minKnown int) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	known, live := 0, 0
	for _, h := range t.hosts {
		if h.Leaving {
			continue
		}
		known++
		if t.live(h, now) {
			live++
		}
	}
	return 2*live > max(known, minKnown)
}

// Fingerprint returns a number that changes when any domain's set of live hosts that are not
// leaving changes, or when a host becomes or ceases to be unconfirmed. It is much cheaper than
// computing ownership.
func (t *HostTable) Fingerprint(now time.Time) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	sum := t.members(now)
	for _, h := range t.hosts {
		if h.Unconfirmed && !h.Leaving && t.live(h, now) {
			sum++
		}
	}
	return sum
}

// Members is like Fingerprint, but ignores whether hosts are unconfirmed, which each host
// decides for itself.
func (t *HostTable) Members(now time.Time) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members(now)
}

func (t *HostTable) members(now time.Time) uint64 {
	var sum uint64
	for n, h := range t.hosts {
		if !h.Leaving && t.live(h, now) {
			sum += Rendezvous(h.Incarnation, n)
		}
	}
	return sum
}

// First returns the first host of Order that isn't unconfirmed, or the first one if all are
// unconfirmed. It doesn't build the list.
func (t *HostTable) First(key uint64, domain string, now time.Time) (Host, bool) {
	return t.first(key, now, func(h *Host) bool { return h.Domain == domain }, skipUnconfirmed)
}

// FirstStable returns the first host of Order, unconfirmed or not. All hosts with the same view
// of the members agree on it.
func (t *HostTable) FirstStable(key uint64, domain string, now time.Time) (Host, bool) {
	return t.first(key, now, func(h *Host) bool { return h.Domain == domain }, includeUnconfirmed)
}

// FirstOfRegion returns the live host of a region that is not leaving and wins the rendezvous
// hash for a key.
func (t *HostTable) FirstOfRegion(key uint64, region string, now time.Time) (Host, bool) {
	return t.first(key, now, func(h *Host) bool { return h.Region == region }, skipUnconfirmed)
}

// unconfirmedRule says how a choice treats unconfirmed hosts.
type unconfirmedRule bool

// An unconfirmed host doesn't answer this host, so the next one replaces it until its heartbeat
// rises. Other hosts may still reach it.
const (
	skipUnconfirmed    unconfirmedRule = true
	includeUnconfirmed unconfirmedRule = false
)

func (t *HostTable) first(key uint64, now time.Time, eligible func(h *Host) bool, d unconfirmedRule) (Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	unconfirmed := func(h *Host) bool { return d == skipUnconfirmed && h.Unconfirmed }
	var best *Host
	var top uint64
	for _, h := range t.hosts {
		if !eligible(h) || h.Leaving || !t.live(h, now) || best != nil && unconfirmed(h) && !unconfirmed(best) {
			continue
		}
		if s := Rendezvous(key, h.Number); best == nil || s > top || unconfirmed(best) && !unconfirmed(h) {
			best, top = h, s
		}
	}
	if best == nil {
		return Host{}, false
	}
	return *best, true
}

// Candidates is a snapshot of the live hosts of a failure domain that are not leaving, for
// choosing hosts for many keys. HostTable.First scans all hosts for each key, which is expensive
// when hundreds of hosts choose for thousands of endpoints.
type Candidates struct {
	hosts       []Host
	unconfirmed int // number of unconfirmed hosts, which come last
}

// Candidates returns the candidates of a failure domain.
func (t *HostTable) Candidates(domain string, now time.Time) *Candidates {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := new(Candidates)
	for _, h := range t.hosts {
		if h.Domain == domain && !h.Leaving && t.live(h, now) {
			c.hosts = append(c.hosts, *h)
		}
	}
	slices.SortFunc(c.hosts, func(a, b Host) int {
		if a.Unconfirmed == b.Unconfirmed {
			return cmp.Compare(a.Number, b.Number)
		} else if b.Unconfirmed {
			return -1
		}
		return 1
	})
	for _, h := range c.hosts {
		if h.Unconfirmed {
			c.unconfirmed++
		}
	}
	return c
}

// AnyIn reports whether a failure domain has a live host that is not leaving.
func (t *HostTable) AnyIn(domain string, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, h := range t.hosts {
		if h.Domain == domain && !h.Leaving && t.live(h, now) {
			return true
		}
	}
	return false
}

// Empty reports whether there are no candidates.
func (c *Candidates) Empty() bool { return len(c.hosts) == 0 }

// First is like HostTable.First.
func (c *Candidates) First(key uint64) (number uint32, ok bool) {
	confirmed := c.hosts[:len(c.hosts)-c.unconfirmed]
	if len(confirmed) == 0 {
		confirmed = c.hosts
	}
	return highestWeight(confirmed, key)
}

// FirstStable is like HostTable.FirstStable.
func (c *Candidates) FirstStable(key uint64) (number uint32, ok bool) {
	return highestWeight(c.hosts, key)
}

// highestWeight returns the host with the highest weight for a key.
func highestWeight(hosts []Host, key uint64) (number uint32, ok bool) {
	var top uint64
	for i := range hosts {
		if w := Rendezvous(key, hosts[i].Number); i == 0 || w > top {
			number, top = hosts[i].Number, w
		}
	}
	return number, len(hosts) > 0
}

// Rendezvous is the weight of a host for a key (highest random weight).
func Rendezvous(key uint64, host uint32) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint32(b[8:], host)
	return xxhash.Sum64(b[:])
}
