package fake

import (
	"net"
	"sync"
	"time"
)

// Link is a host's link to the network, with a rate limit for each direction.
// All connections of the host share it, chunk by chunk. How many bytes of a connection wait
// there at a time is the network's window. A nil link has no limit.
type Link struct {
	rate int // bytes per second

	mu       sync.Mutex
	nextFree [2]time.Time // by direction: when all bytes that wait now will have passed
}

// NewLink returns a link with a rate in bytes per second, for each direction.
func NewLink(rate int) *Link { return &Link{rate: rate} }

// linkChunk is how many bytes of one connection pass before the next connection has its turn.
const linkChunk = 8 << 10

// direction is the direction of traffic on a link, as its host sees it.
type direction int

const (
	sending direction = iota
	receiving
)

// SetLinkRate limits a host's link to a rate in bytes per second, for each
// direction. It applies to connections opened from now on.
func (n *Network) SetLinkRate(host string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[host] = NewLink(rate)
}

// linkOf returns a host's link, or nil if it has no limit.
func (n *Network) linkOf(host string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[host]
}

// hostOf returns the host part of an address.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// transmit blocks until the bytes have passed the link, after all that were queued before.
func (l *Link) transmit(bytes int, d direction) {
	time.Sleep(time.Until(l.queue(bytes, d)))
}

// queue queues bytes at the link and returns when they will have passed it.
func (l *Link) queue(bytes int, d direction) time.Time {
	now := time.Now()
	if l == nil {
		return now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextFree[d].Before(now) {
		l.nextFree[d] = now
	}
	l.nextFree[d] = l.nextFree[d].Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	return l.nextFree[d]
}
