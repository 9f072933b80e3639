package config

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is an accepted revision, indexed for decisions. It is immutable after NewView returns, so
// it can be read without a lock.
type View struct {
	Revision uint64
	Digest   uint64 // xxhash of the source
	Source   []byte // the bytes as published, for peers that are behind
	Doc      *Document

	// Endpoints are the document's endpoints and the self-registered ones.
	Endpoints Endpoints
	Teams     map[string]*Team
	// TeamByNumber is needed for messages, which carry numbers instead of names.
	TeamByNumber map[uint32]*Team
	teamByKey    map[[sha256.Size]byte]*Team
	Models       map[string]*Model // by model and adapter name
	Region       map[string]string // region by failure domain
	RegionNames  []string          // in the order of Regions
	Routes       []RouteView
	Pools        map[string]*Pool
	// Roster is the revision of the roster.
	RosterRevision Position
	// Evacuated are the evacuated failure domains.
	Evacuated map[string]Evacuation

	layout   *layout
	roster   *Roster     // nil: none
	byDomain []Endpoints // by the index of the failure domain
	byName   map[string]*RouteView
	byPath   map[string]*RouteView // by host and prefix; nil: the route was left out of the document
}

// Share is the share of a route's requests that goes to a pool.
type Share struct {
	Pool   *Pool
	Weight int
}

// RouteView is a route with its selectors parsed.
type RouteView struct {
	*Route
	requests                 Selector
	prefill, decode, service Selector
	// Shares are only set for routes that name pools instead of selectors.
	Shares []Share
}

// NameNumber returns the number that represents a name in messages.
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

// index builds all indexes of the document.
func (v *View) index() {
	d := v.Doc
	v.Teams, v.TeamByNumber = map[string]*Team{}, map[uint32]*Team{}
	v.Models, v.Region, v.Pools = map[string]*Model{}, map[string]string{}, map[string]*Pool{}
	v.teamByKey = map[[sha256.Size]byte]*Team{}
	v.byName, v.byPath = map[string]*RouteView{}, map[string]*RouteView{}
	for i := range d.Pools {
		v.Pools[d.Pools[i].Name] = &d.Pools[i]
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
		v.Routes[i] = v.routeView(&d.Routes[i])
		v.byName[d.Routes[i].Name] = &v.Routes[i]
		if d.Routes[i].PathPrefix != "" {
			v.byPath[HostName(d.Routes[i].Host)+d.Routes[i].PathPrefix] = &v.Routes[i]
		}
	}
	v.indexOmittedPaths()
	v.layout = &layout{d.Pools, d.Domains, d.Endpoints}
	v.indexEndpoints()
}

// indexOmittedPaths enters the paths of the routes that were left out, as those of no route.
func (v *View) indexOmittedPaths() {
	for _, p := range v.Doc.OmittedPaths {
		key := HostName(p.Host) + p.PathPrefix
		if v.byPath[key] == nil {
			v.byPath[key] = nil
		}
	}
}

// routeView parses a route's selectors or resolves its pools.
func (v *View) routeView(r *Route) RouteView {
	rv := RouteView{Route: r}
	if r.PathPrefix != "" {
		for _, s := range r.Pools {
			rv.Shares = append(rv.Shares, Share{Pool: v.Pools[s.Pool], Weight: s.Weight})
		}
		return rv
	}
	rv.requests, _ = ParseSelector(r.Requests)
	rv.prefill, _ = ParseSelector(r.Prefill)
	rv.decode, _ = ParseSelector(r.Decode)
	rv.service, _ = ParseSelector(r.Service)
	return rv
}

// Selects reports whether a route's selectors match an endpoint.
func (r *RouteView) Selects(e *Endpoint) bool {
	switch {
	case r.PathPrefix != "" || (r.Service != "") != (e.Role == Service):
		return false
	case e.Role == Service:
		return r.service.Matches(e.Labels)
	case e.Role == Prefill:
		return r.prefill.Matches(e.Labels)
	case e.Role == Decode:
		return r.decode.Matches(e.Labels)
	}
	return false
}

// Match returns the first route whose request selector matches the labels, or nil.
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

// RouteByName returns the named route, or nil.
func (v *View) RouteByName(name string) *RouteView { return v.byName[name] }

// HostName returns a Host header, or the host of a route, without its port and in lower case.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// RouteFor returns the route of a host, as HostName returns it, with the longest matching path prefix, or nil.
func (v *View) RouteFor(host, path string) *RouteView {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, known := v.byPath[host+path[:end+1]]; known {
			return r
		}
	}
	return nil
}

// PickShare returns one of the route's shares, chosen by weight with a uniformly distributed number.
// A route with selectors has no shares and returns nil.
func (r *RouteView) PickShare(n uint64) *Share {
	sum := 0
	for i := range r.Shares {
		sum += r.Shares[i].Weight
	}
	if sum == 0 {
		return r.firstShare()
	}
	at := int(n % uint64(sum))
	for i := range r.Shares {
		if at -= r.Shares[i].Weight; at < 0 {
			return &r.Shares[i]
		}
	}
	return nil
}

func (r *RouteView) firstShare() *Share {
	if len(r.Shares) == 0 {
		return nil
	}
	return &r.Shares[0]
}

// SendsTo reports whether the route sends requests to a pool.
func (r *RouteView) SendsTo(pool string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Pool.Name == pool })
}

// Serves reports whether the endpoint is configured for the model or adapter.
func (e *Endpoint) Serves(model string) bool {
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

// FullEngineShare returns the target share of reservations that find the engine still full on
// arrival. Owners learn the margin that leads to it. It rises with the weight of goodput, which
// overbooking increases, and falls with the weight of wasted prefill.
func (v *View) FullEngineShare() float64 {
	w := v.Doc.Weights
	return minFullShare + fullShareRange*w.Goodput/(w.Goodput+w.WastedPrefill)
}

const (
	minFullShare   = 0.02
	fullShareRange = 0.10
)

// MaxPrefillDelayShare returns the share of a request's slack by which its prefill may be delayed
// while many callers leave early, to save prefill work for them. It is 0 unless wasted prefill
// weighs more than goodput.
func (v *View) MaxPrefillDelayShare() float64 {
	w := v.Doc.Weights
	return maxDelayShare * max(0, w.WastedPrefill-w.Goodput) / (w.Goodput + w.WastedPrefill)
}

const maxDelayShare = 0.6
