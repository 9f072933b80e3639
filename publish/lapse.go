package publish

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/trie"
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
func (f *Follower) before(sink Sink) config.Endpoints {
	if r := sink.Roster(); r != nil {
		return r.Endpoints
	}
	return f.known
}

// missing returns the endpoints of before that are not in now.
func missing(before, now config.Endpoints) (out []*config.Endpoint) {
	trie.Diff(before, now, func(_ uint32, was, is *config.Endpoint) {
		if was != nil && (is == nil || is.Name != was.Name) {
			out = append(out, was)
		}
	})
	return out
}

// vanished judges endpoints whose registrations are gone, and keeps those that
// may not have left. told says that the store told of the end of each; else
// they are only missing from a listing, where a lapsed one is missing again.
func (f *Follower) vanished(gone []*config.Endpoint, told bool, now time.Time) {
	all := float64(len(gone) + f.known.Len())
	mass := len(gone) > 1 && float64(len(gone)) > massShare*all
	shaky := now.Before(f.shaky) && len(gone) >= someLeast && float64(len(gone)) >= someShare*all
	var kept []*config.Endpoint
	for _, e := range gone {
		again := !told && !e.Lapsed.IsZero()
		if e.Leaving || !again && !shaky && !mass {
			continue
		}
		if e.Lapsed.IsZero() {
			lapsed := *e
			lapsed.Lapsed = now
			e = &lapsed
		}
		kept = append(kept, e)
	}
	kept = f.notTaken(kept)
	known := f.known
	for _, e := range kept {
		known = config.Put(known, e)
	}
	f.use(known)
	f.expire(now)
	if len(gone) > 0 {
		f.log.Info("registrations vanished", zap.Int("endpoints", len(gone)), zap.Int("kept", len(kept)), zap.Bool("after_outage", shaky))
	}
}

// notTaken returns the endpoints at whose addresses no other has registered. It looks
// through all that are known, but only while registrations are in doubt.
func (f *Follower) notTaken(list []*config.Endpoint) []*config.Endpoint {
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

// expire drops endpoints that were without a registration for long, or whose
// address another has.
func (f *Follower) expire(now time.Time) {
	lapsed := f.lapsed.All()
	if len(lapsed) == 0 {
		return
	}
	known := f.known
	for _, e := range lapsed {
		known = config.Remove(known, e.Name)
	}
	for _, e := range f.notTaken(lapsed) {
		if !e.Expired(now) {
			known = config.Put(known, e)
		}
	}
	f.use(known)
}
