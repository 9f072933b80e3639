// Package slope measures the control overhead of an entry host: bytes, CPU time
// and memory per request, endpoint and peer. docs/CAPACITY.md is computed from
// these slopes.
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
	Bytes            float64 // on the wire, both directions
	CPUTime          time.Duration
	Heap             float64 // bytes of one host's tables
}

// exchangeCount is the number of exchanges that a measurement averages over.
const exchangeCount = 200

// MeasureExchange measures exchanges between two hosts, in a failure domain with the
// given number of hosts and a region with the given number of endpoints. All digests
// change before each exchange.
func MeasureExchange(hosts, endpoints int) (Exchange, error) {
	out := Exchange{Hosts: hosts, Endpoints: endpoints}
	v, err := syntheticView(endpoints)
	if err != nil {
		return out, err
	}
	net := fake.NewNetwork()
	before := heapBytes()
	a, b := newBenchHost(net, v, "a", hosts), newBenchHost(net, v, "b", hosts)
	out.Heap = float64(heapBytes()-before) / 2
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.Serve(ctx, net.Listen("z", b.addr))
	defer a.Close()
	for range 3 { // warm-up: opens connections and sends type descriptions
		a.ExchangeOnce(ctx, b.addr)
	}
	startBytes, startCPU := a.Traffic.OnWire(), cpuTime()
	for range exchangeCount {
		a.refreshDigests(v)
		a.ExchangeOnce(ctx, b.addr)
	}
	out.Bytes = float64(a.Traffic.OnWire()-startBytes) / exchangeCount
	out.CPUTime = (cpuTime() - startCPU) / exchangeCount / 2 // both hosts run in this process
	runtime.KeepAlive(v)
	return out, nil
}

// benchHost is one of the two hosts of a measured exchange.
type benchHost struct {
	*peer.Router
	board *blackboard.Board
	addr  string
}

func newBenchHost(net *fake.Network, v *config.View, name string, hosts int) *benchHost {
	s := &config.Settings{Host: name, Domain: "d0", Region: "r0", Peers: "127.0.0.1:" + name, Platform: "127.0.0.1:1"}
	s.SetDefaults()
	b := blackboard.New(s)
	if _, err := b.Config.Offer(v.Revision, v.Source); err != nil {
		panic(err) // syntheticView has parsed the same document
	}
	b.Endpoints.ApplyView(b.Config.View())
	o := owner.New(b, endpoint.NewClient(net.Dialer("z"), nil), zap.NewNop())
	bh := &benchHost{Router: peer.NewRouter(b, o, net.Dialer("z"), zap.NewNop()), board: b, addr: s.Peers}
	for i := range hosts - 1 {
		n := fmt.Sprintf("host-%d", i)
		b.Hosts.Learn(blackboard.Host{Name: n, Number: request.HostNumber(n), Domain: "d0", Region: "r0", Peers: "127.0.0.1:9",
			Incarnation: uint64(1_800_000_000_000 + i), Heartbeat: uint64(100_000 + i)}, time.Now())
	}
	bh.refreshDigests(v)
	return bh
}

// refreshDigests gives every digest a new value, as a second under load does.
func (s *benchHost) refreshDigests(v *config.View) {
	now := time.Now()
	i := 0
	for n, e := range v.Endpoints.All() {
		i++
		d := route.Digest{Number: n, SlowPct: 104, TrustPct: 88}
		if e.Role == config.Prefill {
			d.QueueMillis = uint32(100 + now.Nanosecond()/1000%900)
			for h := range headsPerEndpoint {
				d.Heads = append(d.Heads, route.HeadDigest{Head: uint32(h*7919 + i), Tokens: uint32(2048 + 256*h)})
			}
		} else {
			d.FreeTokens, d.FreeSlots, d.LinkMillis = int32(10_000+now.Nanosecond()/1000%30_000), 7, 40
		}
		s.board.Endpoints.Learn(d, now)
	}
}

// headsPerEndpoint is the number of cached prompts in each prefill engine's digest.
const headsPerEndpoint = 24

// syntheticView returns the view of a document with n endpoints, half of them prefill.
func syntheticView(n int) (*config.View, error) {
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

// Requests is the control overhead per request and per owned endpoint.
type Requests struct {
	Rate       float64 // requests per second on each host
	PollBytes  float64 // per second and owned endpoint
	Polls      float64 // per second and owned endpoint
	Idle       float64 // bytes per second to and from peers, without requests
	CPUSeconds float64 // per request, including relaying of the answer
}

// MeasureRequests runs a deployment of typical size on loopback, first idle and
// then loaded, and computes the differences. Stand-ins and callers run in the same
// process, so CPUSeconds is an upper bound.
func MeasureRequests(span time.Duration) (Requests, error) {
	c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: load.DefaultHosts})
	if err != nil {
		return Requests{}, err
	}
	defer c.Stop()
	n := float64(len(c.Nodes))
	owned := float64(len(c.Doc.Endpoints))
	time.Sleep(time.Second)
	idle := measureUsage(c, func() { time.Sleep(span) })
	mix := load.Mixes["domaskra"]
	const rate = 20.0
	arrivals := mix.Arrivals(5, rate, span, 0)
	s := load.Sender{Addresses: c.Callers(), Model: mix.Model}
	busy := measureUsage(c, func() { s.Send(context.Background(), arrivals) })
	if busy.requests == 0 {
		return Requests{}, errors.New("no request was served")
	}
	return Requests{
		Rate:       busy.requests / busy.seconds / n,
		Idle:       idle.peerBytes / idle.seconds / n,
		PollBytes:  idle.pollBytes / idle.seconds / owned,
		Polls:      idle.pollCount / idle.seconds / owned,
		CPUSeconds: (busy.cpuSeconds - idle.cpuSeconds/idle.seconds*busy.seconds) / busy.requests,
	}, nil
}

// usage is what all hosts of a cluster together used in an interval.
type usage struct {
	seconds, peerBytes, pollBytes, pollCount, cpuSeconds, requests float64
}

func measureUsage(c *trial.Cluster, f func()) usage {
	sample := func() (o usage) {
		for _, n := range c.Nodes {
			o.peerBytes += float64(n.Router.Traffic.OnWire())
			o.pollBytes += float64(n.Client.Control.OnWire())
			o.pollCount += float64(n.Owner.Polls.Load())
			o.requests += float64(n.Recorder.Totals().Requests)
		}
		o.cpuSeconds = cpuTime().Seconds()
		return o
	}
	start, a := time.Now(), sample()
	f()
	b := sample()
	return usage{seconds: time.Since(start).Seconds(), peerBytes: b.peerBytes - a.peerBytes, pollBytes: b.pollBytes - a.pollBytes,
		pollCount: b.pollCount - a.pollCount, cpuSeconds: b.cpuSeconds - a.cpuSeconds, requests: b.requests - a.requests}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the bytes in use on the heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
