package route

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/embercove/embercove/config"
)

// Fleet holds the state of a view's endpoints as one host sees them, indexed for routing.
type Fleet struct {
	View       *config.View
	states     map[uint32]*State
	addresses  map[string][]uint32 // endpoints by address; another one may take over the address of one that left
	software   softwareWatch
	started    []string             // addresses at which a process has started since the view before
	pools      map[string]*Group    // endpoints of pools
	routes     map[string]*Group    // endpoints of routes with selectors
	cutOff     map[string]time.Time // by failure domain: until when it counts as cut off
	owned      []uint32             // endpoints that this host owns, sorted so that choices are deterministic
	wrongState map[uint32]bool      // endpoints that aren't in the ordered state
	heads      headIndex
	sampling   sampleSizes

	removed           removals
	notices           map[uint32]*Notices // by endpoint, including some that were removed
	noticesAfterSweep int                 // len(notices) after the last expireNotices
}

// Group lists the endpoints that a request may go to.
type Group struct {
	Prefill, Decode, Service List
}

// ForRole returns the list for a role.
func (g *Group) ForRole(r config.Role) *List {
	switch r {
	case config.Prefill:
		return &g.Prefill
	case config.Decode:
		return &g.Decode
	}
	return &g.Service
}

// NewFleet returns a fleet for a view; nil: for none yet. Nothing is known of its endpoints.
func NewFleet(v *config.View) *Fleet {
	f := &Fleet{addresses: map[string][]uint32{}, cutOff: map[string]time.Time{}, wrongState: map[uint32]bool{}, heads: headIndex{}, sampling: defaultSampling, notices: map[uint32]*Notices{}}
	if v != nil {
		f.SetView(v, time.Time{})
	}
	return f
}

// Len returns the number of endpoints.
func (f *Fleet) Len() int { return len(f.states) }

// Find returns the state of the endpoint with a number, or nil.
func (f *Fleet) Find(number uint32) *State { return f.states[number] }

// All yields all states, in no order.
func (f *Fleet) All() iter.Seq[*State] { return maps.Values(f.states) }

// maxSampled bounds how many endpoints SampleReachable looks at.
const maxSampled = 16

// SampleReachable returns up to n endpoints, drawn at random, that aren't known to be unreachable
// and may be asked for a report at any time.
func (f *Fleet) SampleReachable(n int, now time.Time) (out []*State) {
	looked := 0
	for _, s := range f.states {
		if looked++; looked > maxSampled || len(out) == n {
			break
		}
		if !s.isUnreachable(now) && !s.IsCold(now) && !s.IsLimited(now) && !s.IsBackingOff(now) {
			out = append(out, s)
		}
	}
	return out
}

// isUnreachable reports whether this host can't reach the endpoint, or soon won't.
func (s *State) isUnreachable(now time.Time) bool {
	return s.IsLeaving() || s.Calls.IsUnreachable(now) || now.Before(s.CutOffUntil)
}

// InFailureDomain yields the states of a failure domain.
func (f *Fleet) InFailureDomain(domain string) iter.Seq[*State] {
	return func(yield func(*State) bool) {
		if f.View == nil {
			return
		}
		for number := range f.View.InDomain(domain).All() {
			if !yield(f.states[number]) {
				return
			}
		}
	}
}

// Group returns the endpoints of a pool. If pool is "", it returns those of a route with
// selectors. nil: the document has no such pool or route.
func (f *Fleet) Group(r *config.RouteView, pool string) *Group {
	if pool == "" {
		return f.routes[r.Name]
	}
	return f.pools[pool]
}

// Siblings returns the endpoints with the same pool, role and failure domain as an endpoint. If
// the document has no such pool, it returns those of all domains.
func (f *Fleet) Siblings(e *config.Endpoint) (out []*State) {
	if g := f.pools[e.Pool]; g != nil {
		return g.ForRole(e.Role).InFailureDomain(max(0, f.View.DomainIndex(e.Domain)))
	}
	for _, s := range f.states {
		if s.Role == e.Role && s.Spec.Pool == e.Pool {
			out = append(out, s)
		}
	}
	return out
}

// SetView switches to another view and keeps what is known of endpoints that stay. It updates only
// endpoints that differ, unless the new document changes the layout. It returns the addresses at which a
// process has started since.
func (f *Fleet) SetView(v *config.View, now time.Time) (started []string) {
	old := f.View
	if old == v {
		return nil
	}
	f.View, f.started = v, nil
	if f.software.since.IsZero() && v.Endpoints.Len() > 0 {
		f.software.begin(now)
	}
	if !v.SharesLayout(old) {
		f.rebuild(now)
		return f.started
	}
	if v.Doc != old.Doc {
		f.routes = nil // they belong to the old document
	}
	config.EachDifference(old, v, func(number uint32, e *config.Endpoint) { f.replace(number, e, now) })
	if v.Doc != old.Doc {
		f.rebuildRoutes()
	}
	if !maps.Equal(old.Evacuated, v.Evacuated) {
		f.updateEvacuated(now)
	}
	return f.started
}

