package owner

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
)

// Computing which endpoints this host owns, and taking them over or handing them over.

// adoptInterval is the interval of checks for changes of ownership.
const adoptInterval = 100 * time.Millisecond

// adopt opens schedulers for endpoints that this host now owns and drops idle ones that it
// no longer owns. Ownership is recomputed only if the members or the revision changed.
func (o *Owner) adopt(v *config.View, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.nextAdopt) || o.board.Leaving() || o.board.Discovering(now) {
		return
	}
	o.nextAdopt = now.Add(adoptInterval)
	o.updateOwned(v, now)
	for n, sched := range o.schedulers {
		if !o.owned[n] && sched.idle(now) {
			delete(o.schedulers, n)
		}
	}
}

// updateOwned updates the set of owned endpoints. If only the roster changed, it considers only
// the endpoints that changed. The caller holds the lock.
func (o *Owner) updateOwned(v *config.View, now time.Time) {
	members := o.board.Hosts.Fingerprint(now)
	if o.owned != nil && o.ownedFor.members == members && o.ownedFor.view == v {
		return
	}
	gained, lost := o.ownershipChanges(v, members, now)
	if o.board.Joining(now) && len(o.owned)+o.countNew(gained)-len(lost) > maxOwnedWhileJoining {
		return
	}
	o.applyOwnership(v, gained, lost, now)
	o.ownedFor = ownershipInputs{members, v}
}

// ownershipChanges returns the owned endpoints that are new or changed, and the endpoints no longer
// owned. The caller holds the lock.
func (o *Owner) ownershipChanges(v *config.View, members uint64, now time.Time) (gained, lost []uint32) {
	owns := o.newOwnershipFunc(v, now)
	visit := func(number uint32, e *config.Endpoint) {
		switch mine := e != nil && owns(e, number); {
		case mine:
			gained = append(gained, number)
		case o.owned[number]:
			lost = append(lost, number)
		}
	}
	before := o.ownedFor.view
	if o.owned != nil && o.ownedFor.members == members && v.SharesLayout(before) && v.Doc.Policy.Mode == before.Doc.Policy.Mode {
		config.EachDifference(before, v, visit)
		return gained, lost
	}
	for _, d := range o.candidateEndpoints(v, now) {
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

// countNew returns how many of the endpoints this host did not own before.
func (o *Owner) countNew(gained []uint32) (n int) {
	for _, number := range gained {
		if !o.owned[number] {
			n++
		}
	}
	return n
}

// applyOwnership opens schedulers for gained endpoints and hands lost ones over. The caller holds the lock.
func (o *Owner) applyOwnership(v *config.View, gained, lost []uint32, now time.Time) {
	if o.owned == nil {
		o.owned = map[uint32]bool{}
	}
	for _, n := range gained {
		e := v.Endpoints.Get(n)
		o.owned[n] = true
		if sched := o.schedulers[n]; sched == nil || sched.role != e.Role {
			o.openScheduler(v, e, now)
		}
		o.board.Endpoints.SetOwn(n, true)
	}
	for _, n := range lost {
		delete(o.owned, n)
		o.board.Endpoints.SetOwn(n, false)
	}
	o.handOverLost(v, lost, now)
}

// handOverLost sends the new owners of lost endpoints this host's reservations there. The
// caller holds the lock.
func (o *Owner) handOverLost(v *config.View, lost []uint32, now time.Time) {
	for _, n := range lost {
		sched := o.schedulers[n]
		if sched == nil || sched.ledger == nil || o.peers == nil {
			continue
		}
		if next, ok := Of(o.board, v, sched.spec, now); ok && next.Number != o.board.Number {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
				defer cancel()
				o.sendHandover(ctx, next, sched, now)
			}()
		}
	}
}

// maxOwnedWhileJoining is the maximum number of endpoints that a host takes over while it joins. A
// host that would own more has not met the other hosts yet: when many hosts start together,
// each would claim hundreds of endpoints and poll all of them.
const maxOwnedWhileJoining = 32

// ownershipInputs holds the inputs from which the set of owned endpoints was computed.
type ownershipInputs struct {
	members uint64 // fingerprint
	view    *config.View
}

// candidateEndpoints returns the endpoints that this host may own: those of its own failure domain
// and of domains without live hosts. In modes where the owner does not depend on the endpoint,
// these are all endpoints.
func (o *Owner) candidateEndpoints(v *config.View, now time.Time) (out []config.Endpoints) {
	if v.Doc.Policy.Mode.IgnoresEndpoint() {
		return []config.Endpoints{v.Endpoints}
	}
	for _, d := range v.Doc.Domains {
		if d.Name == o.board.Settings.Domain || !o.board.Hosts.AnyIn(d.Name, now) {
			out = append(out, v.InDomain(d.Name))
		}
	}
	return out
}

// ownershipFunc reports whether this host owns an endpoint, given its number, by a snapshot of
// the members.
type ownershipFunc func(e *config.Endpoint, number uint32) bool

// newOwnershipFunc returns a function that is equivalent to comparing the result of Of with this host,
// but cheaper for many endpoints.
func (o *Owner) newOwnershipFunc(v *config.View, now time.Time) ownershipFunc {
	byDomain := map[string]*blackboard.Candidates{}
	return func(e *config.Endpoint, number uint32) bool {
		if v.Doc.Policy.Mode.IgnoresEndpoint() {
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

// idle reports whether a scheduler of an endpoint that isn't owned can be dropped.
func (s *Scheduler) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := s.queue != nil && s.queue.Len() > 0
	return !busy && now.Sub(s.lastUsed) > idleSchedulerKept
}
