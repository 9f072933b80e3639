package blackboard

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Which host is chosen for a key, by highest random weight among the live hosts,
// and what tells that the choice may have changed.

// Order returns the live, not leaving hosts of a domain in rendezvous order
// for a key: the first owns it, the next is its successor. Without any such
// host the list is empty.
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

// Ahead returns how many hosts come before this one in the Order of its domain.
func (t *HostTable) Ahead(key uint64, domain string, now time.Time) (n int) {
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

// Majority reports whether more than half of the known hosts are live, of which
// there are at least so many. Hosts that said that they leave don't count. At
// most one side of a partition has a majority; after the loss of many hosts
// none has, until they are back.
func (t *HostTable) Majority(now time.Time, least int) bool {
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
	return 2*live > max(known, least)
}

// Fingerprint returns a number that changes when any domain's set of live,
// not leaving hosts does. It costs far less than working ownership out.
func (t *HostTable) Fingerprint(now time.Time) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	sum := t.members(now)
	for _, h := range t.hosts {
		if h.Doubted && !h.Leaving && t.live(h, now) {
			sum++
		}
	}
	return sum
}

// Members is Fingerprint without regard to doubts, which each host has for
// itself.
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

// First returns the first host of Order that isn't doubted, without building
// the list; a doubted one if all are.
func (t *HostTable) First(key uint64, domain string, now time.Time) (Host, bool) {
	return t.first(key, now, func(h *Host) bool { return h.Domain == domain }, passDoubted)
}

// FirstSteady returns the first host of Order without regard to doubts. All
// hosts that see the same members agree on it.
func (t *HostTable) FirstSteady(key uint64, domain string, now time.Time) (Host, bool) {
	return t.first(key, now, func(h *Host) bool { return h.Domain == domain }, takeDoubted)
}

// FirstOfRegion returns the live, not leaving host of a region that wins the
// rendezvous hash for a key.
func (t *HostTable) FirstOfRegion(key uint64, region string, now time.Time) (Host, bool) {
	return t.first(key, now, func(h *Host) bool { return h.Region == region }, passDoubted)
}

// doubts says what becomes of doubted hosts in a choice.
type doubts bool

// A doubted host answers nobody here, so the next one stands in for it until its
// heartbeat rises; but others may not doubt it.
const (
	passDoubted doubts = true
	takeDoubted doubts = false
)

func (t *HostTable) first(key uint64, now time.Time, among func(h *Host) bool, d doubts) (Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	doubted := func(h *Host) bool { return d == passDoubted && h.Doubted }
	var best *Host
	var top uint64
	for _, h := range t.hosts {
		if !among(h) || h.Leaving || !t.live(h, now) || best != nil && doubted(h) && !doubted(best) {
			continue
		}
		if s := Rendezvous(key, h.Number); best == nil || s > top || doubted(best) && !doubted(h) {
			best, top = h, s
		}
	}
	if best == nil {
		return Host{}, false
	}
	return *best, true
}

// Candidates are the live, not leaving hosts of a failure domain at one moment, for
// choices of many keys. First of the table looks through all hosts for each key, which is
// dear where hundreds of hosts choose for thousands of endpoints.
type Candidates struct {
	hosts   []Host
	doubted int // how many of them are, which come last
}

// Candidates returns those of a failure domain.
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
		if a.Doubted == b.Doubted {
			return cmp.Compare(a.Number, b.Number)
		} else if b.Doubted {
			return -1
		}
		return 1
	})
	for _, h := range c.hosts {
		if h.Doubted {
			c.doubted++
		}
	}
	return c
}

// AnyIn reports whether a failure domain has a live, not leaving host.
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

// Empty reports whether the failure domain has no such host.
func (c *Candidates) Empty() bool { return len(c.hosts) == 0 }

// First is HostTable.First.
func (c *Candidates) First(key uint64) (number uint32, ok bool) {
	sound := c.hosts[:len(c.hosts)-c.doubted]
	if len(sound) == 0 {
		sound = c.hosts
	}
	return heaviest(sound, key)
}

// FirstSteady is HostTable.FirstSteady.
func (c *Candidates) FirstSteady(key uint64) (number uint32, ok bool) { return heaviest(c.hosts, key) }

// heaviest returns the host of the highest weight for a key.
func heaviest(hosts []Host, key uint64) (number uint32, ok bool) {
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
