package blackboard

import "time"

// Census is a count of the known hosts.
type Census struct {
	Hosts     int             // known hosts that are not leaving, including this one
	LiveShare float64         // live share of the known hosts of the own failure domain
	Domains   map[string]bool // failure domains with a known host
	Changed   time.Time       // when a host of the own failure domain last joined, went or began to leave
}

// Census counts the hosts that are not leaving.
func (t *HostTable) Census(now time.Time) Census {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := Census{Domains: map[string]bool{t.self.Domain: true}, Changed: t.self.ChangedAt}
	known, live := 0, 0
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
		known++
		if t.live(h, now) {
			live++
		}
	}
	c.LiveShare = float64(live) / float64(known)
	return c
}

// noteChange updates Changed with the time at which a host of the own failure domain joined,
// began to leave or fell silent.
func (c *Census) noteChange(h *Host, live bool) {
	at := h.ChangedAt
	if !live {
		at = h.HeartbeatAt
	}
	if at.After(c.Changed) {
		c.Changed = at
	}
}

// Regions counts the live hosts of each region that are not leaving.
func (t *HostTable) Regions(now time.Time) map[string]int {
	out := map[string]int{}
	t.Each(now, func(h *Host, live bool) {
		if live && !h.Leaving {
			out[h.Region]++
		}
	})
	return out
}
