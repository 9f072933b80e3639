// Package node assembles an entry host: the tables, the controllers and the
// listeners for callers, peers and operators. cmd/embercoved runs one node; tests
// and trials run several in a process.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/copies"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/entry"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/meter"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/publish"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/tunnel"
)

// Node is an entry host.
type Node struct {
	Board    *blackboard.Board
	Owner    *owner.Owner
	Router   *peer.Router
	Recorder *report.Recorder

	settings      *config.Settings
	Client        *endpoint.Client // speaks embercove's own protocol
	engine        endpoint.Engine
	newEngine     func(dial, orderDial endpoint.Dial) endpoint.Engine // nil: Client speaks to engines
	engineDial    endpoint.Dial                                       // over this host's own link
	tunnels       *tunnel.Dialer
	gateway       *tunnel.Gateway // for other hosts
	feed          publish.Feed
	newHandler    func(e *entry.Entry) http.Handler
	storeTraffic  *meter.Traffic  // with the store that feed reads
	platform      *publish.Client // nil if a feed was given
	entry         *entry.Entry
	metrics       *metrics
	logCounter    LogCounter // nil: log lines aren't counted
	ownProcess    bool       // the memory of the process is this node's
	replicaPolicy copies.Policy
	log           *zap.Logger
	calls         atomic.Int64 // of callers, that are being served
	listen        func(address string) (net.Listener, error)
	dial          endpoint.Dial

	pool    *blackboard.Pool
	servers []*http.Server
	wg      sync.WaitGroup
	cancel  context.CancelFunc
	failed  chan error
	// suspendedAtDrop is the value of clock.Suspended when dropStaleState last ran. It is
	// written under the lock of Board.Pause.
	suspendedAtDrop time.Duration
}

// Option changes how a node is assembled.
type Option func(*Node)

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *zap.Logger) Option { return func(n *Node) { n.log = l } }

// LogCounter counts log lines.
type LogCounter interface {
	Dropped() uint64
	Written() uint64
}

// WithLogCounter exports the counts of log lines as metrics.
func WithLogCounter(l LogCounter) Option { return func(n *Node) { n.logCounter = l } }

// WithOwnProcess says that the process runs nothing else, so that its memory is that of the node.
func WithOwnProcess() Option { return func(n *Node) { n.ownProcess = true } }

// WithNetwork sets how the node listens and dials. By default it uses TCP.
func WithNetwork(listen func(address string) (net.Listener, error), dial endpoint.Dial) Option {
	return func(n *Node) { n.listen, n.dial = listen, dial }
}

// Protocol replaces embercove's own protocols with engines, the platform and
// callers.
type Protocol struct {
	// NewEngine returns an engine that connects by dial, and for orders by orderDial: orders come from
	// this host itself.
	NewEngine    func(dial, orderDial endpoint.Dial) endpoint.Engine
	Dial         endpoint.Dial // connects to endpoints over this host's own link
	Feed         publish.Feed
	StoreTraffic *meter.Traffic                    // with the platform's store
	NewHandler   func(e *entry.Entry) http.Handler // the callers' interface
}

// WithProtocol makes the node speak p instead of embercove's own protocols.
func WithProtocol(p Protocol) Option {
	return func(n *Node) {
		n.newEngine, n.engineDial, n.feed, n.newHandler, n.storeTraffic = p.NewEngine, p.Dial, p.Feed, p.NewHandler, p.StoreTraffic
	}
}

// WithFatal sets a function that is called when an invariant is broken, for tests.
func WithFatal(f func(msg string)) Option {
	return func(n *Node) { n.Board.Invariant.Fatal = f }
}

// WithReplicaPolicy replaces copies.DefaultPolicy, the policy that decides which running requests get
// a replica of their KV cache.
func WithReplicaPolicy(p copies.Policy) Option { return func(n *Node) { n.replicaPolicy = p } }

