package route

import (
	"math"
	"time"

	"github.com/embercove/embercove/config"
)

// Request holds the inputs of a routing decision besides the endpoint states.
type Request struct {
	Group            *Group // the endpoints that the route allows
	Model            string
	Tokens           int // of the prompt
	MaxAnswer        int
	Head             uint32         // hash of the prompt's first block
	HasHead          bool           // the prompt is long enough to have one
	EntryDomain      int            // index of the entry host's failure domain
	Region           config.Regions // region of the entry host
	AllowedRegions   config.Regions // allowed regions; 0: all
	RemoteRegions    config.Regions // remote regions that it may be redirected to
	EvacuatedDomains uint64         // failure domains, by index, that owners report as being evacuated
	PrefillRegion    config.Regions // region of its prefill, where decode must run too; 0: not chosen yet
	// Continues says that the request is the rest of an answer that the software version Software began.
	// It may go to endpoints of that version only; its prompt may be prefilled by any.
	Continues bool
	Software  string
	Now       time.Time
	Hosts     int    // in the fleet, as far as this host knows
	Probe     bool   // it may crash the endpoint: prefer those with the fewest requests in progress
	Seed      uint64 // spreads the choices of many hosts over near-equal endpoints
	// FixedPrefill is the number of a prefill endpoint that has already admitted the request; 0: any.
	FixedPrefill uint32
	// Exclude holds the numbers of endpoints that refused or failed; 0 ends the list. It holds
	// numbers because indexes change with the view.
	Exclude [MaxExcluded]uint32
}

// MaxExcluded is how many endpoints a request can exclude: as many as it may try, of both roles,
// and some that failed.
const MaxExcluded = 24

// Excluded reports whether an endpoint is excluded.
func (r *Request) Excluded(number uint32) bool {
	for _, x := range r.Exclude {
		if x == 0 {
			return false
		}
		if x == number {
			return true
		}
	}
	return false
}

// AddExcluded excludes an endpoint. It does nothing if the list is full.
func (r *Request) AddExcluded(number uint32) {
	for k, x := range r.Exclude {
		if x == 0 {
			r.Exclude[k] = number
			return
		}
	}
}

// Choice is a chosen pair of endpoints; nil: none.
type Choice struct {
	Prefill, Decode  *config.Endpoint
	Uncached         int           // tokens that the prefill engine has to compute
	QueueDuration    time.Duration // forecast queueing time before prefill
	PrefillDuration  time.Duration // forecast time of the prefill
	TransferDuration time.Duration // forecast time of the KV transfer
	DigestAge        time.Duration // of the decode endpoint's digest; below 0: there is none
}

// Costs of a choice besides its time, in seconds of time to first token.
const (
	costOtherDomain  = 0.060 // outside the entry host's failure domain
	costOtherOwner   = 0.150 // owned by another host: one more message, and an older digest
	costCrossLink    = 0.030 // a transfer between failure domains
	costStale        = 0.400 // a digest that is older than staleAfter
	costFull         = 0.050 // decode memory is full by the digest; added to the wait
	costFailing      = 2.000 // every recent attempt failed
	costFill         = 0.080 // a full batch compared with an empty one
	costCallsFailing = 1.000 // every recent call from this host failed
	costFailureRisk  = 0.100 // probes: per request in progress there, which a crash would end; ten cost one second
	costCold         = 0.080 // cold: slow, and needs a permit; small, so that a returning endpoint fills slowly but isn't avoided
	costLimited      = 0.080 // names a limit: it takes what the others have no capacity for
	costUnreachable  = 8.000 // unreachable when this host last tried
	jitterShare      = 0.10  // relative jitter that spreads requests over near-equal endpoints
)

// staleAfter is the age from which a digest is unreliable.
const staleAfter = 3 * time.Second

// beamWidth is how many endpoints of each role are combined into pairs.
const beamWidth = 6

