package config

import (
	"slices"
	"strings"
	"time"
)

// Roster is the set of endpoints that registered themselves, and the failure domains
// that are being emptied, as of one revision of wherever that is published. Unlike a
// document it changes with every endpoint that comes, changes or goes.
type Roster struct {
	Revision  uint64
	Endpoints []Endpoint
	Evacuated []Evacuation // one for each failure domain, known to a document or not
}

// byName returns the endpoints in the order of their names.
func byName(list []Endpoint) []*Endpoint {
	out := make([]*Endpoint, len(list))
	for i := range list {
		out[i] = &list[i]
	}
	slices.SortFunc(out, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// AnyExpired reports whether an endpoint counts as gone.
func (r *Roster) AnyExpired(now time.Time) bool {
	for i := range r.Endpoints {
		if r.Endpoints[i].Expired(now) {
			return true
		}
	}
	return false
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
// document doesn't know are left out until it does.
func (v *View) WithRoster(r *Roster) *View {
	if r == nil {
		return v
	}
	doc := *v.Doc
	doc.Endpoints = slices.DeleteFunc(slices.Clone(v.Doc.Endpoints), func(e Endpoint) bool { return e.Registered })
	own := len(doc.Endpoints)
	doc.Endpoints = slices.Grow(doc.Endpoints, len(r.Endpoints))
	for _, e := range byName(r.Endpoints) {
		pool := v.Pools[e.Pool]
		if pool == nil || v.DomainIndex(e.Domain) < 0 {
			continue
		}
		doc.Endpoints = append(doc.Endpoints, *e)
		doc.Endpoints[len(doc.Endpoints)-1].take(pool)
	}
	out := &View{Revision: v.Revision, Digest: v.Digest, Source: v.Source, Doc: &doc, Roster: r.Revision, registered: len(doc.Endpoints) - own,
		Evacuated: EvacuationsByDomain(r.Evacuated)}
	out.index()
	return out
}

// Outdated reports whether a later roster takes an endpoint away, or work from one, that
// the view may still give work to, tells of a new start of one, whether the view has only
// few of its endpoints, or whether other failure domains are being emptied.
func (v *View) Outdated(r *Roster) bool {
	if !v.SameEvacuations(r) {
		return true
	}
	kept := 0
	for i := range r.Endpoints {
		e := &r.Endpoints[i]
		old := v.ByName[e.Name]
		if old == nil || !old.Registered {
			continue
		}
		kept++
		if e.Leaving && !old.Leaving || e.Lapsed != old.Lapsed || e.ColdUntil.Sub(old.ColdUntil) > SameCold || e.Address != old.Address || e.Pool != old.Pool || e.Born != old.Born {
			return true
		}
	}
	return kept < v.registered || 2*kept < len(r.Endpoints)
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