// rebuild builds all states and lists from the view.
func (f *Fleet) rebuild(now time.Time) {
	before := f.states
	clear(f.wrongState)
	clear(f.heads)
	clear(f.addresses)
	f.states, f.pools, f.routes = make(map[uint32]*State, f.View.Endpoints.Len()), map[string]*Group{}, map[string]*Group{}
	for name := range f.View.Pools {
		f.pools[name] = new(Group)
	}
	for number, e := range f.View.Endpoints.All() {
		f.states[number] = f.newState(number, e, before[number], now)
		f.addToLists(f.states[number])
		f.trackWrongState(f.states[number])
		f.heads.update(number, nil, f.states[number].Digest.Heads)
		f.addresses[e.Address] = append(f.addresses[e.Address], number)
	}
	for number, s := range before {
		f.software.replaced(s.Spec, f.View.Endpoints.Get(number), now)
		if f.states[number] == nil {
			f.removed.add(number, s.Spec, f.View.RosterRevision.Era(), now)
		}
	}
	f.rebuildRoutes()
}

// rebuildRoutes lists the endpoints of each route with selectors.
func (f *Fleet) rebuildRoutes() {
	f.routes = map[string]*Group{}
	for i := range f.View.Routes {
		r := &f.View.Routes[i]
		if len(r.Shares) > 0 || r.PathPrefix != "" {
			continue
		}
		g := new(Group)
		f.routes[r.Name] = g
		for number, e := range f.View.Endpoints.All() {
			if s := f.states[number]; r.Selects(e) {
				g.ForRole(s.Role).add(s)
			}
		}
	}
}

// replace sets the endpoint of a number; nil: it was removed.
func (f *Fleet) replace(number uint32, e *config.Endpoint, now time.Time) {
	old := f.states[number]
	if old != nil {
		f.software.replaced(old.Spec, e, now)
		f.removeFromLists(old)
		f.removeAddress(old)
		f.heads.update(number, old.Digest.Heads, nil)
		delete(f.states, number)
		delete(f.wrongState, number)
		if e == nil {
			f.removed.add(number, old.Spec, f.View.RosterRevision.Era(), now)
		}
	}
	if e != nil {
		f.states[number] = f.newState(number, e, old, now)
		f.addToLists(f.states[number])
		f.trackWrongState(f.states[number])
		f.heads.update(number, nil, f.states[number].Digest.Heads)
		f.addresses[e.Address] = append(f.addresses[e.Address], number)
	}
}

// removeAddress drops an endpoint from the index by address.
func (f *Fleet) removeAddress(s *State) {
	address := s.Spec.Address
	rest := slices.DeleteFunc(f.addresses[address], func(number uint32) bool { return number == s.Number })
	if len(rest) == 0 {
		delete(f.addresses, address)
		return
	}
	f.addresses[address] = rest
}

// HasAddress reports whether an endpoint has an address.
func (f *Fleet) HasAddress(address string) bool { return len(f.addresses[address]) > 0 }

// DomainAt returns the failure domain of the endpoints at an address; empty: there are none.
func (f *Fleet) DomainAt(address string) string {
	for s := range f.statesOf(slices.Values(f.addresses[address])) {
		return s.Spec.Domain
	}
	return ""
}

// SetNoPath sets until when the endpoints at an address count as out of reach. The zero time ends it.
func (f *Fleet) SetNoPath(address string, until time.Time) {
	for s := range f.statesOf(slices.Values(f.addresses[address])) {
		s.NoPathUntil = until
	}
}

// addToLists adds a state to the lists of its pool and of the routes that select it.
func (f *Fleet) addToLists(s *State) {
	if g := f.pools[s.Spec.Pool]; g != nil {
		g.ForRole(s.Role).add(s)
	}
	for name, g := range f.routes {
		if f.View.RouteByName(name).Selects(s.Spec) {
			g.ForRole(s.Role).add(s)
		}
	}
}

// removeFromLists removes a state from all lists.
func (f *Fleet) removeFromLists(s *State) {
	if g := f.pools[s.Spec.Pool]; g != nil {
		g.ForRole(s.Role).remove(s)
	}
	for _, g := range f.routes {
		g.ForRole(s.Role).remove(s)
	}
}

// newState returns the state of an endpoint and carries over what old holds; old may be nil.
func (f *Fleet) newState(number uint32, e *config.Endpoint, old *State, now time.Time) *State {
	v := f.View
	s := &State{Number: number, Domain: max(0, v.DomainIndex(e.Domain)), Region: v.RegionSet(v.Region[e.Domain]), Role: e.Role,
		Spec: e, Leaving: e.Leaving, Evacuated: v.IsEvacuated(e), Owned: f.owns(number), CutOffUntil: f.cutOff[e.Domain], ColdUntil: e.ColdUntil, Notices: f.noticesFor(number, e.Born), Digest: Digest{Number: number}}
	if p := v.Pools[e.Pool]; p != nil {
		s.Connections = p.Connections
	}
	if old == nil || old.Spec.StartedBefore(e) {
		f.started = append(f.started, e.Address)
	}
	if old != nil {
		s.inherit(old, now)
	} else {
		s.UnconfirmedUntil = f.removed.returned(number, e, v.RosterRevision.Era(), now)
	}
	return s
}

