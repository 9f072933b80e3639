package config

import (
	"crypto/sha256"
	"slices"
	"strings"

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
	teamByKey    map[[sha256.Size]byte]*Team
	Models       map[string]*Model // by model and adapter name
	Region       map[string]string // region by failure domain
	RegionNames  []string          // in the order of Regions
	Routes       []RouteView
	Pools        map[string]*Pool
	// Roster is the revision of the endpoints that registered themselves.
	Roster uint64
	// Evacuated are the failure domains that are being emptied.
	Evacuated map[string]Evacuation

	registered int // endpoints of the roster

	byName map[string]*RouteView
	byPath map[string]*RouteView // by host and prefix
	groups map[string]*Group     // by pool
}

// Group lists the endpoints that a request may go to, as indices into
// Doc.Endpoints.
type Group struct {
	Prefill, Decode, Service []int
}

// Share is a part of a route's requests and where it goes.
type Share struct {
	Pool   *Pool
	Weight int
	Group  *Group
}

// RouteView is a route with its selectors parsed and resolved.
type RouteView struct {
	*Route
	requests Selector
	Group    Group
	// Shares are set on routes that name pools; Group then is empty.
	Shares []Share
}

// NameNumber returns the number that stands for a name in messages.
func NameNumber(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// NewView parses and indexes one published revision.
func NewView(revision uint64, src []byte) (*View, error) {
	d, err := ParseDocument(src)
	if err != nil {
		return nil, err
	}
	v := &View{Revision: revision, Digest: xxhash.Sum64(src), Source: src, Doc: d}
	v.index()
	return v, nil
}

// index fills in everything that is worked out from the document.
func (v *View) index() {
	d := v.Doc
	v.ByName, v.Number, v.Teams = map[string]*Endpoint{}, map[string]int{}, map[string]*Team{}
	v.Models, v.Region, v.Pools = map[string]*Model{}, map[string]string{}, map[string]*Pool{}
	v.teamByKey = map[[sha256.Size]byte]*Team{}
	v.ByNumber, v.TeamByNumber, v.Numbers = map[uint32]*Endpoint{}, map[uint32]*Team{}, nil
	v.byName, v.byPath, v.groups = map[string]*RouteView{}, map[string]*RouteView{}, map[string]*Group{}
	for i := range d.Pools {
		v.Pools[d.Pools[i].Name] = &d.Pools[i]
		v.groups[d.Pools[i].Name] = new(Group)
	}
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		v.ByName[e.Name] = e
		v.Number[e.Name] = i
		v.Numbers = append(v.Numbers, NameNumber(e.Name))
		v.ByNumber[v.Numbers[i]] = e
		if g := v.groups[e.Pool]; g != nil {
			g.add(i, e.Role)
		}
	}
	for i := range d.Teams {
		v.Teams[d.Teams[i].Name] = &d.Teams[i]
		v.TeamByNumber[NameNumber(d.Teams[i].Name)] = &d.Teams[i]
		v.indexKeys(&d.Teams[i])
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
	v.indexRegions()
	v.Routes = make([]RouteView, len(d.Routes))
	for i := range d.Routes {
		v.Routes[i] = v.resolve(&d.Routes[i])
		v.byName[d.Routes[i].Name] = &v.Routes[i]
		if d.Routes[i].PathPrefix != "" {
			v.byPath[d.Routes[i].Host+d.Routes[i].PathPrefix] = &v.Routes[i]
		}
	}
}

// add puts an endpoint of a role into the group.
func (g *Group) add(i int, role Role) {
	switch role {
	case Prefill:
		g.Prefill = append(g.Prefill, i)
	case Decode:
		g.Decode = append(g.Decode, i)
	case Service:
		g.Service = append(g.Service, i)
	}
}

// resolve lists a route's endpoints once, so that no selector is evaluated
// for each request.
func (v *View) resolve(r *Route) RouteView {
	rv := RouteView{Route: r}
	if r.PathPrefix != "" {
		for _, s := range r.Pools {
			rv.Shares = append(rv.Shares, Share{Pool: v.Pools[s.Pool], Weight: s.Weight, Group: v.groups[s.Pool]})
		}
		return rv
	}
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
		rv.Group.Service = list(r.Service, Service)
		return rv
	}
	rv.Group.Prefill = list(r.Prefill, Prefill)
	rv.Group.Decode = list(r.Decode, Decode)
	return rv
}

// Match returns the first route whose selector takes the labels, or nil.
func (v *View) Match(set map[string]string, service bool) *RouteView {
	for i := range v.Routes {
		r := &v.Routes[i]
		if r.PathPrefix == "" && (r.Route.Service != "") == service && r.requests.Matches(set) {
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
func (v *View) RouteByName(name string) *RouteView { return v.byName[name] }

// RouteFor returns the route of a host whose prefix is the longest that
// begins the path, or nil.
func (v *View) RouteFor(host, path string) *RouteView {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := v.byPath[host+path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Draw returns one of the route's shares by weight, for a number that is
// spread evenly. A route with selectors has none and returns nil.
func (r *RouteView) Draw(n uint64) *Share {
	sum := 0
	for i := range r.Shares {
		sum += r.Shares[i].Weight
	}
	if sum == 0 {
		return r.first()
	}
	at := int(n % uint64(sum))
	for i := range r.Shares {
		if at -= r.Shares[i].Weight; at < 0 {
			return &r.Shares[i]
		}
	}
	return nil
}

func (r *RouteView) first() *Share {
	if len(r.Shares) == 0 {
		return nil
	}
	return &r.Shares[0]
}

// Reaches returns the group of endpoints that a request of a pool may go to
// under this route; nil if the route no longer leads to the pool. Routes with
// selectors have one group for all.
func (r *RouteView) Reaches(pool string) *Group {
	if len(r.Shares) == 0 {
		return &r.Group
	}
	for i := range r.Shares {
		if r.Shares[i].Pool.Name == pool {
			return r.Shares[i].Group
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
