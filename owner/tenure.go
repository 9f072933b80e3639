package owner

import (
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// mayOrder reports whether this host's view of the members and the roster is
// good enough to give orders by. Without a majority of the known hosts it isn't:
// the others may take this one for gone and order the same runner.
func (o *Owner) mayOrder(v *config.View, now time.Time) bool {
	members := o.board.Hosts.Members(now)
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	if members != o.balance.members || o.balance.since.IsZero() {
		o.balance.members, o.balance.since = members, now
	}
	o.balance.settled = now.Sub(o.balance.since) >= settledAfter
	for number, t := range o.balance.orderer {
		if now.Sub(o.balance.seen(t)) > unseenFor {
			delete(o.balance.orderer, number)
		}
	}
	return v.Roster > 0 && o.board.Hosts.Majority(now, len(o.board.Settings.Seeds)) && !o.board.Leaving() && !o.board.Pause.Check() &&
		o.board.Config.HeardWithin(now, rosterFresh)
}

// tenure is since when a host is the orderer of a runner.
type tenure struct {
	host  uint32
	since time.Time
	seen  time.Time // last
}

// unseenFor is how long nobody may have looked who a runner's orderer is for its
// tenure to go on.
const unseenFor = 3 * balanceEvery

// takesOrders returns the host that a runner takes orders from, and notes since when: the
// one of the hosts of its failure domain that owns it where nobody is doubted. A domain
// without hosts gets no orders: 0.
func (o *Owner) takesOrders(hosts *blackboard.Candidates, number uint32, now time.Time) (host uint32) {
	host, ok := hosts.FirstSteady(uint64(number))
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	if !ok {
		delete(o.balance.orderer, number)
		return 0
	}
	t := o.balance.orderer[number]
	if t.host != host || now.Sub(o.balance.seen(t)) > unseenFor {
		t = tenure{host: host, since: now}
	}
	t.seen = now
	o.balance.orderer[number] = t
	return host
}

// seen returns when anybody last looked who the orderer of a runner is. A look at which
// nothing had changed is one at all runners.
func (b *balance) seen(t tenure) time.Time {
	if b.last.at.After(t.seen) {
		return b.last.at
	}
	return t.seen
}

// tenured reports whether this host has been a runner's orderer for long enough that no
// other can have ordered it lately.
func (o *Owner) tenured(number uint32, now time.Time) bool {
	o.balance.mu.Lock()
	defer o.balance.mu.Unlock()
	t, ok := o.balance.orderer[number]
	return ok && t.host == o.board.Number && (o.balance.settled || now.Sub(t.since) >= steadyAfter)
}
