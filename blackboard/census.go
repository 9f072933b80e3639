package blackboard

import "time"

// Census is what is known of the number of hosts.
type Census struct {
	Hosts   int             // all that are known and don't leave, this one among them
	Part    float64         // of the known hosts of the own failure domain that are live
	Domains map[string]bool // with any known host
	Changed time.Time       // when the own failure domain last got or lost a host, or one began to leave
}

// Census counts the hosts that don't leave.
func (t *HostTable) Census(now time.Time) Census {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := Census{Domains: map[string]bool{t.self.Domain: true}, Changed: t.self.Noted}
	near, live := 0, 0
	for _, h := range t.hosts {
		own := h.Domain == t.self.Domain
		if own {
			c.noteChange(h, t.live(h, now))
		}
		if h.Leaving && h.Number != t.self.Number {
			continue
		}
		c.Hosts++
		c.Domains[h.Domain] = true
		if !own {
			continue
		}
		near++
		if t.live(h, now) {
			live++
		}
	}
	c.Part = float64(live) / float64(near)
	return c
}

// noteChange notes when a host of the own failure domain came, began to leave or fell
// silent.
func (c *Census) noteChange(h *Host, live bool) {
	at := h.Noted
	if !live {
		at = h.Advanced
	}
	if at.After(c.Changed) {
		c.Changed = at
	}
}

// Regions counts the hosts of each region that are live and don't leave.
func (t *HostTable) Regions(now time.Time) map[string]int {
	out := map[string]int{}
	t.Each(now, func(h *Host, live bool) {
		if live && !h.Leaving {
			out[h.Region]++
		}
	})
	return out
}
