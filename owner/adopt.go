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
	if fingerprint := o.board.Hosts.Fingerprint(now) ^ v.Digest ^ v.Roster; fingerprint != o.fingerprint || o.owned == nil {
		owns := o.owner(v, now)
		if o.board.Joining(now) && tooMany(v, owns) {
			return
		}
		before := o.owned
		o.fingerprint, o.owned = fingerprint, o.workOut(v, owns, now)
		o.handLost(v, before, now)
		owned := o.owned
		o.board.Endpoints.SetOwn(func(n uint32) bool { return owned[n] })
	}
	for n, b := range o.books {
		if !o.owned[n] && b.idle(now) {
			delete(o.books, n)
		}
	}
}

// handLost tells new owners what this host has reserved of endpoints that it
// owned until now; the caller holds the lock.
func (o *Owner) handLost(v *config.View, before map[uint32]bool, now time.Time) {
	for n := range before {
		b := o.books[n]
		if o.owned[n] || b == nil || b.ledger == nil || o.peers == nil {
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

// workOut opens the books of endpoints that this host owns and returns their
// numbers; the caller holds the lock.
func (o *Owner) workOut(v *config.View, owns ownership, now time.Time) map[uint32]bool {
	owned := map[uint32]bool{}
	for i := range v.Doc.Endpoints {
		e, n := &v.Doc.Endpoints[i], v.Numbers[i]
		if !owns(e, n) {
			continue
		}
		owned[n] = true
		if b := o.books[n]; b == nil || b.role != e.Role {
			o.open(v, e, now)
		}
	}
	return owned
}

// mostJoining is how many endpoints a host takes over at the most while it joins. One
// that would own more has not met the others yet: of many hosts that start together each
// would take hundreds of endpoints for its own, and ask all of them for their reports.
const mostJoining = 32

// tooMany reports whether a host would own more endpoints than it takes over as it joins.
func tooMany(v *config.View, owns ownership) bool {
	n := 0
	for i := range v.Doc.Endpoints {
		if owns(&v.Doc.Endpoints[i], v.Numbers[i]) {
			if n++; n > mostJoining {
				return true
			}
		}
	}
	return false
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
