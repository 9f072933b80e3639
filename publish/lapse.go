package publish

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/trie"
)

// A registration that vanishes usually means that its endpoint has left. But if the store was
// down, registrations may have expired whose endpoints could not renew them. Such endpoints are
// marked as lapsed and stay in use for config.ExpiryGrace. An endpoint that is alive and reaches
// the store registers again within that time. The others count as gone; if nothing else is
// published, ConfigTable.DropExpired removes them.

const (
	// minOutage is how long a store must be unreachable before registrations may have expired. If
	// calls timed out, the outage may have begun earlier, so that counts regardless of its
	// length.
	minOutage = 2 * time.Second
	// unreliableFor is how long after an outage a missing registration doesn't mean that its
	// endpoint has left. Registrations that expired are missing from the first answer.
	unreliableFor = time.Second
	// massShare is the share of all endpoints that don't leave at the same time: if more are
	// missing, their registrations were lost. After an outage outageShare and outageMin are
	// enough; fewer endpoints may well have left meanwhile.
	massShare   = 0.5
	outageShare = 0.2
	outageMin   = 2
)

// noteOutage is called with each answer of the store. The first answer after an outage starts the
// time in which missing registrations are unreliable.
func (f *Follower) noteOutage(now time.Time) {
	if f.storeLost && (f.sawTimeout || now.Sub(f.lostSince) >= minOutage) {
		f.unreliableUntil = now.Add(unreliableFor)
	}
}

// knownBefore returns the endpoints that were known, from the store or from peers.
func (f *Follower) knownBefore(sink Sink) config.Endpoints {
	if r := sink.Roster(); r != nil {
		return r.Endpoints
	}
	return f.known
}

// missing returns the endpoints of before that aren't in now.
func missing(before, now config.Endpoints) (out []*config.Endpoint) {
	trie.Diff(before, now, func(_ uint32, was, is *config.Endpoint) {
		if was != nil && (is == nil || is.Name != was.Name) {
			out = append(out, was)
		}
	})
	return out
}

// keepVanished decides which endpoints without a registration stay in use, because they may not
// have left. reported means that the store reported each end. Otherwise they are only missing
// from a listing, where an endpoint that has lapsed before is missing again.
func (f *Follower) keepVanished(gone []*config.Endpoint, reported bool, now time.Time) {
	all := float64(len(gone) + f.known.Len())
	mass := len(gone) > 1 && float64(len(gone)) > massShare*all
	unreliable := now.Before(f.unreliableUntil) && len(gone) >= outageMin && float64(len(gone)) >= outageShare*all
	var kept []*config.Endpoint
	for _, e := range gone {
		missingAgain := !reported && !e.Lapsed.IsZero()
		if e.Leaving || !missingAgain && !unreliable && !mass {
			continue
		}
		if e.Lapsed.IsZero() {
			lapsed := *e
			lapsed.Lapsed = now
			e = &lapsed
		}
		kept = append(kept, e)
	}
	kept = f.withFreeAddress(kept)
	known := f.known
	for _, e := range kept {
		known = config.Put(known, e)
	}
	f.setKnown(known)
	f.dropExpired(now)
	if len(gone) > 0 {
		f.log.Info("registrations vanished", zap.Int("endpoints", len(gone)), zap.Int("kept", len(kept)), zap.Bool("after_outage", unreliable))
	}
}

// withFreeAddress returns the endpoints at whose addresses no other endpoint has registered. It
// scans all known endpoints, but only while some registrations are missing.
func (f *Follower) withFreeAddress(list []*config.Endpoint) []*config.Endpoint {
	if len(list) == 0 {
		return nil
	}
	taken := make(map[string]bool, len(list))
	for _, e := range list {
		taken[e.Address] = false
	}
	for _, e := range f.known.All() {
		if _, asked := taken[e.Address]; asked && e.Lapsed.IsZero() {
			taken[e.Address] = true
		}
	}
	return slices.DeleteFunc(list, func(e *config.Endpoint) bool { return taken[e.Address] })
}

// dropExpired drops endpoints whose registrations have been missing for too long, or whose
// address another endpoint has taken.
func (f *Follower) dropExpired(now time.Time) {
	lapsed := f.lapsed.All()
	if len(lapsed) == 0 {
		return
	}
	known := f.known
	for _, e := range lapsed {
		known = config.Remove(known, e.Name)
	}
	for _, e := range f.withFreeAddress(lapsed) {
		if !e.PastGrace(now) {
			known = config.Put(known, e)
		}
	}
	f.setKnown(known)
}
