package route

import (
	"math"
	"time"

	"github.com/embercove/embercove/config"
)

// Request is what a decision depends on besides the states.
type Request struct {
	Group     *Group // the endpoints that the route allows
	Model     string
	Tokens    int // of the prompt
	MaxAnswer int
	Head      uint32
	HasHead   bool
	Home      int            // index of the entry host's failure domain
	Region    config.Regions // that of the entry host
	Homes     config.Regions // in which it may be served; 0: in any
	Reach     config.Regions // that it may leave its own for
	Shut      uint64         // failure domains, by their index, that owners say are being emptied
	Pair      config.Regions // in which its prompt is read, and so its answer written; 0: not chosen yet
	Now       time.Time
	Hosts     int    // of the fleet, as far as this one knows
	Trial     bool   // it may end the endpoint that runs it: it goes where fewest are in progress
	Seed      uint64 // spreads the choices of many hosts over near-equal endpoints
	// FixedPrefill is the number of a prefill endpoint that has already
	// called the request; 0: any.
	FixedPrefill uint32
	// Exclude holds the numbers of endpoints that refused or failed; 0 ends
	// the list. Numbers stay while the places of endpoints in a view change.
	Exclude [MostExcluded]uint32
}

// MostExcluded is how many endpoints a request can leave out: as many as it asks, of
// both roles, and some that failed.
const MostExcluded = 24

// Excluded reports whether an endpoint is out of the question.
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

// Drop excludes an endpoint; past the room for it nothing more is excluded.
func (r *Request) Drop(number uint32) {
	for k, x := range r.Exclude {
		if x == 0 {
			r.Exclude[k] = number
			return
		}
	}
}

// Choice is a chosen pair; nil stands for none.
type Choice struct {
	Prefill, Decode *config.Endpoint
	Uncached        int           // tokens that the prefill engine will read
	Wait            time.Duration // forecast of queueing before prefill
	Read            time.Duration // forecast of the prefill itself
	Move            time.Duration // forecast of the transfer, with waiting for the link
	Age             time.Duration // of what was known of the decode endpoint; below 0: nothing
}

// Costs of a choice beyond its time, in seconds of time to first token.
const (
	costOtherDomain = 0.060 // leaving the own failure domain
	costOtherOwner  = 0.150 // asking another host: a message, and a digest that is older
	costCrossLink   = 0.030 // a transfer between failure domains
	costStale       = 0.400 // a digest that is older than staleAfter
	costFull        = 0.050 // decode memory is full by the digest, besides the wait
	costFailing     = 2.000 // every recent attempt failed
	costFill        = 0.080 // a full batch against an empty one
	costSeenFailing = 1.000 // every recent call from this host failed
	costHurt        = 0.100 // on trial: for each request in progress there, which may end with it; ten of them are worth a second more
	costCold        = 0.080 // cold: slow itself, and a start has to be asked for; small, so that one that returns is filled slowly and not left
	costLimited     = 0.080 // names a limit: it takes what the others have no room for
	costShunned     = 8.000 // out of reach when this host last tried
	jitterShare     = 0.10  // of a cost, by which near-equal endpoints trade places
)

// staleAfter is the age from which a digest is little worth.
const staleAfter = 3 * time.Second

// beam is how many endpoints of each role are tried in pairs.
const beam = 6

type ranked struct {
	cost [beam]float64
	of   [beam]*State
	n    int
}

// add keeps the beam cheapest, each once.
func (r *ranked) add(cost float64, s *State) {
	if r.n == beam && cost >= r.cost[beam-1] {
		return
	}
	for k := range r.n {
		if r.of[k] == s {
			return
		}
	}
	k := min(r.n, beam-1)
	for k > 0 && r.cost[k-1] > cost {
		r.cost[k], r.of[k] = r.cost[k-1], r.of[k-1]
		k--
	}
	r.cost[k], r.of[k] = cost, s
	r.n = min(r.n+1, beam)
}

// Pick returns the pair with the least forecast time to first token, costs
// included. It allocates nothing.
func (f *Fleet) Pick(r *Request) Choice {
	v := f.View
	var pre, dec ranked
	prefill := func(s *State) bool {
		open := eligible(s, r)
		if open {
			pre.add(prefillCost(v, s, r), s)
		}
		return open
	}
	if r.FixedPrefill == 0 {
		f.look(&r.Group.Prefill, r, prefill)
	} else if s := r.Group.Prefill.Find(r.FixedPrefill); s != nil {
		prefill(s)
	}
	f.look(&r.Group.Decode, r, func(s *State) bool {
		open := eligible(s, r) && r.pairs(s)
		if open {
			dec.add(decodeCost(v, s, r), s)
		}
		return open
	})
	var p, d *State
	least := math.Inf(1)
	for a := range pre.n {
		for b := range dec.n {
			cross := crossCost(v, pre.of[a], dec.of[b], r)
			if cost := pre.cost[a] + dec.cost[b] + cross; cost < least {
				least, p, d = cost, pre.of[a], dec.of[b]
			}
		}
	}
	if p == nil {
		return Choice{}
	}
	return choiceOf(v, p, d, r)
}

