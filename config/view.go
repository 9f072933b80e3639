package config

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is an accepted revision, indexed for decisions. It is never changed
// after NewView returns, so readers share it without a lock.
type View struct {
	Revision uint64
	Digest   uint64 // xxhash of the source
	Source   []byte // the bytes as published, for peers that are behind
	Doc      *Document

	ByName map[string]*Endpoint
	Number map[string]int // index of an endpoint by name
	Teams  map[string]*Team
	// Numbers, ByNumber and TeamByNumber serve messages, which carry
	// numbers for names.
	Numbers      []uint32
	ByNumber     map[uint32]*Endpoint
	TeamByNumber map[uint32]*Team
	Models       map[string]*Model // by model and adapter name
	Region       map[string]string // region by failure domain
	Routes       []RouteView
}

// RouteView is a route with its selectors parsed and resolved.
type RouteView struct {
	*Route
	requests Selector
	// Prefill, Decode and Service list indices into Doc.Endpoints.
	Prefill, Decode, Service []int
}

// NameNumber returns the number that stands for a name in messages.
func NameNumber(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// NewView parses and indexes one published revision.
func NewView(revision uint64, src []byte) (*View, error) {
	d, err := ParseDocument(src)
	if err != nil {
		return nil, err
	}
	v := &View{
		Revision: revision, Digest: xxhash.Sum64(src), Source: src, Doc: d,
		ByName: map[string]*Endpoint{}, Number: map[string]int{}, Teams: map[string]*Team{},
		Models: map[string]*Model{}, Region: map[string]string{},
		ByNumber: map[uint32]*Endpoint{}, TeamByNumber: map[uint32]*Team{},
	}
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		v.ByName[e.Name] = e
		v.Number[e.Name] = i
		v.Numbers = append(v.Numbers, NameNumber(e.Name))
		v.ByNumber[v.Numbers[i]] = e
	}
	for i := range d.Teams {
		v.Teams[d.Teams[i].Name] = &d.Teams[i]
		v.TeamByNumber[NameNumber(d.Teams[i].Name)] = &d.Teams[i]
	}
	for i := range d.Models {
		m := &d.Models[i]
		v.Models[m.Name] = m
		for _, a := range m.Adapters {
			v.Models[a] = m
		}
	}
	for _, dom := range d.Domains {
		v.Region[dom.Name] = dom.Region
	}
	for i := range d.Routes {
		v.Routes = append(v.Routes, v.resolve(&d.Routes[i]))
	}
	return v, nil
}

// resolve lists a route's endpoints once, so that no selector is evaluated
// for each request.
func (v *View) resolve(r *Route) RouteView {
	rv := RouteView{Route: r}
	rv.requests, _ = ParseSelector(r.Requests)
	list := func(text string, role Role) []int {
		sel, _ := ParseSelector(text)
		var out []int
		for i, e := range v.Doc.Endpoints {
			if e.Role == role && sel.Matches(e.Labels) {
				out = append(out, i)
			}
		}
		return out
	}
	if r.Service != "" {
		rv.Service = list(r.Service, Service)
		return rv
	}
	rv.Prefill = list(r.Prefill, Prefill)
	rv.Decode = list(r.Decode, Decode)
	return rv
}

// Match returns the first route whose selector takes the labels, or nil.
func (v *View) Match(set map[string]string, service bool) *RouteView {
	for i := range v.Routes {
		r := &v.Routes[i]
		if (r.Route.Service != "") == service && r.requests.Matches(set) {
			return r
		}
	}
	return nil
}

// DomainIndex returns the index of a failure domain in the document, or -1.
func (v *View) DomainIndex(name string) int {
	for i, d := range v.Doc.Domains {
		if d.Name == name {
			return i
		}
	}
	return -1
}

// RouteByName returns the route of the name in this revision, or nil.
func (v *View) RouteByName(name string) *RouteView {
	for i := range v.Routes {
		if v.Routes[i].Name == name {
			return &v.Routes[i]
		}
	}
	return nil
}

// Serves reports whether endpoint i is configured for the model or adapter.
func (v *View) Serves(i int, model string) bool {
	e := &v.Doc.Endpoints[i]
	return e.Model == model || slices.Contains(e.Adapters, model)
}

// WantVersion returns the model version that endpoint e should run.
func (v *View) WantVersion(e *Endpoint) string {
	if e.Version != "" {
		return e.Version
	}
	if m := v.Models[e.Model]; m != nil {
		return m.Version
	}
	return ""
}

// FullShare returns the share of reservations that may find the engine still
// full when they come: owners learn a margin by which it comes about. It rises
// with the weight of goodput, which overbooking helps, and falls with that of
// wasted prefill.
func (v *View) FullShare() float64 {
	w := v.Doc.Weights
	return leastFull + moreFull*w.Goodput/(w.Goodput+w.WastedPrefill)
}

const (
	leastFull = 0.02
	moreFull  = 0.10
)

// Patience returns the part of a request's slack for which its prefill may be
// held back while many callers leave early, so that less is read for them. It
// is 0 unless wasted prefill weighs more than goodput.
func (v *View) Patience() float64 {
	w := v.Doc.Weights
	return mostPatience * max(0, w.WastedPrefill-w.Goodput) / (w.Goodput + w.WastedPrefill)
}

const mostPatience = 0.6