type beam struct {
	cost   [beamWidth]float64
	states [beamWidth]*State
	n      int
}

// add keeps the beamWidth cheapest states, each once.
func (r *beam) add(cost float64, s *State) {
	if r.n == beamWidth && cost >= r.cost[beamWidth-1] {
		return
	}
	for k := range r.n {
		if r.states[k] == s {
			return
		}
	}
	k := min(r.n, beamWidth-1)
	for k > 0 && r.cost[k-1] > cost {
		r.cost[k], r.states[k] = r.cost[k-1], r.states[k-1]
		k--
	}
	r.cost[k], r.states[k] = cost, s
	r.n = min(r.n+1, beamWidth)
}

// Pick returns the pair with the lowest forecast time to first token plus costs. It doesn't
// allocate.
func (f *Fleet) Pick(r *Request) Choice {
	v := f.View
	var pre, dec beam
	prefill := func(s *State) bool {
		eligible := eligibleForModel(s, r)
		if eligible {
			pre.add(prefillCost(v, s, r), s)
		}
		return eligible
	}
	if r.FixedPrefill == 0 {
		f.scan(&r.Group.Prefill, r, prefill)
	} else if s := r.Group.Prefill.Find(r.FixedPrefill); s != nil {
		prefill(s)
	}
	f.scan(&r.Group.Decode, r, func(s *State) bool {
		eligible := eligibleForModel(s, r) && r.inPrefillRegion(s)
		if eligible {
			dec.add(decodeCost(v, s, r), s)
		}
		return eligible
	})
	var p, d *State
	minCost := math.Inf(1)
	for a := range pre.n {
		for b := range dec.n {
			cross := crossDomainCost(v, pre.states[a], dec.states[b], r)
			if cost := pre.cost[a] + dec.cost[b] + cross; cost < minCost {
				minCost, p, d = cost, pre.states[a], dec.states[b]
			}
		}
	}
	if p == nil {
		return Choice{}
	}
	return newChoice(v, p, d, r)
}

// newChoice returns the choice of a pair, with its forecasts.
func newChoice(v *config.View, p, d *State, r *Request) Choice {
	c := Choice{Prefill: p.Spec, Decode: d.Spec}
	c.Uncached = p.Uncached(r.Tokens, r.Head, r.HasHead)
	c.QueueDuration = time.Duration(p.Digest.QueueMillis) * time.Millisecond
	c.PrefillDuration = p.PrefillTime(c.Uncached)
	c.DigestAge = d.Age(r.Now)
	c.TransferDuration = LinkTime(d.Spec, kvBytes(v, d, r.Tokens))
	return c
}

func kvBytes(v *config.View, d *State, tokens int) int64 {
	m := v.Models[d.Spec.Model]
	if m == nil {
		return 0
	}
	return int64(tokens) * m.KVBytesPerToken
}

func eligibleForModel(s *State, r *Request) bool { return Eligible(s, r) && s.Spec.Serves(r.Model) }

// prefillCost returns the forecast time until the prefill is done, plus costs, in seconds. Work
// counts more than waiting if the settings give wasted prefill a weight.
func prefillCost(v *config.View, s *State, r *Request) float64 {
	work := s.PrefillTime(s.Uncached(r.Tokens, r.Head, r.HasHead)).Seconds()
	w := v.Doc.Weights
	cost := float64(s.Digest.QueueMillis)/1000 + work*(1+w.WastedPrefill/(w.Goodput+w.WastedPrefill))
	return withPlacementCosts(cost, s, r)
}

