package route

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/embercove/embercove/config"
)

// Fleet is the endpoints of a view as one host sees them, ready to decide from.
type Fleet struct {
	View   *config.View
	states map[uint32]*State
	pools  map[string]*Group    // endpoints of pools
	routes map[string]*Group    // endpoints of routes with selectors
	cutOff map[string]time.Time // until when failure domains count as cut off
	own    []uint32             // endpoints that this host owns, sorted: choices are the same each time
	wrong  map[uint32]bool      // endpoints that aren't in the state that was ordered
	heads  heads
	looks  Looks

	gone        goneTable
	notices     map[uint32]*Notices // of endpoints that said anything, also of some that are gone
	noticesLeft int                 // when those of endpoints that are gone were dropped last
}

// Group lists the endpoints that a request may go to.
type Group struct {
	Prefill, Decode, Service List
}

// Of returns the list of a role.
func (g *Group) Of(r config.Role) *List {
	switch r {
	case config.Prefill:
		return &g.Prefill
	case config.Decode:
		return &g.Decode
	}
	return &g.Service
}

// NewFleet returns the endpoints of a view, of which nothing is known yet.
func NewFleet(v *config.View) *Fleet {
	f := &Fleet{cutOff: map[string]time.Time{}, wrong: map[uint32]bool{}, heads: heads{}, looks: standingLooks, notices: map[uint32]*Notices{}}
	if v != nil {
		f.Fit(v, time.Time{})
	}
	return f
}

// Len returns the number of endpoints.
func (f *Fleet) Len() int { return len(f.states) }

// Find returns the state of the endpoint of a number, or nil.
func (f *Fleet) Find(number uint32) *State { return f.states[number] }

// All yields all states, in no order.
func (f *Fleet) All() iter.Seq[*State] { return maps.Values(f.states) }

// In yields the states of a failure domain.
func (f *Fleet) In(domain string) iter.Seq[*State] {
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

// Group returns the endpoints of a pool that a route leads to, or of a route with selectors,
// where the pool is empty; nil: the document has none such.
func (f *Fleet) Group(r *config.RouteView, pool string) *Group {
	if pool == "" {
		return f.routes[r.Name]
	}
	return f.pools[pool]
}

// Alike returns the endpoints of a pool, role and failure domain that an endpoint has; where
// it is of no pool, all endpoints of its role.
func (f *Fleet) Alike(e *config.Endpoint) (out []*State) {
	if g := f.pools[e.Pool]; g != nil {
		return g.Of(e.Role).In(max(0, f.View.DomainIndex(e.Domain)))
	}
	for _, s := range f.states {
		if s.Role == e.Role && s.Spec.Pool == e.Pool {
			out = append(out, s)
		}
	}
	return out
}

// Fit goes on to another view. What is known of endpoints that stay is kept. Only those that
// differ between the views are looked at, unless the document lays them out anew.
func (f *Fleet) Fit(v *config.View, now time.Time) {
	old := f.View
	if old == v {
		return
	}
	f.View = v
	if !v.SharesLayout(old) {
		f.layOut(now)
		return
	}
	if v.Doc != old.Doc {
		f.routes = nil // of the document before
	}
	config.Differing(old, v, func(number uint32, e *config.Endpoint) { f.change(number, e, now) })
	if v.Doc != old.Doc {
		f.layOutRoutes()
	}
	if !maps.Equal(old.Evacuated, v.Evacuated) {
		f.evacuate(now)
	}
}

// layOut looks at all endpoints of the view anew.
func (f *Fleet) layOut(now time.Time) {
	before := f.states
	clear(f.wrong)
	clear(f.heads)
	f.states, f.pools, f.routes = make(map[uint32]*State, f.View.Endpoints.Len()), map[string]*Group{}, map[string]*Group{}
	for name := range f.View.Pools {
		f.pools[name] = new(Group)
	}
	for number, e := range f.View.Endpoints.All() {
		f.states[number] = f.state(number, e, before[number], now)
		f.enlist(f.states[number])
		f.noteWrong(f.states[number])
		f.heads.change(number, nil, f.states[number].Digest.Heads)
	}
	for number, s := range before {
		if f.states[number] == nil {
			f.gone.note(number, s.Spec, f.View.Roster.Era(), now)
		}
	}
	f.layOutRoutes()
}

// layOutRoutes lists the endpoints of each route with selectors.
func (f *Fleet) layOutRoutes() {
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
				g.Of(s.Role).put(s)
			}
		}
	}
}

// change takes in that the endpoint of a number is another one; nil: it is gone.
func (f *Fleet) change(number uint32, e *config.Endpoint, now time.Time) {
	old := f.states[number]
	if old != nil {
		f.strike(old)
		f.heads.change(number, old.Digest.Heads, nil)
		delete(f.states, number)
		delete(f.wrong, number)
		if e == nil {
			f.gone.note(number, old.Spec, f.View.Roster.Era(), now)
		}
	}
	if e != nil {
		f.states[number] = f.state(number, e, old, now)
		f.enlist(f.states[number])
		f.noteWrong(f.states[number])
		f.heads.change(number, nil, f.states[number].Digest.Heads)
	}
}

