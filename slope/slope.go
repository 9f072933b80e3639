// Package slope measures what control costs an entry host: bytes, processor
// time and memory for each request, endpoint and peer. docs/CAPACITY.md is
// worked out from these slopes.
package slope

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/route"
	"github.com/embercove/embercove/trial"
)

// Exchange is the cost of one exchange between two hosts, on each of them.
type Exchange struct {
	Hosts, Endpoints int
	Bytes            float64 // on the wire, both ways
	Processor        time.Duration
	Heap             float64 // bytes that the tables of one host take
}

// exchanges is how many exchanges a measurement averages over.
const exchanges = 200

// MeasureExchange measures exchanges in a domain with so many hosts and a
// region with so many endpoints. Every digest changes in between.
func MeasureExchange(hosts, endpoints int) (Exchange, error) {
	out := Exchange{Hosts: hosts, Endpoints: endpoints}
	v, err := bigView(endpoints)
	if err != nil {
		return out, err
	}
	net := fake.NewNetwork()
	before := heap()
	a, b := newSide(net, v, "a", hosts), newSide(net, v, "b", hosts)
	out.Heap = float64(heap()-before) / 2
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.Serve(ctx, net.Listen("z", b.addr))
	defer a.Close()
	for range 3 { // connections and types are set up
		a.Once(ctx, b.addr)
	}
	startBytes, startTime := a.Traffic.OnWire(), processor()
	for range exchanges {
		a.age(v)
		a.Once(ctx, b.addr)
	}
	out.Bytes = float64(a.Traffic.OnWire()-startBytes) / exchanges
	out.Processor = (processor() - startTime) / exchanges / 2 // both sides run here
	runtime.KeepAlive(v)
	return out, nil
}

// side is one host of a measured exchange.
type side struct {
	*peer.Router
	board *blackboard.Board
	addr  string
}

func newSide(net *fake.Network, v *config.View, name string, hosts int) *side {
	s := &config.Settings{Host: name, Domain: "d0", Region: "r0", Peers: "127.0.0.1:" + name, Platform: "127.0.0.1:1"}
	s.SetDefaults()
	b := blackboard.New(s)
	if _, err := b.Config.Offer(v.Revision, v.Source); err != nil {
		panic(err) // the document was valid a moment ago
	}
	b.Endpoints.Fit(b.Config.View())
	o := owner.New(b, endpoint.NewClient(net.Dialer("z")), zap.NewNop())
	sd := &side{Router: peer.NewRouter(b, o, net.Dialer("z"), zap.NewNop()), board: b, addr: s.Peers}
	for i := range hosts - 1 {
		n := fmt.Sprintf("host-%d", i)
		b.Hosts.Learn(blackboard.Host{Name: n, Number: request.HostNumber(n), Domain: "d0", Region: "r0", Peers: "127.0.0.1:9",
			Incarnation: uint64(1_800_000_000_000 + i), Beat: uint64(100_000 + i)}, time.Now())
	}
	sd.age(v)
	return sd
}

// age gives every digest a new value, as a busy second does.
func (s *side) age(v *config.View) {
	now := time.Now()
	i := 0
	for n, e := range v.Endpoints.All() {
		i++
		d := route.Digest{Number: n, SlowPct: 104, TrustPct: 88}
		if e.Role == config.Prefill {
			d.QueueMillis = uint32(100 + now.Nanosecond()/1000%900)
			for h := range heads {
				d.Heads = append(d.Heads, route.HeadDigest{Head: uint32(h*7919 + i), Tokens: uint32(2048 + 256*h)})
			}
		} else {
			d.FreeTokens, d.FreeSlots, d.LinkMillis = int32(10_000+now.Nanosecond()/1000%30_000), 7, 40
		}
		s.board.Endpoints.Learn(d, now)
	}
}

// heads is how many cached prompts each prefill engine tells of.
const heads = 24

