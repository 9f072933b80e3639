package blackboard

import "time"

// Census is a count of the known hosts.
type Census struct {
	Hosts     int             // known hosts that are not leaving, including this one
	LiveShare float64         // live share of the known hosts of the own failure domain
	Domains   map[string]bool // failure domains with a known host
	Changed   time.Time       // when a host of the own failure domain last joined, went or began to leave
	// Phase is this host's place in [0, 1) among the known hosts. The places are even, also those of
	// the hosts of some failure domains.
	Phase float64
}

// Census counts the hosts that are not leaving.
func (t *HostTable) Census(now time.Time) Census {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := Census{Domains: map[string]bool{t.self.Domain: true}, Changed: t.self.ChangedAt}
	known, live, before := 0, 0, 0
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
		if h.Number < t.self.Number {
			before++
		}
	}
	c.LiveShare = float64(live) / float64(known)
	c.Phase = (float64(before) + c.domainPhase(t.self.Domain)) / float64(known)
	return c
}

// domainPhase returns the place in [0, 1) of a failure domain among the known ones.
func (c *Census) domainPhase(domain string) float64 {
	before := 0
	for d := range c.Domains {
		if d < domain {
			before++
		}
	}
	return float64(before) / float64(len(c.Domains))
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