// New returns a node that isn't running yet.
func New(s *config.Settings, opts ...Option) (*Node, error) {
	n := &Node{settings: s, Board: blackboard.New(s), Recorder: report.NewRecorder(), log: zap.NewNop(), suspendedAtDrop: clock.Suspended(), storeTraffic: new(meter.Traffic), failed: make(chan error, 4), replicaPolicy: copies.DefaultPolicy,
		listen: func(a string) (net.Listener, error) { return net.Listen("tcp", a) }}
	for _, o := range opts {
		o(n)
	}
	n.log = n.log.With(zap.String("host", s.Host))
	n.Board.Invariant.Log, n.Board.Intake.Log, n.Board.Intake.Memory.Log = n.log, n.log, n.log
	n.Board.Intake.Memory.SetLimit(int64(s.CallerMegabytes * megabyte))
	n.connectEngine()
	n.Owner = owner.New(n.Board, n.engine, n.log)
	n.Router = peer.NewRouter(n.Board, n.Owner, peer.Dial(n.dial), n.log)
	n.Router.Tunnels, n.Router.TunnelDial = n.gateway, peer.Dial(n.engineDial)
	n.entry = entry.New(n.Board, n.engine, n.Router, n.Recorder, n.log)
	n.entry.ReplicaPolicy = n.replicaPolicy
	if n.feed == nil {
		n.platform = publish.NewClient(s.Platform, n.dial)
	}
	if n.newHandler == nil {
		n.newHandler = (*entry.Entry).Handler
	}
	m, err := newMetrics(n)
	if err != nil {
		return nil, err
	}
	n.metrics = m
	n.Router.OnAccepted, n.Router.OnEvacuated = func(v *config.View) { n.Recorder.SetTargets(v.Doc.Targets) }, n.Owner.RefuseEvacuated
	controllers := []blackboard.Controller{n.Router.Flusher(), n.Owner.Poller(), n.Router.Exchanger(), n.Router.Watcher(), n.Router.KeySweeper(), n.Router.Seeder(), n.Router.RegistrationExpirer(), n.Router.RecoveryChecker(), n.Owner.Balancer(), n.Owner.VoteController(), n.Router.Settler(), n.Router.MarksSweeper(), n.tunnels.Prober(), n.processLogger()}
	if n.ownProcess {
		controllers = append(controllers, n.callerLimiter())
	}
	n.pool = blackboard.NewPool(n.Board, controllers...)
	n.Board.Pause.OnWake(n.dropStaleState)
	return n, nil
}

// connectEngine makes the engine and what connects it to endpoints.
func (n *Node) connectEngine() {
	if n.engineDial == nil {
		n.engineDial = n.dial
	}
	if n.engineDial == nil {
		n.engineDial = endpoint.DefaultDial()
	}
	n.tunnels = tunnel.NewDialer(n.Board, n.engineDial, tunnelOpener{n}, n.log)
	n.gateway = tunnel.NewGateway(n.tunnels)
	n.Client = endpoint.NewClient(n.tunnels.Dial, n.engineDial)
	n.engine = n.Client
	if n.newEngine != nil {
		n.engine = n.newEngine(n.tunnels.Dial, n.engineDial)
	}
	n.tunnels.OnChange = n.engine.CloseIdle // idle connections take the path that was left
}

// tunnelOpener opens tunnels by the node's router, which is made after the engine.
type tunnelOpener struct{ n *Node }

// OpenTunnel implements tunnel.Opener.
func (o tunnelOpener) OpenTunnel(ctx context.Context, h blackboard.Host, q tunnel.Request) (net.Conn, tunnel.Reply, error) {
	return o.n.Router.OpenTunnel(ctx, h, q)
}

