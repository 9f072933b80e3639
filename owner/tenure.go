package owner

import (
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// canOrder reports whether this host's view of the members and the roster is reliable enough to
// send orders. Without a majority of the known hosts it isn't: the others may consider this host
// gone and order the same runner.
func (o *Owner) canOrder(v *config.View, now time.Time) bool {
	members := o.board.Hosts.Members(now)
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	if members != o.balance.members || o.balance.membersSince.IsZero() {
		o.balance.members, o.balance.membersSince = members, now
	}
	o.balance.membersSettled = now.Sub(o.balance.membersSince) >= settledAfter
	for number, t := range o.balance.tenures {
		if now.Sub(o.balance.lastCheck(t)) > maxCheckGap {
			delete(o.balance.tenures, number)
		}
	}
	return v.RosterRevision > 0 && o.board.Hosts.Majority(now, len(o.board.Settings.Seeds)) && !o.board.Leaving() && !o.board.Pause.Check() &&
		o.board.Config.PlatformAnsweredWithin(now, maxPlatformSilence)
}

// tenure records since when a host has been the orderer of a runner.
type tenure struct {
	host      uint32
	since     time.Time
	lastCheck time.Time // of who the orderer is
}

// maxCheckGap is the maximum time between two checks of who a runner's orderer is. After a longer
// gap the tenure starts again.
const maxCheckGap = 3 * balanceInterval

// updateTenure returns the orderer of a runner and updates its tenure. The orderer is the host of
// the runner's failure domain that would own it if no host were unconfirmed. A domain without
// hosts gets no orders: the result is 0.
func (o *Owner) updateTenure(hosts *blackboard.Candidates, number uint32, now time.Time) (host uint32) {
	host, ok := hosts.FirstStable(uint64(number))
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	if !ok {
		delete(o.balance.tenures, number)
		return 0
	}
	t := o.balance.tenures[number]
	if t.host != host || now.Sub(o.balance.lastCheck(t)) > maxCheckGap {
		t = tenure{host: host, since: now}
	}
	t.lastCheck = now
	o.balance.tenures[number] = t
	return host
}

// lastCheck returns when the orderer of a runner was last checked. A check that found nothing changed
// counts for all runners.
func (b *balance) lastCheck(t tenure) time.Time {
	if b.cache.validAt.After(t.lastCheck) {
		return b.cache.validAt
	}
	return t.lastCheck
}

// hasTenure reports whether this host has been a runner's orderer for so long that no other host
// can have sent it an order lately.
func (o *Owner) hasTenure(number uint32, now time.Time) bool {
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	t, ok := o.balance.tenures[number]
	return ok && t.host == o.board.Number && (o.balance.membersSettled || now.Sub(t.since) >= minTenure)
}
