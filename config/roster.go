package config

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/embercove/embercove/internal/trie"
)

// Endpoints maps the numbers of names to endpoints, which must not be modified.
type Endpoints = trie.Map[Endpoint]

// EndpointsOf returns a map of the list by number. If two names have the same number, messages
// couldn't distinguish them, so only the first by name is kept.
func EndpointsOf(list []*Endpoint) Endpoints {
	kept := make(map[uint32]*Endpoint, len(list))
	for _, e := range list {
		number := NameNumber(e.Name)
		if other := kept[number]; other == nil || !e.displaced(other) {
			kept[number] = e
		}
	}
	return trie.Collect(maps.All(kept))
}

// displaced reports whether another endpoint with the number of e's name has precedence.
func (e *Endpoint) displaced(other *Endpoint) bool { return other != nil && other.Name < e.Name }

// Put returns the endpoints with e added, unless another endpoint with its number has precedence.
func Put(to Endpoints, e *Endpoint) Endpoints {
	number := NameNumber(e.Name)
	if e.displaced(to.Get(number)) {
		return to
	}
	return to.With(number, e)
}

// Apply returns the endpoints with some replaced by number, or removed where the change is nil.
// If most are replaced it rebuilds the map, which is much cheaper than single changes.
func Apply(to Endpoints, changes map[uint32]*Endpoint) Endpoints {
	if 2*len(changes) < to.Len() {
		for number, e := range changes {
			if e == nil {
				to = to.Without(number)
			} else {
				to = to.With(number, e)
			}
		}
		return to
	}
	rows := maps.Collect(to.All())
	for number, e := range changes {
		if e == nil {
			delete(rows, number)
		} else {
			rows[number] = e
		}
	}
	return trie.Collect(maps.All(rows))
}

// Remove returns the endpoints without the named one.
func Remove(from Endpoints, name string) Endpoints {
	number := NameNumber(name)
	if e := from.Get(number); e == nil || e.Name != name {
		return from
	}
	return from.Without(number)
}

// Roster is the set of self-registered endpoints and of evacuated failure domains, as of one
// revision of the store. Unlike a document it changes whenever an endpoint is added, changes
// or is removed.
type Roster struct {
	Revision  Position
	Endpoints Endpoints
	Evacuated []Evacuation // at most one per failure domain, also of domains not in the document
}

// ExpiredEndpoints tracks the endpoints of a roster whose registrations have expired. The zero value is
// empty.
type ExpiredEndpoints struct{ byNumber map[uint32]*Endpoint }

// Note records the new endpoint of a number, or nil if it was removed.
func (l *ExpiredEndpoints) Note(number uint32, now *Endpoint) {
	if now == nil || now.Lapsed.IsZero() {
		delete(l.byNumber, number)
		return
	}
	if l.byNumber == nil {
		l.byNumber = map[uint32]*Endpoint{}
	}
	l.byNumber[number] = now
}

// All returns the endpoints.
func (l *ExpiredEndpoints) All() []*Endpoint { return slices.Collect(maps.Values(l.byNumber)) }

// PastGrace returns the endpoints that count as gone.
func (l *ExpiredEndpoints) PastGrace(now time.Time) (out []*Endpoint) {
	for _, e := range l.byNumber {
		if e.PastGrace(now) {
			out = append(out, e)
		}
	}
	return out
}

// CheckRegistered checks a self-registered endpoint. Sizes are not checked, because the pool
// provides them.
func CheckRegistered(e *Endpoint) error {
	var c checker
	c.text("name", e.Name)
	c.peerAddress("address", e.Address)
	c.text("failure_domain", e.Domain)
	c.text("pool", e.Pool)
	c.oneOf("role", string(e.Role), string(Prefill), string(Decode), string(Service))
	if len(c.errs) > 0 {
		return c.errs
	}
	return nil
}

// WithRoster returns a view of the same document with the endpoints of r in addition to the
// document's own. Endpoints of pools or failure domains that the document doesn't contain are
// left out until it does. The cost depends on the number of endpoints that differ from the view's
// roster, not on their total number.
func (v *View) WithRoster(r *Roster) *View {
	if r == nil {
		return v
	}
	out := *v
	out.RosterRevision, out.roster, out.Evacuated = r.Revision, r, EvacuationsByDomain(r.Evacuated)
	if v.roster == nil {
		out.indexEndpoints()
		return &out
	}
	out.byDomain = slices.Clone(v.byDomain)
	trie.Diff(v.roster.Endpoints, r.Endpoints, func(number uint32, _, now *Endpoint) { out.replaceEndpoint(number, out.completeFromPool(now)) })
	return &out
}

// WithRosterOf returns a view with the roster of a view of another document. If the documents have
// the same pools, failure domains and endpoints, the other view's index of endpoints is reused.
func (v *View) WithRosterOf(other *View) *View {
	if other == nil || !v.sameLayout(other) {
		return v.WithRoster(other.rosterOrNone())
	}
	out := *v
	out.RosterRevision, out.roster, out.Evacuated = other.RosterRevision, other.roster, other.Evacuated
	out.Endpoints, out.byDomain, out.layout = other.Endpoints, other.byDomain, other.layout
	return &out
}