// bigView returns a revision with so many endpoints, half of them prefill.
func bigView(n int) (*config.View, error) {
	var b strings.Builder
	b.WriteString(`{"failure_domains": [{"name": "d0", "region": "r0"}], "models": [{"name": "m", "version": "v1", "max_tokens": 32768, "kv_bytes_per_token": 50000}],
"routes": [{"name": "all", "requests": "*", "prefill": "*", "decode": "*"}], "targets": {"ttft_ms": 1300, "tpot_ms": 35}, "teams": [`)
	for i := range 730 {
		fmt.Fprintf(&b, `{"name": "team-%d", "weight": 1},`, i)
	}
	b.WriteString(`], "endpoints": [`)
	for i := range n {
		where := fmt.Sprintf(`"address": "10.%d.%d.1:80", "failure_domain": "d0", "model": "m"`, i/250, i%250)
		if i%2 == 0 {
			fmt.Fprintf(&b, `{"name": "p%d", %s, "role": "prefill", "tokens_per_second": 40000},`, i, where)
		} else {
			fmt.Fprintf(&b, `{"name": "d%d", %s, "role": "decode", "memory_tokens": 48000, "slots": 32, "step_micros": 9000, "link_bytes_per_second": 5000000000},`, i, where)
		}
	}
	b.WriteString("]}")
	return config.NewView(1, []byte(b.String()))
}

// Requests is the cost of control for each request, and of owning endpoints.
type Requests struct {
	Rate      float64 // requests a second on each host
	PollBytes float64 // a second for each owned endpoint
	Polls     float64 // a second for each owned endpoint
	Idle      float64 // bytes a second to and from peers without requests
	Processor float64 // of a core for each request a second, with relaying
}

// MeasureRequests runs a deployment of today on loopback, idle and loaded,
// and takes the differences. Stand-ins and callers share the processor, so
// Processor is an upper bound.
func MeasureRequests(span time.Duration) (Requests, error) {
	c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: load.DefaultHosts})
	if err != nil {
		return Requests{}, err
	}
	defer c.Stop()
	n := float64(len(c.Nodes))
	owned := float64(len(c.Doc.Endpoints))
	time.Sleep(time.Second)
	idle := observe(c, func() { time.Sleep(span) })
	mix := load.Mixes["domaskra"]
	const rate = 20.0
	as := mix.Arrivals(5, rate, span, 0)
	s := load.Sender{Addresses: c.Callers(), Model: mix.Model}
	busy := observe(c, func() { s.Send(context.Background(), as) })
	if busy.requests == 0 {
		return Requests{}, errors.New("no request was served")
	}
	return Requests{
		Rate:      busy.requests / busy.seconds / n,
		Idle:      idle.peers / idle.seconds / n,
		PollBytes: idle.polls / idle.seconds / owned,
		Polls:     idle.pollCalls / idle.seconds / owned,
		Processor: (busy.processor - idle.processor/idle.seconds*busy.seconds) / busy.requests,
	}, nil
}

// observed is what all hosts of a cluster used during a span.
type observed struct {
	seconds, peers, polls, pollCalls, processor, requests float64
}

func observe(c *trial.Cluster, f func()) observed {
	read := func() (o observed) {
		for _, n := range c.Nodes {
			o.peers += float64(n.Router.Traffic.OnWire())
			o.polls += float64(n.Client.Control.OnWire())
			o.pollCalls += float64(n.Owner.Polls.Load())
			o.requests += float64(n.Record.Sum().Requests)
		}
		o.processor = processor().Seconds()
		return o
	}
	start, a := time.Now(), read()
	f()
	b := read()
	return observed{seconds: time.Since(start).Seconds(), peers: b.peers - a.peers, polls: b.polls - a.polls,
		pollCalls: b.pollCalls - a.pollCalls, processor: b.processor - a.processor, requests: b.requests - a.requests}
}

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes in use on the heap.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
