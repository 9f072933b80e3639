package blackboard

import "time"

// Silence returns after how long without a sign of life hosts take each other for gone.
func (t *HostTable) Silence() time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.limit()
}

// Fellows is what a host sees of the hosts of its own failure domain, those that leave
// aside, itself among the others.
type Fellows struct {
	Known, Live int
	Set         uint64 // changes when the set of live ones does
}

// Fellows counts the hosts of this one's failure domain.
func (t *HostTable) Fellows(now time.Time) (f Fellows) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for n, h := range t.hosts {
		if h.Domain != t.self.Domain || h.Leaving {
			continue
		}
		f.Known++
		if t.live(h, now) {
			f.Live++
			f.Set += Rendezvous(h.Incarnation, n)
		}
	}
	return f
}

// Knows reports whether any host of a failure domain is known, live or not.
func (t *HostTable) Knows(domain string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, h := range t.hosts {
		if h.Domain == domain && !h.Leaving {
			return true
		}
	}
	return false
}