// enlist puts a state on the lists that it belongs to.
func (f *Fleet) enlist(s *State) {
	if g := f.pools[s.Spec.Pool]; g != nil {
		g.Of(s.Role).put(s)
	}
	for name, g := range f.routes {
		if f.View.RouteByName(name).Selects(s.Spec) {
			g.Of(s.Role).put(s)
		}
	}
}

// strike takes a state off all lists.
func (f *Fleet) strike(s *State) {
	if g := f.pools[s.Spec.Pool]; g != nil {
		g.Of(s.Role).remove(s)
	}
	for _, g := range f.routes {
		g.Of(s.Role).remove(s)
	}
}

// state returns the state of an endpoint, with what was known of it before; nil: nothing.
func (f *Fleet) state(number uint32, e *config.Endpoint, old *State, now time.Time) *State {
	v := f.View
	s := &State{Number: number, Domain: max(0, v.DomainIndex(e.Domain)), Region: v.RegionSet(v.Region[e.Domain]), Role: e.Role,
		Spec: e, Leaving: e.Leaving, Evacuated: v.Emptied(e), Own: f.owns(number), CutOff: f.cutOff[e.Domain], ColdUntil: e.ColdUntil, Notices: f.noticesOf(number, e.Born), Digest: Digest{Number: number}}
	if p := v.Pools[e.Pool]; p != nil {
		s.Connections = p.Connections
	}
	if old != nil {
		s.inherit(old, now)
	} else {
		s.Doubted = f.gone.back(number, e, v.Roster.Era(), now)
	}
	return s
}

// inherit takes over what was known of the endpoint under another view.
func (s *State) inherit(old *State, now time.Time) {
	if old.Role == s.Role { // else it tells of other work
		s.Digest, s.At = old.Digest, old.At
	}
	s.Sent, s.Seen, s.Doubted = old.Sent, old.Seen, old.Doubted
	s.MaybeCold, s.NoStart, s.Back = old.MaybeCold, old.NoStart, old.Back
	s.Limit, s.LimitedUntil = old.Limit, old.LimitedUntil
	s.LimitTold, s.LimitNews = old.LimitTold, old.LimitNews
	s.Limit.Restarted(s.Spec.Born)
	if old.Evacuated && !s.Evacuated {
		s.Suspect(now)
	}
}

// evacuate takes in which failure domains are being emptied.
func (f *Fleet) evacuate(now time.Time) {
	for _, s := range f.states {
		emptied := f.View.Emptied(s.Spec)
		if s.Evacuated && !emptied {
			s.Suspect(now)
		}
		s.Evacuated = emptied
	}
}

// SetOwn notes whether this host owns an endpoint, of this view or of a later one.
func (f *Fleet) SetOwn(number uint32, own bool) {
	at, there := slices.BinarySearch(f.own, number)
	switch {
	case own && !there:
		f.own = slices.Insert(f.own, at, number)
	case !own && there:
		f.own = slices.Delete(f.own, at, at+1)
	}
	if s := f.states[number]; s != nil {
		s.Own = own
	}
}

// Own yields the endpoints that this host owns.
func (f *Fleet) Own() iter.Seq[*State] { return f.among(slices.Values(f.own)) }

func (f *Fleet) owns(number uint32) bool {
	_, there := slices.BinarySearch(f.own, number)
	return there
}

// Wrong yields the endpoints that aren't in the state that was ordered.
func (f *Fleet) Wrong() iter.Seq[*State] { return f.among(maps.Keys(f.wrong)) }

// among yields the states of some numbers.
func (f *Fleet) among(numbers iter.Seq[uint32]) iter.Seq[*State] {
	return func(yield func(*State) bool) {
		for number := range numbers {
			if s := f.states[number]; s != nil && !yield(s) {
				return
			}
		}
	}
}

// Learn takes in a digest that was age old when it came; the fresher one
// stays. It reports whether the digest was taken.
func (f *Fleet) Learn(d Digest, now time.Time) bool {
	at := now.Add(-time.Duration(d.AgeMillis) * time.Millisecond)
	s := f.states[d.Number]
	if s == nil || !at.After(s.At) {
		return false
	}
	if d.Heads == nil {
		d.Heads = s.Digest.Heads
	} else {
		f.heads.change(s.Number, s.Digest.Heads, d.Heads)
	}
	s.Digest, s.At = d, at
	f.noteWrong(s)
	return true
}

func (f *Fleet) noteWrong(s *State) {
	if s.Digest.Flags&FlagWrong != 0 {
		f.wrong[s.Number] = true
	} else {
		delete(f.wrong, s.Number)
	}
}

// Drop forgets every digest but what endpoints have cached.
func (f *Fleet) Drop() {
	for _, s := range f.states {
		s.Digest = Digest{Number: s.Number, Heads: s.Digest.Heads}
		s.At = time.Time{}
	}
	clear(f.wrong)
}

// SetCutOff sets until when a failure domain's endpoints are out of the
// question; the zero time ends it.
func (f *Fleet) SetCutOff(domain string, until, now time.Time) {
	f.cutOff[domain] = until
	if f.View == nil {
		return
	}
	for number := range f.View.InDomain(domain).All() {
		s := f.states[number]
		s.CutOff = until
		if until.IsZero() {
			s.Suspect(now)
		}
	}
}
