package publish

import (
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
)

// A registration that vanishes says that its endpoint has left, but not always:
// a store that was down may have let registrations run out whose endpoints
// could not renew them. Such endpoints stay in use for config.LapsedKept. One that
// lives and reaches the store has registered again by then; the others count as
// gone, which ConfigTable.DropLapsed sees to where nothing else is published.

const (
	// outageLeast is how long a store must be out of reach for registrations
	// to run out. One that answers nothing may have been so for long already.
	outageLeast = 2 * time.Second
	// shakyFor is how long after an outage the loss of a registration says
	// nothing about its endpoint. What ran out shows in the first answer.
	shakyFor = time.Second
	// massShare is the part of all endpoints that don't leave at once: more
	// have lost their registrations. After an outage someShare and someLeast
	// will do; fewer may well have left meanwhile.
	massShare = 0.5
	someShare = 0.2
	someLeast = 2
)

// judgeOutage is called with each answer of the store. The first one after an
// outage begins the time in which lost registrations say nothing.
func (f *Follower) judgeOutage(now time.Time) {
	if f.lost && (f.silent || now.Sub(f.since) >= outageLeast) {
		f.shaky = now.Add(shakyFor)
	}
}

// before returns the endpoints that were known, from the store or from peers.
func (f *Follower) before(sink Sink) map[string]config.Endpoint {
	if r := sink.Roster(); r != nil {
		out := make(map[string]config.Endpoint, len(r.Endpoints))
		for _, e := range r.Endpoints {
			out[e.Name] = e
		}
		return out
	}
	return f.known
}

// missing returns the endpoints of before that are not in now.
func missing(before, now map[string]config.Endpoint) []config.Endpoint {
	var out []config.Endpoint
	for name, e := range before {
		if _, there := now[name]; !there {
			out = append(out, e)
		}
	}
	return out
}

// vanished judges endpoints whose registrations are gone, and keeps those that
// may not have left. told says that the store told of the end of each; else
// they are only missing from a listing, where a lapsed one is missing again.
func (f *Follower) vanished(gone []config.Endpoint, told bool, now time.Time) {
	all := float64(len(gone) + len(f.known))
	mass := len(gone) > 1 && float64(len(gone)) > massShare*all
	shaky := now.Before(f.shaky) && len(gone) >= someLeast && float64(len(gone)) >= someShare*all
	kept := 0
	for _, e := range gone {
		again := !told && !e.Lapsed.IsZero()
		if e.Leaving || f.taken(e.Address) || !again && !shaky && !mass {
			continue
		}
		if e.Lapsed.IsZero() {
			e.Lapsed = now
		}
		f.known[e.Name] = e
		kept++
	}
	f.expire(now)
	if len(gone) > 0 {
		f.log.Info("registrations vanished", zap.Int("endpoints", len(gone)), zap.Int("kept", kept), zap.Bool("after_outage", shaky))
	}
}

// taken reports whether another endpoint has registered at an address.
func (f *Follower) taken(address string) bool {
	for _, e := range f.known {
		if e.Address == address && e.Lapsed.IsZero() {
			return true
		}
	}
	return false
}

// expire drops endpoints that were without a registration for long, or whose
// address another has.
func (f *Follower) expire(now time.Time) {
	for name, e := range f.known {
		if !e.Lapsed.IsZero() && (e.Expired(now) || f.taken(e.Address)) {
			delete(f.known, name)
		}
	}
}
