package peer

import (
	"math/rand/v2"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// A heartbeat takes about 18 B, so sending those of all hosts in every exchange makes exchanges
// grow with the fleet. With 300 hosts an exchange took 11 KB both ways and a round had to last
// nine seconds to stay within its budget, so digests, which travel in the same exchanges, were as
// old. In a large fleet an exchange therefore carries only the heartbeats of recently changed
// hosts and a random sample of the others. Each side also sends a hash of its members; a host
// that sees a different hash requests all heartbeats.

const (
	heartbeatsPerExchange = 32               // per exchange: up to this many hosts, all are sent
	sampledHeartbeats     = 8                // per exchange in larger fleets, of the hosts without recent changes
	recentChangeWindow    = 10 * time.Second // how long a changed host takes precedence
	allHeartbeatsInterval = 4 * time.Second  // between two requests for all heartbeats
)

// heartbeatOf returns a host's heartbeat as it is sent to other hosts.
func heartbeatOf(h *blackboard.Host) Heartbeat {
	return Heartbeat{h.Number, h.Incarnation, h.Heartbeat, h.Leaving}
}

// heartbeats returns the heartbeats to send to another host. With changesOnly set, it returns
// only those of recently changed hosts.
func (r *Router) heartbeats(now time.Time, changesOnly, all bool) []Heartbeat {
	var leaving, changed, others []Heartbeat
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		switch {
		case !live || h.Incarnation == 0:
		case now.Sub(h.ChangedAt) >= recentChangeWindow:
			others = append(others, heartbeatOf(h))
		case h.Leaving:
			leaving = append(leaving, heartbeatOf(h))
		default:
			changed = append(changed, heartbeatOf(h))
		}
	})
	self := r.board.Hosts.Self()
	out := append(leaving, heartbeatOf(&self))
	if all || len(out)+len(changed)+len(others) <= heartbeatsPerExchange && !changesOnly {
		return append(append(out, changed...), others...)
	}
	out = append(out, sample(changed, heartbeatsPerExchange)...)
	if !changesOnly {
		out = append(out, sample(others, sampledHeartbeats)...)
	}
	return out
}

// sample returns n of the heartbeats, each with equal probability. It reorders the list.
func sample(list []Heartbeat, n int) []Heartbeat {
	n = max(0, min(n, len(list)))
	for i := range n {
		k := i + rand.IntN(len(list)-i)
		list[i], list[k] = list[k], list[i]
	}
	return list[:n]
}

// heartbeatRound returns the time in which a host's heartbeat is sent to each other host about
// once: one round of exchanges, or several where an exchange doesn't carry all heartbeats.
func (r *Router) heartbeatRound() time.Duration {
	hosts := r.board.Hosts.Len()
	if hosts <= heartbeatsPerExchange {
		return r.roundInterval()
	}
	return r.roundInterval() * time.Duration(hosts) / (sendsPerRound * sampledHeartbeats)
}

// sendsPerRound is how often a host sends its state per round: once in the exchange that it
// starts and once in its reply to the exchange that it answers.
const sendsPerRound = 2

// minKnownForAll is how many hosts one must know before it requests all heartbeats. A host that
// starts first gets the heartbeats of an ordinary exchange, contacts those hosts, and then
// requests all from one of them. Otherwise hundreds of hosts that start together would all ask
// the few seeds.
const minKnownForAll = 12

// shouldRequestAll reports whether this host lacks heartbeats, judging by the member hashes of
// other hosts, and hasn't requested all of them within allHeartbeatsInterval. If so, it records
// the request.
func (r *Router) shouldRequestAll(now time.Time) bool {
	if r.board.Hosts.Len() < minKnownForAll {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.membersDiffer || now.Sub(r.allRequestedAt) < allHeartbeatsInterval {
		return false
	}
	r.membersDiffer, r.allRequestedAt = false, now
	return true
}

// compareMembers records whether another host's members differ from this one's.
func (r *Router) compareMembers(members uint64, now time.Time) {
	differs := members != r.board.Hosts.Members(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membersDiffer = r.membersDiffer || differs
}

// heartbeatInterval returns the minimum duration of a round.
func (r *Router) heartbeatInterval() time.Duration {
	return config.Millis(r.board.Settings.HeartbeatMillis)
}
