package fake

import (
	"net"
	"sync"
	"time"
)

// Link is a host's link to the network, with a rate for each direction. All
// connections of the host share it, piece by piece. A nil link has no limit.
type Link struct {
	rate int // bytes a second

	mu   sync.Mutex
	free [2]time.Time // when what waits for each direction will have passed
}

// NewLink returns a link with a rate, in bytes a second and direction.
func NewLink(rate int) *Link { return &Link{rate: rate} }

// linkPiece is how many bytes of one connection pass before those of the next.
const linkPiece = 8 << 10

// direction is one way over a link.
type direction int

const (
	sending direction = iota
	getting
)

// SetRate gives a host's link a rate, in bytes a second and direction, for
// connections that are opened from now on.
func (n *Network) SetRate(host string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[host] = NewLink(rate)
}

// linkOf returns a host's link, nil if it has no limit.
func (n *Network) linkOf(host string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[host]
}

// hostOf returns the host of an address.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// pass returns when so many bytes have passed after those that came before.
func (l *Link) pass(bytes int, d direction) {
	if l == nil {
		return
	}
	l.mu.Lock()
	now := time.Now()
	if l.free[d].Before(now) {
		l.free[d] = now
	}
	l.free[d] = l.free[d].Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	until := l.free[d]
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}
