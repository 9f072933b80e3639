package config

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/embercove/embercove/internal/trie"
)

// Endpoints are endpoints by the numbers of their names. What is in them is never changed.
type Endpoints = trie.Map[Endpoint]

// EndpointsOf returns a list by number. Where two names have one number, which messages
// couldn't tell apart, the first by name stays.
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

// displaced reports whether another endpoint holds the number of e's name, and keeps it.
func (e *Endpoint) displaced(other *Endpoint) bool { return other != nil && other.Name < e.Name }

// Put returns the endpoints with e in them, unless another keeps its number.
func Put(to Endpoints, e *Endpoint) Endpoints {
	number := NameNumber(e.Name)
	if e.displaced(to.Get(number)) {
		return to
	}
	return to.With(number, e)
}

// Apply returns the endpoints with others in the places of some numbers; nil: none. Where
// most are replaced it builds them anew, which takes far less than one after the other.
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

// Remove returns the endpoints without the one of a name.
func Remove(from Endpoints, name string) Endpoints {
	number := NameNumber(name)
	if e := from.Get(number); e == nil || e.Name != name {
		return from
	}
	return from.Without(number)
}

// Roster is the set of endpoints that registered themselves, and the failure domains
// that are being emptied, as of one revision of wherever that is published. Unlike a
// document it changes with every endpoint that comes, changes or goes.
type Roster struct {
	Revision  Position
	Endpoints Endpoints
	Evacuated []Evacuation // one for each failure domain, known to a document or not
}

// Lapsed knows which endpoints of a roster are without a registration, while the roster
// changes. The zero value knows none.
type Lapsed struct{ of map[uint32]*Endpoint }

// Note takes in that the endpoint of a number is another one; nil: it is gone.
func (l *Lapsed) Note(number uint32, now *Endpoint) {
	if now == nil || now.Lapsed.IsZero() {
		delete(l.of, number)
		return
	}
	if l.of == nil {
		l.of = map[uint32]*Endpoint{}
	}
	l.of[number] = now
}

// All returns the endpoints.
func (l *Lapsed) All() []*Endpoint { return slices.Collect(maps.Values(l.of)) }

// Expired returns those that count as gone.
func (l *Lapsed) Expired(now time.Time) (out []*Endpoint) {
	for _, e := range l.of {
		if e.Expired(now) {
			out = append(out, e)
		}
	}
	return out
}

// CheckRegistered returns what is wrong with an endpoint that registered
// itself, or nil. Sizes are not checked: a pool gives them.
func CheckRegistered(e *Endpoint) error {
	var c checker
	c.name("name", e.Name)
	c.address("address", e.Address)
	c.name("failure_domain", e.Domain)
	c.name("pool", e.Pool)
	c.oneOf("role", string(e.Role), string(Prefill), string(Decode), string(Service))
	if len(c.errs) > 0 {
		return c.errs
	}
	return nil
}

// WithRoster returns a view of the same document with the endpoints of r
// beside the document's own. Endpoints of pools or failure domains that the
// document doesn't know are left out until it does. It takes as long as the endpoints
// are many that differ from the view's roster, however many there are in all.
func (v *View) WithRoster(r *Roster) *View {
	if r == nil {
		return v
	}
	out := *v
	out.Roster, out.roster, out.Evacuated = r.Revision, r, EvacuationsByDomain(r.Evacuated)
	if v.roster == nil {
		out.indexEndpoints()
		return &out
	}
	out.byDomain = slices.Clone(v.byDomain)
	trie.Diff(v.roster.Endpoints, r.Endpoints, func(number uint32, _, now *Endpoint) { out.replace(number, out.registered(now)) })
	return &out
}

// WithRosterOf returns a view with the roster of another view, of another document. Where
// the documents say the same of pools, failure domains and endpoints of their own, what the
// other view holds of endpoints is taken over.
func (v *View) WithRosterOf(other *View) *View {
	if other == nil || !v.sameLayout(other) {
		return v.WithRoster(other.rosterOrNone())
	}
	out := *v
	out.Roster, out.roster, out.Evacuated = other.Roster, other.roster, other.Evacuated
	out.Endpoints, out.byDomain, out.layout = other.Endpoints, other.byDomain, other.layout
	return &out
}

func (v *View) rosterOrNone() *Roster {
	if v == nil {
		return nil
	}
	return v.roster
}

// layout is what a document says of endpoints. Views that share one lay them out alike.
type layout struct {
	pools     []Pool
	domains   []Domain
	endpoints []Endpoint
}

func (v *View) sameLayout(other *View) bool { return reflect.DeepEqual(v.layout, other.layout) }

// SharesLayout reports whether another view lays out endpoints alike, so that only those
// which differ between the views have to be looked at.
func (v *View) SharesLayout(other *View) bool { return other != nil && v.layout == other.layout }

// indexEndpoints fills in the endpoints of the document and the roster.
func (v *View) indexEndpoints() {
	known := make([]*Endpoint, 0, len(v.Doc.Endpoints))
	for i := range v.Doc.Endpoints {
		known = append(known, &v.Doc.Endpoints[i])
	}
	if v.roster != nil {
		for _, e := range v.roster.Endpoints.All() {
			if e = v.registered(e); e != nil {
				known = append(known, e)
			}
		}
	}
	v.Endpoints = EndpointsOf(known)
	in := make([][]*Endpoint, len(v.Doc.Domains))
	for _, e := range known {
		if i := v.DomainIndex(e.Domain); i >= 0 {
			in[i] = append(in[i], e)
		}
	}
	v.byDomain = make([]Endpoints, len(in))
	for i := range in {
		v.byDomain[i] = EndpointsOf(in[i])
	}
}

// registered returns an endpoint of the roster with what its pool states; nil: the
// document doesn't know its pool or its failure domain.
func (v *View) registered(e *Endpoint) *Endpoint {
	if e == nil || v.Pools[e.Pool] == nil || v.DomainIndex(e.Domain) < 0 {
		return nil
	}
	whole := *e
	whole.take(v.Pools[e.Pool])
	return &whole
}

// replace puts an endpoint in the place of that of its number; nil: it takes it out.
func (v *View) replace(number uint32, e *Endpoint) {
	old := v.Endpoints.Get(number)
	if old != nil && !old.Registered {
		return // the document's own stays
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

// Endpoint returns the endpoint of a name, or nil.
func (v *View) Endpoint(name string) *Endpoint {
	if e := v.Endpoints.Get(NameNumber(name)); e != nil && e.Name == name {
		return e
	}
	return nil
}

// take fills in what the pool states and the endpoint doesn't.
func (e *Endpoint) take(p *Pool) {
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
	e.GrowsMemory = p.Engines()
}

// Differing calls f for each endpoint that differs between two views of one layout, by its
// number, with that of the later view; nil: it is gone.
func Differing(old, now *View, f func(number uint32, e *Endpoint)) {
	trie.Diff(old.Endpoints, now.Endpoints, func(number uint32, _, e *Endpoint) { f(number, e) })
}
