package tunnel

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

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
	costOtherDomain = 4  // bytes between failure domains cost
	costOtherRegion = 64 // a round trip takes much longer
	costUnproven    = 2  // it hasn't opened a tunnel lately
)

// provenFor is how long a host that opened a tunnel is preferred to others.
const provenFor = 2 * time.Second

// gateways chooses the hosts that are asked for tunnels. Its methods are safe for concurrent use.
type gateways struct {
	hosts *blackboard.HostTable

	mu     sync.Mutex
	states map[uint32]*gatewayState // by host number
}

// gatewayState is what this host knows of another one as a gateway.
type gatewayState struct {
	active           int // tunnels of this host
	incarnation      uint64
	unableUntil      time.Time
	unsupportedUntil time.Time // until when it counts as of a version without tunnels
	provenUntil      time.Time
}

func newGateways(hosts *blackboard.HostTable) *gateways {
	return &gateways{hosts: hosts, states: map[uint32]*gatewayState{}}
}

// pick returns the best host that wasn't asked yet, near ones and those with few tunnels first. alone
// tells that no live host knows tunnels, whether or not it was asked.
func (g *gateways) pick(asked []uint32, now time.Time) (best blackboard.Host, found, alone bool) {
	self := g.hosts.Self()
	g.mu.Lock()
	defer g.mu.Unlock()
	least, equal := 0, 0
	alone = true
	g.hosts.Each(now, func(h *blackboard.Host, live bool) {
		if !live || h.Number == self.Number || h.Leaving || h.Unconfirmed || h.Peers == "" {
			return
		}
		cost, able, supported := g.cost(&self, h, now)
		alone = alone && !supported
		switch {
		case !able, slices.Contains(asked, h.Number):
			return
		case !found || cost < least:
			best, least, equal, found = *h, cost, 1, true
		case cost == least:
			equal++
			if rand.IntN(equal) == 0 {
				best = *h
			}
		}
	})
	return best, found, alone
}

// cost returns the cost of a host as gateway, whether it is to be asked at all now, and whether it may
// know tunnels. The caller holds the lock.
func (g *gateways) cost(self, h *blackboard.Host, now time.Time) (cost int, able, supported bool) {
	switch {
	case h.Region != self.Region:
		cost = costOtherRegion
	case h.Domain != self.Domain:
		cost = costOtherDomain
	}
	s := g.states[h.Number]
	if s == nil || s.incarnation != h.Incarnation {
		return cost + costUnproven, true, true
	}
	if now.After(s.provenUntil) {
		cost += costUnproven
	}
	return cost + s.active, now.After(s.unableUntil), now.After(s.unsupportedUntil)
}

// state returns the state of a host. The caller holds the lock.
func (g *gateways) state(h *blackboard.Host) *gatewayState {
	s := g.states[h.Number]
	if s == nil {
		s = new(gatewayState)
		g.states[h.Number] = s
	}
	if s.incarnation != h.Incarnation {
		*s = gatewayState{active: s.active, incarnation: h.Incarnation}
	}
	return s
}

// recordOpened records that a host opened a tunnel. The caller must call closed after its end.
func (g *gateways) recordOpened(h *blackboard.Host, now time.Time) (closed func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(h)
	s.active++
	s.provenUntil, s.unableUntil = now.Add(provenFor), time.Time{}
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
	case reply.Code == CutOff:
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
	if errors.Is(err, ErrNotSupported) {
		s.unsupportedUntil = s.unableUntil
	}
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