// decodeCost returns the forecast time until decode can begin, plus costs, in seconds.
func decodeCost(v *config.View, s *State, r *Request) float64 {
	cost := LinkTime(s.Spec, kvBytes(v, s, r.Tokens)).Seconds() + float64(s.Digest.LinkMillis+s.Digest.WaitMillis)/1000
	if !s.DigestAt.IsZero() {
		need := r.Tokens + r.MaxAnswer
		free := int(s.Digest.FreeTokens)
		cost += costFill * (1 - float64(max(0, free))/float64(s.Spec.MemoryTokens))
		cost += costFill * (1 - float64(max(0, s.Digest.FreeSlots))/float64(s.Spec.Slots))
		if r.Probe {
			cost += costFailureRisk * float64(s.Spec.Slots-int(s.Digest.FreeSlots))
		}
		if free < need || s.Digest.FreeSlots <= 0 {
			cost += costFull * (1 + float64(need-min(free, need))/float64(s.Spec.MemoryTokens))
		}
	}
	return withPlacementCosts(cost, s, r)
}

// withPlacementCosts adds the costs of an endpoint's location, health and digest age. Failures
// raise the cost in proportion, so that load leaves an endpoint gradually, and the endpoints of a
// pool that fails as a whole keep their order.
func withPlacementCosts(cost float64, s *State, r *Request) float64 {
	cost += costFailing * float64(s.Digest.FailPct) / 100
	cost += costCallsFailing * s.Calls.FailureRate(r.Now)
	if s.Calls.IsUnreachable(r.Now) {
		cost += costUnreachable
	}
	if s.IsCold(r.Now) {
		cost += costCold
	}
	if s.IsLimited(r.Now) {
		cost += costLimited
	}
	if s.Domain != r.EntryDomain {
		cost += costOtherDomain
	}
	if !s.Owned {
		cost += costOtherOwner
	}
	if !s.DigestAt.IsZero() && r.Now.Sub(s.DigestAt) > staleAfter {
		cost += costStale
	}
	return cost * (1 + jitterShare*noise(r.Seed, s.Number))
}

// inPrefillRegion reports whether a decode endpoint is in the region of the prefill.
func (r *Request) inPrefillRegion(s *State) bool {
	return r.PrefillRegion == 0 || r.PrefillRegion == s.Region
}

// crossDomainCost returns the cost that a transfer between failure domains adds. It is infinite
// if no link joins them, and between regions, where a gigabyte takes ten times as long and is
// expensive.
func crossDomainCost(v *config.View, p, d *State, r *Request) float64 {
	if p.Domain == d.Domain {
		return 0
	}
	if p.Region != d.Region {
		return math.Inf(1)
	}
	rate := v.Doc.Domains[d.Domain].LinkBytesPerSecond
	if rate == 0 {
		return math.Inf(1)
	}
	return costCrossLink + float64(kvBytes(v, d, r.Tokens))/float64(rate)
}

// noise returns a number in [0, 1) that depends only on its arguments.
func noise(seed uint64, n uint32) float64 {
	x := seed ^ uint64(n)*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}

// PickDecode returns the cheapest decode endpoint alone, for a prompt that it prefills itself or
// whose prefill is done. Decode is nil if there is none.
func (f *Fleet) PickDecode(r *Request) Choice {
	var best *State
	minCost := math.Inf(1)
	f.scan(&r.Group.Decode, r, func(s *State) bool {
		if !eligibleForModel(s, r) || !r.inPrefillRegion(s) {
			return false
		}
		if cost := decodeCost(f.View, s, r); cost < minCost {
			minCost, best = cost, s
		}
		return true
	})
	if best == nil {
		return Choice{}
	}
	return Choice{Decode: best.Spec, DigestAge: best.Age(r.Now), TransferDuration: LinkTime(best.Spec, kvBytes(f.View, best, r.Tokens))}
}

// PickService returns the cheapest endpoint of a plain service for which eligible reports true;
// nil: there is none.
func (f *Fleet) PickService(r *Request, eligible func(s *State) bool, cost func(s *State) float64) (best *State) {
	minCost := math.Inf(1)
	f.scan(&r.Group.Service, r, func(s *State) bool {
		if !eligible(s) {
			return false
		}
		if c := cost(s); c < minCost {
			minCost, best = c, s
		}
		return true
	})
	return best
}