// dropStaleState discards state that may have become outdated while the process was
// paused. The owner drops its schedulers itself.
func (n *Node) dropStaleState(now time.Time) {
	suspended := clock.Suspended() - n.suspendedAtDrop
	n.suspendedAtDrop += suspended
	n.log.Warn("the process was paused; beliefs are dropped", zap.Int("code", int(result.ProcessPaused)), zap.Duration("suspended", suspended))
	n.Board.Config.AddAge(suspended)
	n.entry.CancelExpired()
	n.Board.Hosts.ResetSilence(now)
	n.Board.Endpoints.Drop()
	n.Board.Regions.Drop()
	n.Board.Keys.Restart(now)
	n.Board.Quotas.Drop()
}

// Start opens the listeners and starts the controllers. It returns at once; Stop
// ends them.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	peers, err := n.listen(n.settings.Peers)
	if err != nil {
		cancel()
		return errors.Wrap(err, "peers_address")
	}
	n.goRun(func() error { return n.Router.Serve(ctx, peers) })
	if err := n.serveCallers(); err != nil {
		return err
	}
	if err := n.serve(n.settings.Admin, "admin_address", n.admin()); err != nil {
		return err
	}
	if n.settings.Metrics != "" {
		if err := n.serve(n.settings.Metrics, "metrics_address", n.admin()); err != nil {
			return err
		}
	}
	n.goRun(func() error { n.Board.Intake.Run(ctx); return nil })
	n.goRun(func() error { n.Router.ContactSeeds(ctx, n.settings.Seeds); return nil })
	n.goRun(func() error { n.Router.LearnMarks(ctx); return nil })
	if n.feed != nil {
		n.goRun(func() error { n.feed.Follow(ctx, feedSink{n, ctx}); return nil })
	} else {
		n.goRun(func() error { n.watchConfig(ctx); return nil })
		n.goRun(func() error { n.watchHosts(ctx); return nil })
	}
	n.pool.Start(ctx, n.settings.Workers)
	n.log.Info("started", zap.String("callers", n.settings.Callers), zap.String("failure_domain", n.settings.Domain))
	return nil
}

// goRun runs f in a goroutine that Stop waits for and delivers its error to Failed.
func (n *Node) goRun(f func() error) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		if err := f(); err != nil {
			select {
			case n.failed <- err:
			default:
			}
		}
	}()
}

// Failed delivers the error of a listener that failed.
func (n *Node) Failed() <-chan error { return n.failed }

// maxOperatorConnections bounds the connections of operators and the load balancer, so that all connections to this host together
// stay within its descriptors.
const maxOperatorConnections = 64

func (n *Node) serve(address, field string, h http.Handler) error {
	l, err := n.listen(address)
	if err != nil {
		n.cancel()
		return errors.Wrap(err, field)
	}
	n.serveOn(netutil.LimitListener(l, min(n.settings.MaxConnections, maxOperatorConnections)), field, entry.NewServer(h, n.settings.MaxHeaderBytes))
	return nil
}

// serveCallers serves callers, as far as they aren't held off.
func (n *Node) serveCallers() error {
	l, err := intake.NewListener(n.Board.Intake, n.settings.MaxConnections, func() (net.Listener, error) { return n.listen(n.settings.Callers) })
	if err != nil {
		n.cancel()
		return errors.Wrap(err, "callers_address")
	}
	srv := entry.NewServer(n.countCalls(n.newHandler(n.entry)), n.settings.MaxHeaderBytes)
	arrivals := intake.NewArrivals(n.Board.Intake)
	srv.ConnContext, srv.ConnState = arrivals.ConnContext, arrivals.ConnState
	n.serveOn(l, "callers_address", srv)
	return nil
}

// countCalls counts the calls of callers that a handler serves, from their heads on: a request whose body is still arriving
// isn't among the board's requests.
func (n *Node) countCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		n.calls.Add(1)
		defer n.calls.Add(-1)
		defer intake.ConnOf(q.Context()).EndRequest()
		h.ServeHTTP(w, q)
	})
}

// serveOn runs a server on a listener until it is closed.
func (n *Node) serveOn(l net.Listener, field string, srv *http.Server) {
	n.servers = append(n.servers, srv)
	n.goRun(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, field)
		}
		return nil
	})
}
