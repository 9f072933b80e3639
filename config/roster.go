package config

import (
	"slices"
	"strings"
	"time"
)

// Roster is the set of endpoints that registered themselves, as of one
// revision of wherever they do so. Unlike a document it changes with every
// endpoint that comes, changes or goes.
type Roster struct {
	Revision  uint64
	Endpoints []Endpoint
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
	rows := slices.Clone(r.Endpoints)
	slices.SortFunc(rows, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	for i := range rows {
		pool := v.Pools[rows[i].Pool]
		if pool == nil || v.DomainIndex(rows[i].Domain) < 0 {
			continue
		}
		rows[i].take(pool)
		doc.Endpoints = append(doc.Endpoints, rows[i])
	}
	out := &View{Revision: v.Revision, Digest: v.Digest, Source: v.Source, Doc: &doc, Roster: r.Revision}
	out.index()
	return out
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
	e.NotRepeatableAllows = e.NotRepeatableAllows || p.NotRepeatableAllows
	e.GrowsMemory = p.Engines()
}
