package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/publish"
	"github.com/embercove/embercove/request"
)

// forgetAfter is how long an unlisted host is remembered in silence.
const forgetAfter = 5 * time.Minute

// Exchanger returns the controller that exchanges knowledge with one random
// peer at each heartbeat, by push and pull.
func (r *Router) Exchanger() blackboard.Controller {
	var next time.Time // no two rounds run at once
	return blackboard.Every(r.heartbeat(), func(ctx context.Context) {
		now := time.Now()
		if now.Before(next) {
			return
		}
		next = now.Add(r.every() - r.heartbeat()/2)
		r.board.Hosts.Tick(now)
		r.board.Hosts.SetRound(r.beatRound())
		r.board.Hosts.Forget(now, forgetAfter, r.isListed)
		r.mu.Lock()
		r.round++
		round := r.round
		r.mu.Unlock()
		if h, ok := r.partner(round, now); ok {
			r.exchangeWith(ctx, h)
		}
	})
}

func (r *Router) isListed(n uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed[n]
}

// exchangeWith makes one exchange and fetches the revision if the other is
// ahead.
func (r *Router) exchangeWith(ctx context.Context, h blackboard.Host) { r.exchange(ctx, h, false) }

// exchange makes one exchange; one of news alone carries no digests. While this host
// joins, one at a time is made with each other host, and it returns before a late answer.
func (r *Router) exchange(ctx context.Context, h blackboard.Host, news bool) {
	if !r.board.Joining(time.Now()) {
		r.exchangeWithin(ctx, h, news, r.timeout())
		return
	}
	if !r.joins.begin(h.Peers) {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer r.joins.end(h.Peers)
		r.exchangeWithin(ctx, h, news, joinPatience)
	}()
	select {
	case <-ended:
	case <-time.After(r.timeout()):
	}
}

// exchangeWithin makes one exchange whose answer has to come in time.
func (r *Router) exchangeWithin(ctx context.Context, h blackboard.Host, news bool, patience time.Duration) {
	r.mu.Lock()
	r.told++
	heads := r.told%headsEvery == 0
	if !news {
		r.digestsAt = time.Now()
	}
	r.mu.Unlock()
	all := !news && r.asksAll(time.Now())
	args := r.tell(telling{to: Name{Domain: h.Domain, Region: h.Region}, heads: heads, news: news})
	args.All = all
	args.Want = r.wanted()
	reply := new(ExchangeReply)
	began := time.Now()
	err := r.pool.call(ctx, h.Peers, methodExchange, &args, reply, patience)
	if errors.Is(err, ErrOutOfReach) {
		// The connection may have gone silent, as all others may. Its answer may
		// still come, so another takes the one of the new connection.
		reply, began = new(ExchangeReply), time.Now()
		err = r.pool.callAnew(ctx, h.Peers, methodExchange, &args, reply, patience)
	}
	if err != nil {
		return
	}
	if !news && !all {
		r.mu.Lock()
		r.size = len(args.Digests) + len(reply.Digests) + beatBytes*(len(args.Beats)+len(reply.Beats))
		r.mu.Unlock()
	}
	now := time.Now()
	r.noteTrip(h, now.Sub(began))
	r.takeIn(*reply, now)
	r.compareMembers(reply.Members, now)
	r.compareMarks(ctx, h, reply.Marks, now)
	if !news {
		r.askNames(ctx, h)
	}
}

// askNames asks for the names of hosts that are known by number only, at once. The host
// that told of them is asked first, then others, so that those by whom all join don't
// have to introduce each to each: of 150 hosts that started together, the two seeds had
// sent 5 MB after two seconds over links of 10 Mbit/s, and after six seconds three hosts
// knew all others.
func (r *Router) askNames(ctx context.Context, h blackboard.Host) {
	for round := range uint64(mostNameAsks) {
		if len(r.wanted()) == 0 {
			return
		}
		r.exchange(ctx, h, true)
		if next, ok := r.partner(round+1, time.Now()); ok {
			h = next
		}
	}
}

// mostNameAsks is how many hosts are asked for names one after the other.
const mostNameAsks = 6

// beatBytes is about what a heartbeat takes on the wire.
const beatBytes = 18

// exchangeBudget is what exchanges may cost a host, in bytes a second. A host starts
// one exchange in each round and answers one on average. Where the region is large,
// rounds become longer instead of dearer, and digests older. It leaves room for all other
// traffic with peers in the 15 KB a second that control may take.
const exchangeBudget = 4000

// every returns the time of a round.
func (r *Router) every() time.Duration {
	r.mu.Lock()
	size := r.size
	r.mu.Unlock()
	return max(r.heartbeat(), time.Duration(2*size)*time.Second/exchangeBudget)
}

// largeExchange is the size of an exchange, in bytes, from which news, which is
// told often, goes without the digests: that of a region of some 200 endpoints.
// In smaller ones news keeps digests fresh as well.
const largeExchange = 5000