// inherit carries over what was known of the endpoint under another view.
func (s *State) inherit(old *State, now time.Time) {
	if old.Role == s.Role { // else the digest describes another kind of work
		s.Digest, s.DigestAt = old.Digest, old.DigestAt
	}
	s.InFlight, s.Calls, s.UnconfirmedUntil = old.InFlight, old.Calls, old.UnconfirmedUntil
	switch {
	case old.Spec.StartedBefore(s.Spec):
		s.forgetDown(now)
	case old.Spec.Address == s.Spec.Address:
		s.NoPathUntil = old.NoPathUntil
	}
	s.MaybeColdUntil, s.NoPermitUntil, s.RetryAt = old.MaybeColdUntil, old.NoPermitUntil, old.RetryAt
	s.Limit, s.LimitedUntil = old.Limit, old.LimitedUntil
	s.LimitReportedAt, s.LimitAnnouncedAt = old.LimitReportedAt, old.LimitAnnouncedAt
	s.Limit.DropIfRestarted(s.Spec.Born)
	if old.Evacuated && !s.Evacuated {
		s.AssumeCold(now)
	}
}

// forgetDown drops that the owner couldn't reach an earlier process of the endpoint. Digests from before
// now no longer count.
func (s *State) forgetDown(now time.Time) {
	if s.Digest.Flags&FlagDown != 0 {
		s.Digest.Flags &^= FlagDown
		s.DigestAt = now
	}
}

// updateEvacuated applies which failure domains are being evacuated. Endpoints that are no
// longer evacuated are assumed cold.
func (f *Fleet) updateEvacuated(now time.Time) {
	for _, s := range f.states {
		evacuated := f.View.IsEvacuated(s.Spec)
		if s.Evacuated && !evacuated {
			s.AssumeCold(now)
		}
		s.Evacuated = evacuated
	}
}

// SetOwned records whether this host owns an endpoint, which may belong to a later view.
func (f *Fleet) SetOwned(number uint32, own bool) {
	at, there := slices.BinarySearch(f.owned, number)
	switch {
	case own && !there:
		f.owned = slices.Insert(f.owned, at, number)
	case !own && there:
		f.owned = slices.Delete(f.owned, at, at+1)
	}
	if s := f.states[number]; s != nil {
		s.Owned = own
	}
}

// Owned yields the endpoints that this host owns.
func (f *Fleet) Owned() iter.Seq[*State] { return f.statesOf(slices.Values(f.owned)) }

func (f *Fleet) owns(number uint32) bool {
	_, there := slices.BinarySearch(f.owned, number)
	return there
}

// InWrongState yields the endpoints that aren't in the ordered state.
func (f *Fleet) InWrongState() iter.Seq[*State] { return f.statesOf(maps.Keys(f.wrongState)) }

// statesOf yields the states of numbers that are in the view.
func (f *Fleet) statesOf(numbers iter.Seq[uint32]) iter.Seq[*State] {
	return func(yield func(*State) bool) {
		for number := range numbers {
			if s := f.states[number]; s != nil && !yield(s) {
				return
			}
		}
	}
}

// UpdateDigest stores a digest, received now at an age of AgeMillis, if it is fresher than the one
// held. It reports whether the digest was stored.
func (f *Fleet) UpdateDigest(d Digest, now time.Time) bool {
	at := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond)
	s := f.states[d.Number]
	if s == nil || !at.After(s.DigestAt) {
		return false
	}
	if d.Heads == nil {
		d.Heads = s.Digest.Heads
	} else {
		f.heads.update(s.Number, s.Digest.Heads, d.Heads)
	}
	s.Digest, s.DigestAt = d, at
	f.trackWrongState(s)
	return true
}

func (f *Fleet) trackWrongState(s *State) {
	if s.Digest.Flags&FlagWrongState != 0 {
		f.wrongState[s.Number] = true
	} else {
		delete(f.wrongState, s.Number)
	}
}

// DropDigests discards all digests except which prompt heads endpoints have cached.
func (f *Fleet) DropDigests() {
	for _, s := range f.states {
		s.Digest = Digest{Number: s.Number, Heads: s.Digest.Heads}
		s.DigestAt = time.Time{}
	}
	clear(f.wrongState)
	f.software.begin(time.Now()) // versions may have come and gone unseen
}

// SetCutOff sets until when the endpoints of a failure domain count as cut off from this host.
// The zero time ends it; the endpoints are then assumed cold.
func (f *Fleet) SetCutOff(domain string, until, now time.Time) {
	f.cutOff[domain] = until
	if f.View == nil {
		return
	}
	for number := range f.View.InDomain(domain).All() {
		s := f.states[number]
		s.CutOffUntil = until
		if until.IsZero() {
			s.AssumeCold(now)
		}
	}
}
