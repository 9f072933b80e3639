package owner

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// Which endpoints this host owns, and what begins and ends with that.

// adoptEvery is how often a host looks whether what it owns has changed.
const adoptEvery = 100 * time.Millisecond

// adopt opens books for endpoints that this host now owns and drops those
// that it no longer does. Ownership is worked out anew only when the members
// or the revision changed.
func (o *Owner) adopt(v *config.View, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.nextAdopt) || o.board.Leaving() || o.board.Meeting(now) {
		return
	}
	o.nextAdopt = now.Add(adoptEvery)
	o.workOut(v, now)
	for n, b := range o.books {
		if !o.owned[n] && b.idle(now) {
			delete(o.books, n)
		}
	}
}

// workOut brings up to date which endpoints this host owns; the caller holds the lock. Where
// only the roster changed it looks at the endpoints that did.
func (o *Owner) workOut(v *config.View, now time.Time) {
	members := o.board.Hosts.Fingerprint(now)
	if o.owned != nil && o.ownedBy.members == members && o.ownedBy.view == v {
		return
	}
	gained, lost := o.changes(v, members, now)
	if o.board.Joining(now) && len(o.owned)+o.fresh(gained)-len(lost) > mostJoining {
		return
	}
	o.take(v, gained, lost, now)
	o.ownedBy = ownedBy{members, v}
}

// changes returns which endpoints this host owns that it didn't, or that changed, and which
// it owns no longer; the caller holds the lock.
func (o *Owner) changes(v *config.View, members uint64, now time.Time) (gained, lost []uint32) {
	owns := o.owner(v, now)
	look := func(number uint32, e *config.Endpoint) {
		switch mine := e != nil && owns(e, number); {
		case mine:
			gained = append(gained, number)
		case o.owned[number]:
			lost = append(lost, number)
		}
	}
	before := o.ownedBy.view
	if o.owned != nil && o.ownedBy.members == members && v.SharesLayout(before) && v.Doc.Policy.Mode == before.Doc.Policy.Mode {
		config.Differing(before, v, look)
		return gained, lost
	}
	for _, d := range o.perhapsOwned(v, now) {
		for number, e := range d.All() {
			if owns(e, number) {
				gained = append(gained, number)
			}
		}
	}
	for number := range o.owned {
		if e := v.Endpoints.Get(number); e == nil || !owns(e, number) {
			lost = append(lost, number)
		}
	}
	return gained, lost
}

// fresh returns how many of some endpoints this host didn't own yet.
func (o *Owner) fresh(gained []uint32) (n int) {
	for _, number := range gained {
		if !o.owned[number] {
			n++
		}
	}
	return n
}

// take begins and ends what comes with owning endpoints; the caller holds the lock.
func (o *Owner) take(v *config.View, gained, lost []uint32, now time.Time) {
	if o.owned == nil {
		o.owned = map[uint32]bool{}
	}
	for _, n := range gained {
		e := v.Endpoints.Get(n)
		o.owned[n] = true
		if b := o.books[n]; b == nil || b.role != e.Role {
			o.open(v, e, now)
		}
		o.board.Endpoints.SetOwn(n, true)
	}
	for _, n := range lost {
		delete(o.owned, n)
		o.board.Endpoints.SetOwn(n, false)
	}
	o.handLost(v, lost, now)
}

// handLost tells new owners what this host has reserved of endpoints that it
// owned until now; the caller holds the lock.
func (o *Owner) handLost(v *config.View, lost []uint32, now time.Time) {
	for _, n := range lost {
		b := o.books[n]
		if b == nil || b.ledger == nil || o.peers == nil {
			continue
		}
		if next, ok := Of(o.board, v, b.spec, now); ok && next.Number != o.board.Number {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
				defer cancel()
				o.handTo(ctx, next, b, now)
			}()
		}
	}
}

// mostJoining is how many endpoints a host takes over at the most while it joins. One
// that would own more has not met the others yet: of many hosts that start together each
// would take hundreds of endpoints for its own, and ask all of them for their reports.
const mostJoining = 32

// ownedBy is what the owned endpoints were worked out by.
type ownedBy struct {
	members uint64 // fingerprint
	view    *config.View
}

// perhapsOwned returns the endpoints that this host may own: those of its failure domain, and
// of those without a host of their own. Where owners don't follow from endpoints it may own
// any.
func (o *Owner) perhapsOwned(v *config.View, now time.Time) (out []config.Endpoints) {
	if v.Doc.Policy.Mode.Single() {
		return []config.Endpoints{v.Endpoints}
	}
	for _, d := range v.Doc.Domains {
		if d.Name == o.board.Settings.Domain || !o.board.Hosts.AnyIn(d.Name, now) {
			out = append(out, v.InDomain(d.Name))
		}
	}
	return out
}

// ownership tells whether this host owns an endpoint of a number, by its view of the
// members at one moment.
type ownership func(e *config.Endpoint, number uint32) bool

// owner returns what tells of many endpoints what Of tells of one.
func (o *Owner) owner(v *config.View, now time.Time) ownership {
	byDomain := map[string]*blackboard.Candidates{}
	return func(e *config.Endpoint, number uint32) bool {
		if v.Doc.Policy.Mode.Single() {
			h, ok := Of(o.board, v, e, now)
			return ok && h.Number == o.board.Number
		}
		c := byDomain[e.Domain]
		if c == nil {
			c = o.board.Hosts.Candidates(e.Domain, now)
			byDomain[e.Domain] = c
		}
		switch {
		case c.Empty():
			h, ok := Of(o.board, v, e, now)
			return ok && h.Number == o.board.Number
		case e.Domain != o.board.Settings.Domain:
			return false
		}
		first, _ := c.First(uint64(number))
		return first == o.board.Number
	}
}

// idle reports whether a book that isn't owned can go.
func (b *Book) idle(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	busy := b.queue != nil && b.queue.Len() > 0
	return !busy && now.Sub(b.used) > idleBook
}
