package blackboard

import (
	"sync"
	"time"
)

// LinkDelay estimates how long what this host receives waits on its own link, from how long its
// latest connections took to be accepted. The zero value is ready to use.
//
// Its methods are safe for concurrent use.
type LinkDelay struct {
	mu     sync.Mutex
	latest [linkSamples]connectSample
	next   int
}

const (
	linkSamples   = 4                     // connections that the estimate is made from
	minSamples    = 2                     // fewer recent ones tell nothing
	linkSampleAge = time.Second           // for which a connection tells something
	minLinkDelay  = 50 * time.Millisecond // less is an ordinary round trip
)

// connectSample is how long a connection took that was accepted at a time.
type connectSample struct {
	at   time.Time
	took time.Duration
}

// Record records that a connection was accepted.
func (l *LinkDelay) Record(now time.Time, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest[l.next] = connectSample{now, took}
	l.next = (l.next + 1) % linkSamples
}

// Estimate returns the delay that the latest connections have in common; 0 if it is an ordinary
// round trip or unknown.
func (l *LinkDelay) Estimate(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent, least := 0, time.Duration(0)
	for _, c := range l.latest {
		if c.at.IsZero() || now.Sub(c.at) > linkSampleAge {
			continue
		}
		if recent == 0 || c.took < least {
			least = c.took
		}
		recent++
	}
	if recent < minSamples || least < minLinkDelay {
		return 0
	}
	return least
}
