package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
)

// server answers other hosts. Its methods are the remote ones.
type server struct {
	r   *Router
	ctx context.Context
}

func (s *server) Reserve(a *owner.ReserveArgs, reply *owner.ReserveReply) (err error) {
	if spec := s.elsewhere(a.Endpoint); spec != nil && !a.Forwarded {
		a.Forwarded = true
		*reply, err = s.r.Reserve(s.ctx, spec, *a)
		return err
	}
	*reply, err = s.r.owner.Reserve(s.ctx, *a)
	return err
}

// elsewhere returns an endpoint whose owner this host no longer is because it
// leaves; the asker hasn't heard of that yet. Else it returns nil.
func (s *server) elsewhere(endpoint uint32) *config.Endpoint {
	v := s.r.board.Config.View()
	if !s.r.board.Leaving() || v == nil {
		return nil
	}
	return v.Endpoints.Get(endpoint)
}

func (s *server) Inherit(a *InheritArgs, reply *owner.Handover) error {
	*reply = s.r.owner.Tell(a.Endpoint)
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
	knows := s.r.takeIn(ExchangeReply(*a), time.Now())
	*reply = ExchangeReply(s.r.tell(telling{to: a.From, want: a.Want, heads: a.Heads, news: a.News, all: a.All, knows: knows}))
	return nil
}

func (s *server) Ping(_ *Nothing, reply *Beat) error {
	h := s.r.board.Hosts.Self()
	*reply = beatOf(&h)
	return nil
}

func (s *server) FetchPacked(a *FetchArgs, reply *FetchReply) (err error) {
	*reply, err = s.r.answerFetch(a)
	return err
}

func (s *server) Claims(a *ClaimsArgs, reply *ClaimsReply) error {
	for _, at := range a.Attempts {
		reply.Held = append(reply.Held, s.r.board.Requests.Holds(at))
	}
	return nil
}

func (s *server) Handover(h *owner.Handover, _ *Nothing) error { return s.r.owner.Accept(s.ctx, *h) }

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

// Serve answers other hosts on the listener until ctx ends.
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
		c, err := l.Accept()
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
			srv.ServeCodec(&answering{wire: newWire(counted(c, &r.Traffic), &r.Spent)})
			mu.Lock()
			defer mu.Unlock()
			delete(open, c)
		}()
	}
}

// telling says what is told to another host.
type telling struct {
	to    Name
	want  []uint32 // hosts to introduce
	heads bool     // what is known of cached prompts as well
	news  bool     // no digests
	all   bool     // every heartbeat
	knows ages     // what the other has just told of
}

// ages are those of the digests that a host told of, in ms, by endpoint.
type ages map[uint32]uint32

// fresher is by how much a digest must be younger than the one that the other
// host has told of, in ms, to be told back.
const fresher = 100

// lacks reports whether a host is without a digest, or has an older one.
func (k ages) lacks(number, ageMillis uint32) bool {
	age, known := k[number]
	return !known || ageMillis+fresher < age
}

// tell returns what this host knows, for another host: heartbeats to all,
// digests of endpoints to hosts of the region.
func (r *Router) tell(t telling) ExchangeArgs {
	now := time.Now()
	// Read first: an answer that is taken over meanwhile would make older revisions look fresh.
	heard, ever := r.board.Config.HeardFor(now)
	self := r.board.Hosts.Self()
	a := ExchangeArgs{From: Name{self.Name, self.Domain, self.Region, self.Peers}, Revision: r.board.Config.Revision(),
		Roster: r.board.Config.RosterRevision(), Fence: r.owner.Fence(), Heads: t.heads, News: t.news, All: t.all,
		Beats: r.beats(now, t.news, t.all), Members: r.board.Hosts.Members(now), Marks: r.board.Suspects.Sum()}
	if ever {
		a.Heard = heardMillis(heard)
	}
	for _, h := range r.board.Hosts.Accused(now, goneTold) {
		a.Gone = append(a.Gone, beatOf(&h))
	}
	for _, n := range t.want {
		if h, _, known := r.board.Hosts.Get(n, now); known {
			a.Names = append(a.Names, Name{h.Name, h.Domain, h.Region, h.Peers})
		}
	}
	if !t.news {
		a.Regions = r.summaries(now, t.to.Region)
	}
	if t.to.Region == self.Region && !t.news {
		a.Digests = r.digests(now, t)
	}
	return a
}

// digests returns the packed digests that another host of the region may lack.
func (r *Router) digests(now time.Time, t telling) []byte {
	for _, d := range r.owner.Digests(now) {
		r.board.Endpoints.Learn(d, now)
	}
	ds := r.board.Endpoints.Digests(now, blackboard.Wanted{Domain: r.useful(t.to.Domain), MaxAge: maxDigestAge, Most: mostDigests, Lacking: t.knows.lacks})
	for i := range ds {
		ds[i].Heads = ds[i].Heads[:min(len(ds[i].Heads), toldHeads)]
		if !t.heads {
			ds[i].Heads = nil
		}
	}
	return pack(ds)
}

// mostDigests is how many digests an exchange tells of, some 4 KB. With those of thousands of
// endpoints rounds would have to last many seconds to stay within their budget, and
// heartbeats and names, which go the same way, would be as late.
const mostDigests = 160

// useful returns the failure domain whose digests another host has most use for: where there
// are more endpoints than an exchange tells of, its own; empty: all.
func (r *Router) useful(domain string) string {
	v := r.board.Config.View()
	if v != nil && v.Endpoints.Len() > mostDigests && v.DomainIndex(domain) >= 0 {
		return domain
	}
	return ""
}

// toldHeads is how many cached prompts of an endpoint are told of, and
// headsEvery in how many exchanges: they change slowly and take much room.
const (
	toldHeads  = 8
	headsEvery = 8
)

// maxDigestAge is the age from which a digest isn't handed on.
const maxDigestAge = 10 * time.Second
