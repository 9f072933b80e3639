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

// forgetAfter is how long a host that isn't on the platform's list is remembered after its last
// sign of life.
const forgetAfter = 5 * time.Minute

// Exchanger returns the controller that, in each round, exchanges state with one randomly chosen
// peer, in both directions.
func (r *Router) Exchanger() blackboard.Controller {
	var next time.Time // rounds don't overlap
	return blackboard.Every(r.heartbeatInterval(), func(ctx context.Context) {
		now := time.Now()
		if now.Before(next) {
			return
		}
		next = now.Add(r.roundInterval() - r.heartbeatInterval()/2)
		r.board.Hosts.Tick(now)
		r.board.Hosts.SetRound(r.heartbeatRound(), now)
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

// exchangeWith makes one full exchange, and starts a fetch if the other host has a newer
// revision.
func (r *Router) exchangeWith(ctx context.Context, h blackboard.Host) { r.exchange(ctx, h, false) }

// exchange makes one exchange; with changesOnly set, it carries no digests. While this host is
// joining, only one exchange at a time runs with each other host, and exchange returns before a
// late answer arrives.
func (r *Router) exchange(ctx context.Context, h blackboard.Host, changesOnly bool) {
	if !r.board.Joining(time.Now()) {
		r.exchangeWithin(ctx, h, changesOnly, r.timeout())
		return
	}
	if !r.joins.begin(h.Peers) {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer r.joins.end(h.Peers)
		r.exchangeWithin(ctx, h, changesOnly, joinTimeout)
	}()
	select {
	case <-ended:
	case <-time.After(r.timeout()):
	}
}

// exchangeWithin makes one exchange with the given time limit.
func (r *Router) exchangeWithin(ctx context.Context, h blackboard.Host, changesOnly bool, timeout time.Duration) {
	r.mu.Lock()
	r.exchanges++
	heads := r.exchanges%headsInterval == 0
	if !changesOnly {
		r.digestsSentAt = time.Now()
	}
	r.mu.Unlock()
	all := !changesOnly && r.shouldRequestAll(time.Now())
	args := r.buildExchange(sendOptions{to: HostIdentity{Domain: h.Domain, Region: h.Region}, heads: heads, changesOnly: changesOnly})
	args.All = all
	args.Want = r.wantedNames()
	reply := new(ExchangeReply)
	began := time.Now()
	err := r.pool.call(ctx, h.Peers, methodExchange, &args, reply, timeout)
	if errors.Is(err, ErrUnreachable) {
		// The open connection may have gone silent. Its answer may still arrive, so the new
		// connection gets a reply value of its own.
		reply, began = new(ExchangeReply), time.Now()
		err = r.pool.callOnNewConn(ctx, h.Peers, methodExchange, &args, reply, timeout)
	}
	if err != nil {
		return
	}
	if !changesOnly && !all {
		r.mu.Lock()
		r.exchangeBytes = len(args.Digests) + len(reply.Digests) + heartbeatBytes*(len(args.Beats)+len(reply.Beats))
		r.mu.Unlock()
	}
	now := time.Now()
	r.noteRoundTrip(h, now.Sub(began))
	r.merge(*reply, now, began)
	r.compareMembers(reply.Members, now)
	r.noteMarks(ctx, h, reply.Marks, reply.Learning)
	r.compareMarks(ctx, h, reply.Marks, now)
	r.learnVersions(h)
	if !changesOnly {
		r.requestNames(ctx, h)
	}
}

// requestNames requests the names of hosts that are known only by number, at once. It asks the
// host that sent the numbers first and then others, so that the seeds don't have to introduce
// every host to every other: when 150 hosts started together, the two seeds had sent 5 MB after
// two seconds over links of 10 Mbit/s, and after six seconds only three hosts knew all others.
func (r *Router) requestNames(ctx context.Context, h blackboard.Host) {
	for round := range uint64(maxNameRequests) {
		if len(r.wantedNames()) == 0 {
			return
		}
		r.exchange(ctx, h, true)
		if next, ok := r.partner(round+1, time.Now()); ok {
			h = next
		}
	}
}

// maxNameRequests is how many hosts are asked for names, one after the other.
const maxNameRequests = 6

// heartbeatBytes is the approximate size of a heartbeat on the wire.
const heartbeatBytes = 18

// exchangeBudget limits what exchanges cost a host, in bytes per second. A host starts one
// exchange per round and answers one on average. In large regions rounds become longer, and
// digests older, but the cost doesn't grow. The budget leaves capacity for all other peer traffic
// within the 15 KB per second that control may use.
const exchangeBudget = 4000

// roundInterval returns the duration of a round.
func (r *Router) roundInterval() time.Duration {
	r.mu.Lock()
	size := r.exchangeBytes
	r.mu.Unlock()
	return max(r.heartbeatInterval(), time.Duration(2*size)*time.Second/exchangeBudget)
}

// largeExchange is the exchange size, in bytes, above which change notices, which are frequent,
// omit digests. A region of about 200 endpoints reaches it. In smaller regions change notices
// help to keep digests fresh.
const largeExchange = 5000

// omitDigests reports whether change notices have to omit digests. With more than maxDigests
// endpoints the size of an exchange no longer grows, so the number of endpoints is checked as
// well.
func (r *Router) omitDigests() bool {
	v := r.board.Config.View()
	return v != nil && v.Endpoints.Len() > maxDigests || r.exchangesTooLarge()
}

// exchangesTooLarge reports whether exchanges have grown too large for change notices to carry
// digests.
func (r *Router) exchangesTooLarge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exchangeBytes > largeExchange
}

// maxWantedNames is how many names are requested per exchange; their answer takes about 5 KB.
const maxWantedNames = 64

// wantedNames returns hosts whose names are missing; if there are too many, an arbitrary subset.
func (r *Router) wantedNames() []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []uint32
	for n := range r.unnamed {
		if out = append(out, n); len(out) == maxWantedNames {
			break
		}
	}
	return out
}

// merge merges the state of another host, as it was at a time or later. It returns the ages of the digests
// that the host has.
func (r *Router) merge(e ExchangeReply, now, at time.Time) digestAges {
	r.introduce(e.From, now)
	r.owner.ObserveFence(e.Fence)
	for _, n := range e.Names {
		r.introduce(n, now)
	}
	changed, announce := false, false
	for _, b := range e.Beats {
		cur, _, known := r.board.Hosts.Get(b.Number, now)
		if !known {
			r.mu.Lock()
			r.unnamed[b.Number] = true
			r.mu.Unlock()
			continue
		}
		announce = announce || b.Incarnation > cur.Incarnation || b.Leaving && !cur.Leaving && b.Incarnation == cur.Incarnation
		cur.Incarnation, cur.Heartbeat, cur.Leaving, cur.Unconfirmed = b.Incarnation, b.Beat, b.Leaving, false
		changed = r.board.Hosts.Learn(cur, now) || changed
	}
	for _, b := range e.Gone {
		announce = r.board.Hosts.Suspect(b.Number, b.Incarnation, b.Beat, now) || announce
	}
	if announce {
		changed = true
		r.announceChanges()
	}
	ds, err := unpack(e.Digests)
	if err != nil {
		r.log.Warn("exchange has damaged digests", zap.String("from", e.From.Name), zap.Error(err))
	}
	if err := r.learnSummaries(e.Regions, now); err != nil {
		r.log.Warn("exchange has damaged region summaries", zap.String("from", e.From.Name), zap.Error(err))
	}
	peerAges := make(digestAges, len(ds))
	for _, d := range ds {
		r.board.Endpoints.Learn(d, now)
		peerAges[d.Number] = d.AgeMillis
	}
	r.applyStanding(aheadPeer{from: e.From, revision: e.Revision, roster: e.Roster}, e.Heard, at)
	if changed {
		r.board.Wake.All()
	}
	return peerAges
}

// introduce records a host's identity. It isn't a sign of life.
func (r *Router) introduce(n HostIdentity, now time.Time) {
	if n.Name == "" {
		return
	}
	num := request.HostNumber(n.Name)
	r.mu.Lock()
	delete(r.unnamed, num)
	r.mu.Unlock()
	r.board.Hosts.Learn(blackboard.Host{Name: n.Name, Number: num, Domain: n.Domain, Region: n.Region, Peers: n.Peers}, now)
}

// MergeHostList merges the platform's list of hosts.
func (r *Router) MergeHostList(l *publish.HostList) {
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

// announceAllLimit is the fleet size up to which a leaving host informs every host of the region
// directly. In a larger fleet it informs its own domain, and exchanges spread the change further.
const announceAllLimit = 32

// Announce sends this host's state to the live hosts at once. A leaving host calls it before it
// waits for its requests to end.
func (r *Router) Announce(ctx context.Context) {
	now := time.Now()
	self := r.board.Hosts.Self()
	small := r.board.Hosts.Len() <= announceAllLimit
	var targets []blackboard.Host
	r.board.Hosts.Each(now, func(h *blackboard.Host, live bool) {
		near := h.Domain == self.Domain || small && h.Region == self.Region
		if h.Number != self.Number && near && live && h.Peers != "" {
			targets = append(targets, *h)
		}
	})
	var wg sync.WaitGroup
	for _, h := range targets {
		wg.Go(func() { r.exchangeWith(ctx, h) })
	}
	wg.Wait()
}

// ExchangeOnce makes one exchange with the host at an address. It is used for measurements.
func (r *Router) ExchangeOnce(ctx context.Context, addr string) {
	r.exchangeWith(ctx, blackboard.Host{Peers: addr, Region: r.board.Settings.Region})
}
