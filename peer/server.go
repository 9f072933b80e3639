package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/request"
)

// server serves the remote methods to other hosts.
type server struct {
	r   *Router
	ctx context.Context
}

func (s *server) Reserve(a *owner.ReserveArgs, reply *owner.ReserveReply) (err error) {
	if spec := s.handedOver(a.Endpoint); spec != nil && !a.Forwarded {
		a.Forwarded = true
		*reply, err = s.r.Reserve(s.ctx, spec, *a)
		return err
	}
	*reply, err = s.r.owner.Reserve(s.ctx, *a)
	return err
}

// handedOver returns the endpoint if this host no longer owns it because it is leaving and the
// caller doesn't know that yet. Otherwise it returns nil.
func (s *server) handedOver(endpoint uint32) *config.Endpoint {
	v := s.r.board.Config.View()
	if !s.r.board.Leaving() || v == nil {
		return nil
	}
	return v.Endpoints.Get(endpoint)
}

func (s *server) Inherit(a *InheritArgs, reply *owner.Handover) error {
	*reply = s.r.owner.Reservations(a.Endpoint)
	return nil
}

func (s *server) Enqueue(a *owner.EnqueueArgs, reply *owner.EnqueueReply) (err error) {
	*reply, err = s.r.owner.Enqueue(s.ctx, *a)
	return err
}

func (s *server) Release(a *ReleaseArgs, _ *Nothing) error {
	s.r.owner.Release(a.Rows)
	return nil
}

func (s *server) Exchange(a *ExchangeArgs, reply *ExchangeReply) error {
	now := time.Now()
	delay := s.r.transits.delay(request.HostNumber(a.From.Name), a.Sent, s.r.uptime())
	peerAges := s.r.merge(ExchangeReply(*a), now, now.Add(-delay))
	if !s.r.MarksKnown() {
		go s.r.noteMarks(s.ctx, blackboard.Host{Peers: a.From.Peers}, a.Marks, a.Learning)
	}
	*reply = ExchangeReply(s.r.buildExchange(sendOptions{to: a.From, want: a.Want, heads: a.Heads, changesOnly: a.News, all: a.All, peerAges: peerAges}))
	return nil
}

func (s *server) Ping(_ *Nothing, reply *Heartbeat) error {
	h := s.r.board.Hosts.Self()
	*reply = heartbeatOf(&h)
	return nil
}

func (s *server) FetchPacked(a *FetchArgs, reply *FetchReply) (err error) {
	*reply, err = s.r.answerFetch(a)
	return err
}

func (s *server) Claims(a *ClaimsArgs, reply *ClaimsReply) error {
	for _, at := range a.Attempts {
		reply.Held = append(reply.Held, s.r.board.Requests.IsOpen(at))
	}
	return nil
}

func (s *server) Handover(h *owner.Handover, _ *Nothing) error {
	return s.r.owner.AcceptHandover(s.ctx, *h)
}

func (s *server) Kept(a *owner.KeptArgs, reply *owner.KeptReply) error {
	*reply = s.r.owner.Kept(s.ctx, *a)
	return nil
}

func (s *server) KeyBegin(a *KeyArgs, reply *KeyReply) (err error) {
	*reply, err = s.r.keyBegin(s.ctx, *a)
	return err
}

func (s *server) KeyEnd(a *KeyArgs, _ *Nothing) error {
	s.r.keyEnd(s.ctx, *a)
	return nil
}

// Serve serves other hosts on the listener until ctx ends.
func (r *Router) Serve(ctx context.Context, l net.Listener) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName("P", &server{r: r, ctx: ctx}); err != nil {
		return errors.Wrap(err, "peer")
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for c := range open {
			c.Close()
		}
	})
	defer stop()
	for {
		c, err := r.accept(ctx, l)
		if err != nil {
			wg.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "peer listener")
		}
		mu.Lock()
		open[c] = true
		mu.Unlock()
		if ctx.Err() != nil {
			c.Close()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.serveConn(ctx, srv, c)
			mu.Lock()
			defer mu.Unlock()
			delete(open, c)
		}()
	}
}

// Pauses after a connection that couldn't be accepted, which double up to the longest.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// accept accepts a connection. A process that lacks descriptors or memory for one tries again: its requests in progress free some.
func (r *Router) accept(ctx context.Context, l net.Listener) (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		c, err := l.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return c, err
		}
		r.log.Warn("a host's connection can't be accepted", zap.Error(err))
		wait.For(ctx, pause)
	}
}

