package blackboard

import (
	"math/rand/v2"
	"time"
)

// Spread returns up to n live hosts of the region besides this one and another, drawn at random and by turns from
// its failure domains: hosts of one domain may fail together. Those of the other host's domain come last.
func (t *HostTable) Spread(n int, except *Host, now time.Time) (out []Host) {
	byDomain := map[string][]Host{}
	self := t.Self()
	t.Each(now, func(h *Host, live bool) {
		if live && !h.Unconfirmed && h.Peers != "" && h.Region == self.Region && h.Number != self.Number && h.Number != except.Number {
			byDomain[h.Domain] = append(byDomain[h.Domain], *h)
		}
	})
	var others [][]Host
	for domain, hosts := range byDomain {
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		if domain != except.Domain {
			others = append(others, hosts)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	domains := append(others, byDomain[except.Domain])
	for turn := 0; len(out) < n; turn++ {
		before := len(out)
		for _, hosts := range domains {
			if turn < len(hosts) && len(out) < n {
				out = append(out, hosts[turn])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