// choiceOf returns a chosen pair with its forecasts.
func choiceOf(v *config.View, p, d *State, r *Request) Choice {
	c := Choice{Prefill: p.Spec, Decode: d.Spec}
	c.Uncached = p.Uncached(r.Tokens, r.Head, r.HasHead)
	c.Wait = time.Duration(p.Digest.QueueMillis) * time.Millisecond
	c.Read = p.PrefillTime(c.Uncached)
	c.Age = d.Age(r.Now)
	c.Move = LinkTime(d.Spec, kvBytes(v, d, r.Tokens))
	return c
}

func kvBytes(v *config.View, d *State, tokens int) int64 {
	m := v.Models[d.Spec.Model]
	if m == nil {
		return 0
	}
	return int64(tokens) * m.KVBytesPerToken
}

func eligible(s *State, r *Request) bool { return Open(s, r) && s.Spec.Serves(r.Model) }

// prefillCost is the forecast time until the prompt is read, in seconds.
// Work weighs more than waiting where wasted prefill is minded.
func prefillCost(v *config.View, s *State, r *Request) float64 {
	work := s.PrefillTime(s.Uncached(r.Tokens, r.Head, r.HasHead)).Seconds()
	w := v.Doc.Weights
	cost := float64(s.Digest.QueueMillis)/1000 + work*(1+w.WastedPrefill/(w.Goodput+w.WastedPrefill))
	return placed(cost, s, r)
}

// decodeCost is the forecast time until decode can begin, in seconds.
func decodeCost(v *config.View, s *State, r *Request) float64 {
	cost := LinkTime(s.Spec, kvBytes(v, s, r.Tokens)).Seconds() + float64(s.Digest.LinkMillis+s.Digest.WaitMillis)/1000
	if !s.At.IsZero() {
		need := r.Tokens + r.MaxAnswer
		free := int(s.Digest.FreeTokens)
		cost += costFill * (1 - float64(max(0, free))/float64(s.Spec.MemoryTokens))
		cost += costFill * (1 - float64(max(0, s.Digest.FreeSlots))/float64(s.Spec.Slots))
		if r.Trial {
			cost += costHurt * float64(s.Spec.Slots-int(s.Digest.FreeSlots))
		}
		if free < need || s.Digest.FreeSlots <= 0 {
			cost += costFull * (1 + float64(need-min(free, need))/float64(s.Spec.MemoryTokens))
		}
	}
	return placed(cost, s, r)
}

// placed adds what a choice costs by its place, its health and the age of
// what is known. Failures raise the cost by degrees, so that an endpoint is
// left gradually and a pool that fails as a whole keeps its order.
func placed(cost float64, s *State, r *Request) float64 {
	cost += costFailing * float64(s.Digest.FailPct) / 100
	cost += costSeenFailing * s.Seen.Failing(r.Now)
	if s.Seen.Shunned(r.Now) {
		cost += costShunned
	}
	if s.Cold(r.Now) {
		cost += costCold
	}
	if s.Limited(r.Now) {
		cost += costLimited
	}
	if s.Domain != r.Home {
		cost += costOtherDomain
	}
	if !s.Own {
		cost += costOtherOwner
	}
	if !s.At.IsZero() && r.Now.Sub(s.At) > staleAfter {
		cost += costStale
	}
	return cost * (1 + jitterShare*noise(r.Seed, s.Number))
}

// pairs reports whether a decode endpoint lies where the prompt is read.
func (r *Request) pairs(s *State) bool { return r.Pair == 0 || r.Pair == s.Region }

// crossCost is what a transfer between failure domains adds; it is infinite
// where no link joins them, and between regions, where a gigabyte takes ten times as
// long and is dear.
func crossCost(v *config.View, p, d *State, r *Request) float64 {
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

// noise returns a number in [0, 1) that depends on both arguments alone.
func noise(seed uint64, n uint32) float64 {
	x := seed ^ uint64(n)*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}

// PickDecode returns the cheapest decode endpoint alone, for a prompt that it
// reads itself or that was read already; without a decode endpoint: there is none.
func (f *Fleet) PickDecode(r *Request) Choice {
	var best *State
	least := math.Inf(1)
	f.look(&r.Group.Decode, r, func(s *State) bool {
		if !eligible(s, r) || !r.pairs(s) {
			return false
		}
		if cost := decodeCost(f.View, s, r); cost < least {
			least, best = cost, s
		}
		return true
	})
	if best == nil {
		return Choice{}
	}
	return Choice{Decode: best.Spec, Age: best.Age(r.Now), Move: LinkTime(best.Spec, kvBytes(f.View, best, r.Tokens))}
}

// PickService returns the plain endpoint of the least cost, of those that are open; nil: there
// is none.
func (f *Fleet) PickService(r *Request, open func(s *State) bool, cost func(s *State) float64) (best *State) {
	least := math.Inf(1)
	f.look(&r.Group.Service, r, func(s *State) bool {
		if !open(s) {
			return false
		}
		if c := cost(s); c < least {
			least, best = c, s
		}
		return true
	})
	return best
}