// serveConn answers the calls on a connection. If the first one asks for a tunnel, the connection
// becomes that.
func (r *Router) serveConn(ctx context.Context, srv *rpc.Server, c net.Conn) {
	codec := &serverCodec{wire: newWire(counted(c, &r.Traffic), &r.PurposeTraffic)}
	first, err := codec.readFirst()
	switch {
	case err != nil:
		codec.Close()
	case first.ServiceMethod == methodTunnel && r.Tunnels != nil:
		r.serveTunnel(ctx, c, codec, first)
	default:
		srv.ServeCodec(codec)
	}
}

// sendOptions selects what to send to another host.
type sendOptions struct {
	to          HostIdentity
	want        []uint32   // hosts whose identity was requested
	heads       bool       // include cached prompts
	changesOnly bool       // omit digests
	all         bool       // include all heartbeats
	peerAges    digestAges // of the digests that the other host has just sent
}

// digestAges are the ages of a host's digests in ms, by endpoint.
type digestAges map[uint32]uint32

// minFresherMillis is how much younger than the other host's digest, in ms, one must be to be
// worth sending back.
const minFresherMillis = 100

// lacks reports whether the host has no digest of an endpoint, or an older one.
func (k digestAges) lacks(number, ageMillis uint32) bool {
	age, known := k[number]
	return !known || ageMillis+minFresherMillis < age
}

// buildExchange returns what this host knows: heartbeats for any host, digests of endpoints for
// hosts of the same region.
func (r *Router) buildExchange(t sendOptions) ExchangeArgs {
	now := time.Now()
	// Read this first: if an answer arrived in between, its age would make older revisions look
	// fresh.
	age, ever := r.board.Config.PlatformSilence(now)
	self := r.board.Hosts.Self()
	a := ExchangeArgs{From: HostIdentity{self.Name, self.Domain, self.Region, self.Peers}, Revision: r.board.Config.Revision(),
		Roster: r.board.Config.RosterRevision(), Fence: r.owner.Fence(), Heads: t.heads, News: t.changesOnly, All: t.all,
		Beats: r.heartbeats(now, t.changesOnly, t.all), Members: r.board.Hosts.Members(now), Marks: r.marksHash(), Learning: !r.MarksKnown()}
	if ever {
		a.Heard, a.Sent = encodeAge(age), r.sentNow()
	}
	for _, h := range r.board.Hosts.Suspected(now, goneSendFor) {
		a.Gone = append(a.Gone, heartbeatOf(&h))
	}
	for _, n := range t.want {
		if h, _, known := r.board.Hosts.Get(n, now); known {
			a.Names = append(a.Names, HostIdentity{h.Name, h.Domain, h.Region, h.Peers})
		}
	}
	if !t.changesOnly {
		a.Regions = r.summaries(now, t.to.Region)
	}
	if t.to.Region == self.Region && !t.changesOnly {
		a.Digests = r.digests(now, t)
	}
	return a
}

// digests returns the packed digests that another host of the region may lack.
func (r *Router) digests(now time.Time, t sendOptions) []byte {
	for _, d := range r.owner.Digests(now) {
		r.board.Endpoints.Learn(d, now)
	}
	ds := r.board.Endpoints.Digests(now, blackboard.DigestQuery{Domain: r.preferredDomain(t.to.Domain), MaxAge: maxDigestAge, Max: maxDigests, Want: t.peerAges.lacks})
	for i := range ds {
		ds[i].Heads = ds[i].Heads[:min(len(ds[i].Heads), maxSentHeads)]
		if !t.heads {
			ds[i].Heads = nil
		}
	}
	return pack(ds)
}

// maxDigests is how many digests an exchange carries, about 4 KB. With those of thousands of
// endpoints, rounds would have to last many seconds to stay within their budget, and the
// heartbeats and names in the same exchanges would be as late.
const maxDigests = 160

// preferredDomain returns the failure domain whose digests are most useful to a host of the given
// domain: its own, if there are more endpoints than an exchange carries. Otherwise it returns the
// empty string, for all domains.
func (r *Router) preferredDomain(domain string) string {
	v := r.board.Config.View()
	if v != nil && v.Endpoints.Len() > maxDigests && v.DomainIndex(domain) >= 0 {
		return domain
	}
	return ""
}

// maxSentHeads is how many cached prompts per endpoint are sent. One in headsInterval exchanges
// carries them, as they change slowly and take much space.
const (
	maxSentHeads  = 8
	headsInterval = 8
)

// maxDigestAge is the age from which a digest isn't forwarded.
const maxDigestAge = 10 * time.Second
