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

// Exchanges only tell of revisions; who lacks one fetches it. A document may be
// large and a link narrow, and many hosts tell of the same one. So a host makes
// one fetch at a time, over a connection of its own that keeps no other call
// waiting, and gives it up for silence, not for the time that it takes: a fetch
// that is begun anew has to send everything again.

// ahead is a host that told of something newer.
type ahead struct {
	from     Name
	revision uint64
	roster   config.Position
}

// mostAhead is how many hosts that told of something newer are remembered during a fetch.
// Where a fetch fails, the next one is asked at once instead of whoever tells again: one of
// 58 real processes had six fetches fail in a row, for 1.8 s, after its connections had gone
// silent.
const mostAhead = 4

// fetcher makes sure that one fetch runs at a time. The zero value works.
type fetcher struct {
	mu   sync.Mutex
	busy bool
	next []ahead // who told of more during the fetch, the last one last
}

// begin reports whether the caller has to fetch. Otherwise a fetch is running,
// and who told is asked after it if that is still of use.
func (f *fetcher) begin(a ahead) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.busy {
		f.busy = true
		return true
	}
	f.next = slices.DeleteFunc(f.next, func(n ahead) bool { return n.from.Peers == a.from.Peers })
	if len(f.next) == mostAhead {
		f.next = slices.Delete(f.next, 0, 1)
	}
	f.next = append(f.next, a)
	return false
}

// end returns who is to be asked next, if anybody: of those remembered, who told of the most.
func (f *fetcher) end() (ahead, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.next) == 0 {
		f.busy = false
		return ahead{}, false
	}
	most := 0
	for i, n := range f.next {
		if m := f.next[most]; n.revision >= m.revision && n.roster >= m.roster {
			most = i
		}
	}
	a := f.next[most]
	f.next = slices.Delete(f.next, most, most+1)
	return a, true
}

// lacks reports whether this host lacks what another has.
func (r *Router) lacks(a ahead) bool {
	return a.revision > r.board.Config.Revision() || a.roster > r.board.Config.RosterRevision()
}

// catchUp fetches from a host that is ahead, unless a fetch is running.
func (r *Router) catchUp(a ahead) {
	if !r.lacks(a) || !r.fetcher.begin(a) {
		return
	}
	go func() {
		for more := true; more; a, more = r.fetcher.end() {
			if r.lacks(a) {
				r.fetch(a)
			}
		}
	}()
}

// Bounds of a fetch.
const (
	fetchSilence = 2               // calls' time-outs without a byte: a lost packet is sent again after some 200 ms
	fetchMost    = 5 * time.Second // in all: a megabyte takes 0.8 s over 10 Mbit/s
)

// fetch gets what is newer from a peer and judges it like what comes from the
// platform.
func (r *Router) fetch(a ahead) {
	from := a.from
	reply, err := r.askAgain(a)
	if err != nil {
		return
	}
	r.Fetches.Done.Add(1)
	if reply.Document.Revision != 0 {
		r.Fetches.Documents.Add(1)
		src, err := unpackDocument(&reply.Document, r.board.Config)
		if err != nil {
			// The roster isn't taken either: whoever has it is taken to know
			// each document that was published before it.
			r.log.Warn("fetched document is broken", zap.String("from", from.Name), zap.Uint64("revision", reply.Document.Revision), zap.Error(err))
			return
		}
		r.Offer(reply.Document.Revision, src, "peer "+from.Name)
	}
	if ro := r.rosterOf(reply, from); ro != nil {
		r.OfferRoster(ro, "peer "+from.Name)
	}
}

// rosterOf returns the roster that a peer told of, nil if there is none to take over.
func (r *Router) rosterOf(reply *FetchReply, from Name) *config.Roster {
	if reply.Change != nil {
		return r.board.Config.After(reply.Change)
	}
	if len(reply.Whole) == 0 {
		return nil
	}
	ro, err := unpackRoster(reply.Whole)
	if err != nil {
		r.log.Warn("fetched roster is broken", zap.String("from", from.Name), zap.Error(err))
		return nil
	}
	return ro.Roster()
}

// askAgain makes the call of a fetch, once more over a new connection where the one that
// was kept says nothing: open connections may go silent for good while new ones work.
func (r *Router) askAgain(a ahead) (*FetchReply, error) {
	for {
		open, kept := r.bulk.openFor(a.from.Peers)
		reply, err := r.askFor(a.from)
		if err == nil {
			return reply, nil
		}
		r.Fetches.Failed.Add(1)
		r.log.Warn("fetch failed", zap.String("from", a.from.Name), zap.Uint64("revision", a.revision), zap.Stringer("roster", a.roster),
			zap.Duration("behind", r.board.Config.Behind(time.Now())), zap.Duration("connection_open", open), zap.Error(err))
		if !kept || !silent(err) || !r.lacks(a) {
			return nil, err
		}
	}
}

// askFor makes the call of a fetch. A connection that it got no answer on is given up: kept,
// each later fetch from that host would fail on it, and changes come into force seconds later.
func (r *Router) askFor(from Name) (*FetchReply, error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	go func() {
		silence := fetchSilence * r.timeout()
		for wait.For(ctx, silence) {
			if !r.bulk.readWithin(from.Peers, silence) {
				cancel(ErrOutOfReach)
			}
		}
	}()
	held := r.board.Config.Newest()
	args := FetchArgs{After: held.Revision, Sum: held.Sum, Roster: r.board.Config.RosterRevision()}
	reply := new(FetchReply)
	err := r.bulk.call(ctx, from.Peers, methodFetch, &args, reply, fetchMost)
	if err != nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	if silent(err) {
		r.bulk.giveUp(from.Peers)
	}
	return reply, err
}

// answerFetch returns what a host lacks. The roster is read first: who takes it
// over must get every document that was published before it.
func (r *Router) answerFetch(a *FetchArgs) (reply FetchReply, err error) {
	whole, change := r.board.Config.RosterSince(a.Roster, time.Now())
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
		base = nil // published with two contents: the asker can't unpack against this one
	}
	reply.Document, err = r.packer.pack(newest, base)
	return reply, err
}