func (v *View) rosterOrNone() *Roster {
	if v == nil {
		return nil
	}
	return v.roster
}

// layout is the part of a document that determines the index of endpoints. Views with the same
// layout and roster have the same index.
type layout struct {
	pools     []Pool
	domains   []Domain
	endpoints []Endpoint
}

func (v *View) sameLayout(other *View) bool { return reflect.DeepEqual(v.layout, other.layout) }

// SharesLayout reports whether another view has the same layout, so that only the endpoints that
// differ between the views have to be considered.
func (v *View) SharesLayout(other *View) bool { return other != nil && v.layout == other.layout }

// indexEndpoints builds the index of the endpoints of the document and the roster.
func (v *View) indexEndpoints() {
	known := make([]*Endpoint, 0, len(v.Doc.Endpoints))
	for i := range v.Doc.Endpoints {
		known = append(known, &v.Doc.Endpoints[i])
	}
	if v.roster != nil {
		for _, e := range v.roster.Endpoints.All() {
			if e = v.completeFromPool(e); e != nil {
				known = append(known, e)
			}
		}
	}
	v.Endpoints = EndpointsOf(known)
	lists := make([][]*Endpoint, len(v.Doc.Domains))
	for _, e := range known {
		if i := v.DomainIndex(e.Domain); i >= 0 {
			lists[i] = append(lists[i], e)
		}
	}
	v.byDomain = make([]Endpoints, len(lists))
	for i := range lists {
		v.byDomain[i] = EndpointsOf(lists[i])
	}
}

// completeFromPool returns an endpoint of the roster completed by its pool, or nil if the document
// doesn't contain its pool or its failure domain.
func (v *View) completeFromPool(e *Endpoint) *Endpoint {
	if e == nil || v.Pools[e.Pool] == nil || v.DomainIndex(e.Domain) < 0 {
		return nil
	}
	out := *e
	out.applyPool(v.Pools[e.Pool])
	return &out
}

// replaceEndpoint replaces the endpoint of a number, or removes it if e is nil.
func (v *View) replaceEndpoint(number uint32, e *Endpoint) {
	old := v.Endpoints.Get(number)
	if old != nil && !old.Registered {
		return // the document's endpoints have precedence
	}
	if old != nil && (e == nil || e.Domain != old.Domain) {
		i := v.DomainIndex(old.Domain)
		v.byDomain[i] = v.byDomain[i].Without(number)
	}
	if e == nil {
		v.Endpoints = v.Endpoints.Without(number)
		return
	}
	v.Endpoints = v.Endpoints.With(number, e)
	i := v.DomainIndex(e.Domain)
	v.byDomain[i] = v.byDomain[i].With(number, e)
}

// InDomain returns the endpoints of a failure domain.
func (v *View) InDomain(name string) Endpoints {
	if i := v.DomainIndex(name); i >= 0 {
		return v.byDomain[i]
	}
	return Endpoints{}
}

// Endpoint returns the named endpoint, or nil.
func (v *View) Endpoint(name string) *Endpoint {
	if e := v.Endpoints.Get(NameNumber(name)); e != nil && e.Name == name {
		return e
	}
	return nil
}

// applyPool sets the properties that the pool states and the endpoint doesn't.
func (e *Endpoint) applyPool(p *Pool) {
	e.Registered = true
	setInt(&e.MemoryTokens, p.MemoryTokens)
	setInt(&e.Slots, max(1, p.Slots))
	setInt(&e.ResultKeepMillis, p.ResultKeepMillis)
	setInt(&e.StepMicros, p.StepMicros)
	setInt(&e.StepMicrosEach, p.StepMicrosEach)
	setInt(&e.TokensPerPiece, p.TokensPerPiece)
	if e.TokensPerSecond == 0 {
		e.TokensPerSecond = p.TokensPerSecond
	}
	if e.LinkBytesPerSecond == 0 {
		e.LinkBytesPerSecond = p.LinkBytesPerSecond
	}
	setInt(&e.ColdStartMillis, p.ColdStartMillis)
	if e.ColdPerSecond == 0 {
		e.ColdPerSecond = p.ColdPerSecond
	}
	e.NotRepeatableAllows = e.NotRepeatableAllows || p.NotRepeatableAllows
	e.GrowsMemory = p.HasEngines()
}

// EachDifference calls f for each endpoint that differs between two views of one layout, with its
// number and the later view's endpoint, which is nil if the endpoint was removed.
func EachDifference(old, now *View, f func(number uint32, e *Endpoint)) {
	trie.Diff(old.Endpoints, now.Endpoints, func(number uint32, _, e *Endpoint) { f(number, e) })
}
