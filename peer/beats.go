package peer

import (
	"math/rand/v2"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// A heartbeat takes some 18 B, so telling those of all hosts in each exchange makes
// an exchange grow with the fleet: with 300 hosts it took 11 KB both ways, a round
// had to last nine seconds to stay within its budget, and digests, which go the
// same way, were as old. So of many hosts an exchange tells of those about which
// there is news, and of some others that are drawn. Each side also names a hash of
// its members, and who finds another one asks for all heartbeats.

const (
	toldBeats = 32               // in one exchange: up to so many hosts all are told of
	drawBeats = 8                // of more hosts, those without news
	newsFor   = 10 * time.Second // how long a change of a host goes first
	allEvery  = 4 * time.Second  // between two asks for all heartbeats
)

// beatOf returns what is told of a host's heartbeat.
func beatOf(h *blackboard.Host) Beat { return Beat{h.Number, h.Incarnation, h.Beat, h.Leaving} }

// beats returns the heartbeats to tell another host of. News has only those about
// which there is something new.
func (r *Router) beats(now time.Time, news, all bool) []Beat {
	var leaving, changed, others []Beat
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		switch {
		case !live || h.Incarnation == 0:
		case now.Sub(h.Noted) >= newsFor:
			others = append(others, beatOf(h))
		case h.Leaving:
			leaving = append(leaving, beatOf(h))
		default:
			changed = append(changed, beatOf(h))
		}
	})
	self := r.board.Hosts.Self()
	out := append(leaving, beatOf(&self))
	if all || len(out)+len(changed)+len(others) <= toldBeats && !news {
		return append(append(out, changed...), others...)
	}
	out = append(out, drawn(changed, toldBeats)...)
	if !news {
		out = append(out, drawn(others, drawBeats)...)
	}
	return out
}

// drawn returns n of the heartbeats, each with the same chance.
func drawn(list []Beat, n int) []Beat {
	n = max(0, min(n, len(list)))
	for i := range n {
		k := i + rand.IntN(len(list)-i)
		list[i], list[k] = list[k], list[i]
	}
	return list[:n]
}

// beatRound returns the time in which a host's heartbeat is told of about once to
// each other host: the round of exchanges, or several where not all are told of.
func (r *Router) beatRound() time.Duration {
	hosts := r.board.Hosts.Len()
	if hosts <= toldBeats {
		return r.every()
	}
	return r.every() * time.Duration(hosts) / (tellsEach * drawBeats)
}

// tellsEach is how often a host is told during a round: in the answer to the
// exchange that it starts, and in the one that it answers.
const tellsEach = 2

// fewKnown is how many hosts one must know to ask for all heartbeats. One that starts
// is told of as many as any exchange tells of, meets those, and then asks one of them:
// else hundreds that start together ask the few by whom they join.
const fewKnown = 12

// asksAll reports whether a host lacks heartbeats by the members that others
// named, and hasn't asked for all lately. It counts as asking.
func (r *Router) asksAll(now time.Time) bool {
	if r.board.Hosts.Len() < fewKnown {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.differs || now.Sub(r.askedAll) < allEvery {
		return false
	}
	r.differs, r.askedAll = false, now
	return true
}

// compareMembers notes whether another host's members are not this one's.
func (r *Router) compareMembers(members uint64, now time.Time) {
	differs := members != r.board.Hosts.Members(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.differs = r.differs || differs
}

// heartbeat returns the least time of a round.
func (r *Router) heartbeat() time.Duration { return config.Millis(r.board.Settings.HeartbeatMillis) }
