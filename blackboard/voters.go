package blackboard

import "time"

// Voters returns the hosts whose votes decide who hands out permits in a failure domain: its
// known hosts that are not leaving, or those of the region if the domain has none. alive says
// which of them are live.
func (t *HostTable) Voters(domain, region string, now time.Time) (hosts []Host, alive []bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, in := range []func(h *Host) bool{
		func(h *Host) bool { return h.Domain == domain },
		func(h *Host) bool { return h.Region == region },
	} {
		for _, h := range t.hosts {
			if in(h) && !h.Leaving {
				hosts, alive = append(hosts, *h), append(alive, t.live(h, now))
			}
		}
		if len(hosts) > 0 {
			return hosts, alive
		}
	}
	return nil, nil
}
