package tunnel

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/embercove/embercove/blackboard"
)

// ErrNotSupported is returned by hosts of a version that knows no tunnels.
var ErrNotSupported = errors.New("the host knows no tunnels")

// How long a host isn't asked again, by why it opened no tunnel.
const (
	unableCutOff       = 500 * time.Millisecond
	unableBusy         = 100 * time.Millisecond
	unableSilent       = time.Second // the host didn't answer, or another one was faster
	unableLeaving      = 5 * time.Second
	unableNotSupported = 30 * time.Second
)

// Costs of a gateway, in tunnels of this host that it passes on already.
const (
	costOtherDomain  = 4  // bytes between failure domains cost
	costOtherRegion  = 64 // a round trip takes much longer
	costUnproven     = 2  // it hasn't opened a tunnel lately
	costAskedDomain  = 8  // for each host of its failure domain that was asked in vain for the same connection
	costCutOffDomain = 8  // hosts of its failure domain lost their links lately
	// costConfirmedDomain is for a failure domain of which a host has confirmed that the endpoint is out of reach: those
	// that have a say of their own are asked first, also in other regions.
	costConfirmedDomain = 2 * costOtherRegion
	// savedInEndpointsDomain is what a host in the endpoint's failure domain costs less: its link to the endpoint is
	// the last to be lost.
	savedInEndpointsDomain = 1
)

// provenFor is how long a host that opened a tunnel is preferred to others.
const provenFor = 2 * time.Second

// Criteria by which the hosts of a failure domain count as cut off from endpoints.
const (
	minCutOffHosts  = 2 // that said so in a row
	cutOffDomainFor = 2 * time.Second
)

// Hosts that said that they are cut off are asked again at a limited rate, so that a fleet that has lost all links
// doesn't keep itself busy.
const (
	repeatsPerSecond = 20
	maxRepeatsAtOnce = 8
	// repeatedFor is how long after such an answer a request counts as a repeat.
	repeatedFor = 10 * time.Second
)

// gateways chooses the hosts that are asked for tunnels. Its methods are safe for concurrent use.
type gateways struct {
	hosts *blackboard.HostTable

	mu      sync.Mutex
	states  map[uint32]*gatewayState // by host number
	domains map[string]*domainState
	repeats *rate.Limiter // of requests to hosts that said that they are cut off
}

// gatewayState is what this host knows of another one as a gateway.
type gatewayState struct {
	name             string
	active           int // tunnels of this host
	incarnation      uint64
	unableUntil      time.Time
	unsupportedUntil time.Time // until when it counts as of a version without tunnels
	provenUntil      time.Time
	cutOffAt         time.Time // when it last said that it is cut off from endpoints; zero: it reached one since
}

// domainState is what this host knows of the hosts of a failure domain.
type domainState struct {
	cutOff int       // hosts that said that they are cut off, since one opened a tunnel
	until  time.Time // until when that counts
}

func newGateways(hosts *blackboard.HostTable) *gateways {
	return &gateways{hosts: hosts, states: map[uint32]*gatewayState{}, domains: map[string]*domainState{}, repeats: rate.NewLimiter(repeatsPerSecond, maxRepeatsAtOnce)}
}

// search is the search of one attempt to connect for a gateway.
type search struct {
	domain   string   // of the endpoint; empty: unknown
	asked    []uint32 // hosts that were asked, by number
	evidence *evidence
}

// choice is the result of gateways.pick.
type choice struct {
	host    blackboard.Host // to be asked
	found   bool
	alone   bool            // no live host knows tunnels, whether or not it was asked
	askable map[string]bool // failure domains with hosts that weren't asked
}

// pick returns the best host that wasn't asked yet, by its cost.
func (g *gateways) pick(q *search, now time.Time) choice {
	self := g.hosts.Self()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := choice{alone: true, askable: map[string]bool{}}
	mayRepeat := g.repeats.TokensAt(now) >= 1
	least, equal := 0, 0
	g.hosts.Each(now, func(h *blackboard.Host, live bool) {
		if !live || !mayPassOn(h, &self) {
			return
		}
		s := g.known(h)
		c.alone = c.alone && !now.After(s.unsupportedUntil)
		if !now.After(s.unableUntil) || s.isRepeat(now) && !mayRepeat || slices.Contains(q.asked, h.Number) {
			return
		}
		c.askable[h.Domain] = true
		cost := g.cost(q, &self, h, s, now)
		switch {
		case !c.found || cost < least:
			c.host, least, equal, c.found = *h, cost, 1, true
		case cost == least:
			equal++
			if rand.IntN(equal) == 0 {
				c.host = *h
			}
		}
	})
	if c.found && g.known(&c.host).isRepeat(now) {
		g.repeats.AllowN(now, 1)
	}
	return c
}

