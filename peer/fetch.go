package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/wait"
)

// Exchanges carry only revision numbers; a host that is behind fetches the content. A document
// may be large, a link narrow, and many hosts may report the same revision. So a host makes one
// fetch at a time, over a separate connection that delays no other calls. A fetch times out on
// silence and not on its total duration, since a restarted fetch has to transfer everything
// again.

// aheadPeer is a host that reported a newer revision than this one's.
type aheadPeer struct {
	from     HostIdentity
	revision uint64
	roster   config.Position
}

// maxAheadPeers is how many hosts that reported something newer are remembered during a fetch. If
// the fetch fails, the next of them is asked at once instead of waiting for another report: in a
// test with 58 real processes, one had six fetches in a row fail, for 1.8 s, after its connections
// had gone silent.
const maxAheadPeers = 4

// fetcher ensures that only one fetch runs at a time. The zero value is ready to use.
type fetcher struct {
	mu      sync.Mutex
	running bool
	pending []aheadPeer // hosts that reported something newer during the fetch, latest last
}

// begin reports whether the caller has to fetch. Otherwise a fetch is running, and the host is
// remembered for the time after it.
func (f *fetcher) begin(a aheadPeer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.running {
		f.running = true
		return true
	}
	f.pending = slices.DeleteFunc(f.pending, func(n aheadPeer) bool { return n.from.Peers == a.from.Peers })
	if len(f.pending) == maxAheadPeers {
		f.pending = slices.Delete(f.pending, 0, 1)
	}
	f.pending = append(f.pending, a)
	return false
}

// end returns the next host to fetch from, if any: of those remembered, the one with the newest
// revisions.
func (f *fetcher) end() (aheadPeer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 {
		f.running = false
		return aheadPeer{}, false
	}
	best := 0
	for i, n := range f.pending {
		if m := f.pending[best]; n.revision >= m.revision && n.roster >= m.roster {
			best = i
		}
	}
	a := f.pending[best]
	f.pending = slices.Delete(f.pending, best, best+1)
	return a, true
}

// isBehind reports whether another host has a newer revision or roster than this one.
func (r *Router) isBehind(a aheadPeer) bool {
	return a.revision > r.board.Config.Revision() || a.roster > r.board.Config.RosterRevision()
}

// catchUp fetches from a host that is ahead. If a fetch is running, the host is asked after it.
func (r *Router) catchUp(a aheadPeer) {
	if !r.isBehind(a) || !r.fetcher.begin(a) {
		return
	}
	go func() {
		for more := true; more; a, more = r.fetcher.end() {
			if r.isBehind(a) {
				r.fetch(a)
			}
		}
	}()
}

// Limits of a fetch.
const (
	fetchSilentTimeouts = 2               // call timeouts without a byte: a lost packet is resent after about 200 ms
	maxFetchTime        = 5 * time.Second // in total: a megabyte takes 0.8 s over 10 Mbit/s
)

// fetch gets the newer content from a peer and validates it like content from the platform.
func (r *Router) fetch(a aheadPeer) {
	from := a.from
	reply, err := r.fetchWithRetry(a)
	if err != nil {
		return
	}
	r.Fetches.Done.Add(1)
	if reply.Document.Revision != 0 {
		r.Fetches.Documents.Add(1)
		src, err := unpackDocument(&reply.Document, r.board.Config)
		if err != nil {
			// Skip the roster as well: a host that has a roster is assumed to have every document
			// published before it.
			r.log.Warn("fetched document is broken", zap.String("from", from.Name), zap.Uint64("revision", reply.Document.Revision), zap.Error(err))
			return
		}
		r.Offer(reply.Document.Revision, src, "peer "+from.Name)
	}
	if ro := r.rosterOf(reply, from); ro != nil {
		r.OfferRoster(ro, "peer "+from.Name)
	}
}

// rosterOf returns the roster of a reply, or nil if there is none to apply.
func (r *Router) rosterOf(reply *FetchReply, from HostIdentity) *config.Roster {
	if reply.Change != nil {
		if !reply.Software {
			forgetSoftware(reply.Change.Changed)
		}
		return r.board.Config.ApplyChange(reply.Change)
	}
	if len(reply.Whole) == 0 {
		return nil
	}
	ro, err := unpackRoster(reply.Whole)
	if err != nil {
		r.log.Warn("fetched roster is broken", zap.String("from", from.Name), zap.Error(err))
		return nil
	}
	if !reply.Software {
		forgetSoftware(ro.Endpoints)
	}
	return ro.Roster()
}

// forgetSoftware marks the software of endpoints as unknown.
func forgetSoftware(list []config.Endpoint) {
	for i := range list {
		list[i] = list[i].WithUnknownSoftware()
	}
}

// fetchWithRetry makes the call of a fetch. If a connection that was already open stays silent,
// it retries over a new one: open connections may go silent for good while new ones work.
func (r *Router) fetchWithRetry(a aheadPeer) (*FetchReply, error) {
	for {
		open, reused := r.bulk.openFor(a.from.Peers)
		reply, err := r.callFetch(a.from)
		if err == nil {
			return reply, nil
		}
		r.Fetches.Failed.Add(1)
		r.log.Warn("fetch failed", zap.String("from", a.from.Name), zap.Uint64("revision", a.revision), zap.Stringer("roster", a.roster),
			zap.Duration("behind", r.board.Config.Behind(time.Now())), zap.Duration("connection_open", open), zap.Error(err))
		if !reused || !isTimeout(err) || !r.isBehind(a) {
			return nil, err
		}
	}
}

// callFetch makes the call of a fetch. It closes a connection that gave no answer: if it were
// kept, every later fetch from that host would fail too, and changes would take effect seconds
// late.
func (r *Router) callFetch(from HostIdentity) (*FetchReply, error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	go func() {
		silence := fetchSilentTimeouts * r.timeout()
		for wait.For(ctx, silence) {
			if !r.bulk.readWithin(from.Peers, silence) {
				cancel(ErrUnreachable)
			}
		}
	}()
	held := r.board.Config.Newest()
	args := FetchArgs{After: held.Revision, Sum: held.Sum, Roster: r.board.Config.RosterRevision()}
	reply := new(FetchReply)
	err := r.bulk.call(ctx, from.Peers, methodFetch, &args, reply, maxFetchTime)
	if err != nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	if isTimeout(err) {
		r.bulk.closeConn(from.Peers)
	}
	return reply, err
}

// answerFetch returns what a host lacks. The roster is read before the document: a host that
// applies the roster must also get every document that was published before it.
func (r *Router) answerFetch(a *FetchArgs) (reply FetchReply, err error) {
	whole, change := r.board.Config.RosterSince(a.Roster, time.Now())
	reply.Software = true
	if reply.Change = change; whole != nil {
		if reply.Whole, err = r.packer.packRoster(whole); err != nil {
			return reply, err
		}
	}
	newest := r.board.Config.Newest()
	if newest.Revision <= a.After {
		return reply, nil
	}
	base := r.board.Config.Source(a.After)
	if base != nil && base.Sum != a.Sum {
		base = nil // the same revision was published with different content, so the receiver can't use this base
	}
	reply.Document, err = r.packer.pack(newest, base)
	return reply, err
}