// large reports whether news has to go without the digests. Where there are more endpoints
// than an exchange tells of, its size no longer grows with them.
func (r *Router) large() bool {
	v := r.board.Config.View()
	return v != nil && v.Endpoints.Len() > mostDigests || r.overLarge()
}

// overLarge reports whether exchanges have become larger than news may be.
func (r *Router) overLarge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size > largeExchange
}

// mostWanted is how many names are asked for in one exchange: some 5 KB.
const mostWanted = 64

// wanted returns hosts whose names are lacking, any of them if there are many.
func (r *Router) wanted() []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []uint32
	for n := range r.unknown {
		if out = append(out, n); len(out) == mostWanted {
			break
		}
	}
	return out
}

// takeIn learns what another host told. It returns which digests that one has.
func (r *Router) takeIn(e ExchangeReply, now time.Time) ages {
	r.introduce(e.From, now)
	r.owner.SawFence(e.Fence)
	for _, n := range e.Names {
		r.introduce(n, now)
	}
	changed, news := false, false
	for _, b := range e.Beats {
		cur, _, known := r.board.Hosts.Get(b.Number, now)
		if !known {
			r.mu.Lock()
			r.unknown[b.Number] = true
			r.mu.Unlock()
			continue
		}
		news = news || b.Incarnation > cur.Incarnation || b.Leaving && !cur.Leaving && b.Incarnation == cur.Incarnation
		cur.Incarnation, cur.Beat, cur.Leaving, cur.Doubted = b.Incarnation, b.Beat, b.Leaving, false
		changed = r.board.Hosts.Learn(cur, now) || changed
	}
	for _, b := range e.Gone {
		news = r.board.Hosts.Accuse(b.Number, b.Incarnation, b.Beat, now) || news
	}
	if news {
		changed = true
		r.tellAround()
	}
	ds, err := unpack(e.Digests)
	if err != nil {
		r.log.Warn("exchange", zap.String("from", e.From.Name), zap.Error(err))
	}
	if err := r.learnSummaries(e.Regions, now); err != nil {
		r.log.Warn("exchange", zap.String("from", e.From.Name), zap.Error(err))
	}
	has := make(ages, len(ds))
	for _, d := range ds {
		r.board.Endpoints.Learn(d, now)
		has[d.Number] = d.AgeMillis
	}
	r.learnStanding(ahead{from: e.From, revision: e.Revision, roster: e.Roster}, e.Heard, now)
	if changed {
		r.board.Wake.All()
	}
	return has
}

// introduce makes a host known by name. It proves no life.
func (r *Router) introduce(n Name, now time.Time) {
	if n.Name == "" {
		return
	}
	num := request.HostNumber(n.Name)
	r.mu.Lock()
	delete(r.unknown, num)
	r.mu.Unlock()
	r.board.Hosts.Learn(blackboard.Host{Name: n.Name, Number: num, Domain: n.Domain, Region: n.Region, Peers: n.Peers}, now)
}

// Listed takes in the platform's list of hosts.
func (r *Router) Listed(l *publish.HostList) {
	now := time.Now()
	listed := map[uint32]bool{}
	for _, h := range l.Hosts {
		n := request.HostNumber(h.Name)
		listed[n] = true
		r.board.Hosts.Learn(blackboard.Host{Name: h.Name, Number: n, Domain: h.Domain, Region: h.Region, Peers: h.Peers, Leaving: h.Leaving}, now)
		if cur, _, known := r.board.Hosts.Get(n, now); known && h.Leaving {
			r.board.Hosts.ListedLeaving(n, cur.Incarnation)
		}
	}
	r.mu.Lock()
	r.listed = listed
	r.mu.Unlock()
	r.board.Wake.All()
}

// announceAll is the size of a fleet up to which a leaving host tells every
// host of the region; in a larger one it tells its own domain, and the news
// goes around.
const announceAll = 32

// Announce tells the live hosts about this host's state at once; a leaving
// host does so before it waits for its requests to end.
func (r *Router) Announce(ctx context.Context) {
	now := time.Now()
	self := r.board.Hosts.Self()
	small := r.board.Hosts.Len() <= announceAll
	var told []blackboard.Host
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		near := h.Domain == self.Domain || small && h.Region == self.Region
		if h.Number != self.Number && near && live && h.Peers != "" {
			told = append(told, *h)
		}
	})
	var wg sync.WaitGroup
	for _, h := range told {
		wg.Go(func() { r.exchangeWith(ctx, h) })
	}
	wg.Wait()
}

// Once makes one exchange with the host at an address, for measurements.
func (r *Router) Once(ctx context.Context, addr string) {
	r.exchangeWith(ctx, blackboard.Host{Peers: addr, Region: r.board.Settings.Region})
}