// mayPassOn reports whether a host may open tunnels for this one.
func mayPassOn(h, self *blackboard.Host) bool {
	return h.Number != self.Number && !h.Leaving && !h.Unconfirmed && h.Peers != ""
}

// cost returns the cost of a host as gateway. The caller holds the lock.
func (g *gateways) cost(q *search, self, h *blackboard.Host, s *gatewayState, now time.Time) (cost int) {
	switch {
	case h.Region != self.Region:
		cost = costOtherRegion
	case h.Domain != self.Domain:
		cost = costOtherDomain
	}
	if h.Domain == q.domain && h.Domain != self.Domain {
		cost -= savedInEndpointsDomain
	}
	if now.After(s.provenUntil) {
		cost += costUnproven
	}
	if d := g.domains[h.Domain]; d != nil && d.cutOff >= minCutOffHosts && now.Before(d.until) {
		cost += costCutOffDomain
	}
	if q.evidence.hasConfirmed(h.Domain) {
		cost += costConfirmedDomain
	}
	return cost + s.active + costAskedDomain*q.evidence.asked(h.Domain)
}

// proven returns a host that opened a tunnel for this one lately, the one with the fewest of them.
func (g *gateways) proven(now time.Time) (number uint32, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	least := 0
	for n, s := range g.states {
		if now.Before(s.provenUntil) && (!ok || s.active < least) {
			number, least, ok = n, s.active, true
		}
	}
	return number, ok
}

// isRepeat reports whether the host said lately that it is cut off.
func (s *gatewayState) isRepeat(now time.Time) bool {
	return !s.cutOffAt.IsZero() && now.Sub(s.cutOffAt) < repeatedFor
}

// known returns what is known of a host's process. The caller holds the lock and doesn't change it.
func (g *gateways) known(h *blackboard.Host) *gatewayState {
	if s := g.states[h.Number]; s != nil && s.incarnation == h.Incarnation {
		return s
	}
	return &unknownGateway
}

var unknownGateway gatewayState

// state returns the state of a host. The caller holds the lock.
func (g *gateways) state(h *blackboard.Host) *gatewayState {
	s := g.states[h.Number]
	if s == nil {
		s = &gatewayState{name: h.Name}
		g.states[h.Number] = s
	}
	if s.incarnation != h.Incarnation {
		*s = gatewayState{name: h.Name, active: s.active, incarnation: h.Incarnation}
	}
	return s
}

// recordOpened records that a host opened a tunnel. The caller must call closed after its end.
func (g *gateways) recordOpened(h *blackboard.Host, now time.Time) (closed func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(h)
	s.active++
	s.provenUntil, s.unableUntil, s.cutOffAt = now.Add(provenFor), time.Time{}, time.Time{}
	delete(g.domains, h.Domain)
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		s.active--
	})
}

// recordUnable records that a host opened no tunnel.
func (g *gateways) recordUnable(h *blackboard.Host, reply Reply, err error, now time.Time) {
	var unable time.Duration
	switch {
	case errors.Is(err, ErrNotSupported):
		unable = unableNotSupported
	case err != nil:
		unable = unableSilent
	case reply.LostPaths:
		unable = unableCutOff
	case reply.Code == Busy:
		unable = unableBusy
	case reply.Code == Leaving:
		unable = unableLeaving
	default:
		return // that says something of the endpoint
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(h)
	s.unableUntil, s.provenUntil = now.Add(unable), time.Time{}
	if err == nil && reply.LostPaths {
		s.cutOffAt = now
		g.recordCutOff(h.Domain, now)
	}
	if errors.Is(err, ErrNotSupported) {
		s.unsupportedUntil = s.unableUntil
	}
}

// recordCutOff records that a host of a failure domain is cut off. The caller holds the lock.
func (g *gateways) recordCutOff(domain string, now time.Time) {
	d := g.domains[domain]
	if d == nil {
		d = new(domainState)
		g.domains[domain] = d
	}
	d.cutOff++
	d.until = now.Add(cutOffDomainFor)
}

// cutOffDomains returns the failure domains whose hosts count as cut off from endpoints, in order.
func (g *gateways) cutOffDomains(now time.Time) (out []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, d := range g.domains {
		if d.cutOff >= minCutOffHosts && now.Before(d.until) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// activeByHost returns how many tunnels each host passes on for this one, by its name.
func (g *gateways) activeByHost() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]int{}
	for _, s := range g.states {
		if s.active > 0 {
			out[s.name] = s.active
		}
	}
	return out
}

// active returns how many tunnels this host uses.
func (g *gateways) active() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.states {
		n += s.active
	}
	return n
}
