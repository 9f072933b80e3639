package blackboard

import (
	"math/bits"
	"slices"
	"time"
)

// SetRound sets the time between exchanges, from which the allowed silence is computed. A longer time applies at once and
// a shorter one gradually: heartbeats that are on their way were sent in the longer rounds before.
func (t *HostTable) SetRound(d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.round = max(d, t.shortestRound(now))
	t.roundAt = now
}

// shortestRound returns the shortest time between exchanges that may apply at a time.
func (t *HostTable) shortestRound(at time.Time) time.Duration {
	return max(t.minRound, t.round-at.Sub(t.roundAt)/roundFall)
}

const (
	// suspectRounds is the number of rounds for which a host may be silent.
	suspectRounds = 5
	// roundFall limits how fast rounds become shorter: by one part in this many of the time that passes.
	roundFall = 16
)

// silenceLimit returns the silence after which a host counts as gone, for a time between exchanges. Heartbeats are
// forwarded by other hosts and take a number of rounds that grows with the logarithm of the number of hosts.
func (t *HostTable) silenceLimit(round time.Duration) time.Duration {
	hops := time.Duration(bits.Len(uint(len(t.hosts))) / 2)
	return max(t.minSuspect, suspectRounds*round) + hops*round
}

func (t *HostTable) live(h *Host, now time.Time) bool {
	return t.liveWithin(h, now, t.silenceLimit(t.round))
}

// liveWithin reports whether a host is live if it may be silent for the given time.
func (t *HostTable) liveWithin(h *Host, now time.Time, limit time.Duration) bool {
	return h.Number == t.self.Number || h.SuspectedAt.IsZero() && now.Sub(h.HeartbeatAt) <= limit
}

// NearlyOverdue returns up to n live hosts that will count as gone within lead unless a heartbeat arrives. Those that
// have been silent for longest come first.
func (t *HostTable) NearlyOverdue(lead time.Duration, n int, now time.Time) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	limit := t.silenceLimit(t.shortestRound(now.Add(lead)))
	var out []Host
	for _, h := range t.hosts {
		if h.Incarnation != 0 && h.Peers != "" && t.live(h, now) && !t.liveWithin(h, now.Add(lead), limit) {
			out = append(out, *h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return a.HeartbeatAt.Compare(b.HeartbeatAt) })
	return out[:min(n, len(out))]
}
