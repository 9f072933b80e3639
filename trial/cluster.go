// Package trial runs a whole deployment inside one process: stand-in runners,
// services and a platform, and any number of entry hosts, on loopback or on a
// network in memory. The demo, the measurements and the failure tests use it.
//
// It is no simulator of a cluster: the entry hosts are the real ones, and the
// stand-ins are as small as the interfaces allow.
package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/node"
	"github.com/embercove/embercove/publish"
)

// Options say what a cluster is made of.
type Options struct {
	Document []byte                          // a configuration document
	Change   func(d *config.Document)        // adjusts it before it is published; may be nil
	Settings func(s *config.Settings)        // adjusts each host's settings; may be nil
	Hosts    int                             // entry hosts, spread over the failure domains
	Network  *fake.Network                   // nil: loopback
	Zone     func(s *config.Settings) string // where on the network a host stands; nil: in its failure domain
	Log      *zap.Logger                     // nil: nothing is logged
	Fatal    func(msg string)                // called when an invariant breaks; nil: counted only
	Faults   func(name string) fake.Faults   // of each stand-in at the start; may be nil
}

// Cluster is a running deployment.
type Cluster struct {
	Platform *fake.Platform
	Nodes    []*node.Node
	Settings []*config.Settings
	Runners  map[string]*fake.Runner
	Apps     map[string]*fake.App
	Doc      *config.Document

	opts    Options
	servers []*http.Server
	plat    string // address
}

// serviceTime is how long the stand-in services take.
const serviceTime = 15 * time.Millisecond

// Start builds and starts a cluster and waits until every host is ready.
func Start(o Options) (*Cluster, error) {
	d, err := config.ParseDocument(o.Document)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Platform: fake.NewPlatform(), Runners: map[string]*fake.Runner{}, Apps: map[string]*fake.App{}, Doc: d, opts: o}
	if o.Change != nil {
		o.Change(d)
	}
	if c.plat, err = c.serve("platform", "127.0.9.1:1", c.Platform); err != nil {
		return nil, err
	}
	for i := range d.Endpoints {
		if err := c.startEndpoint(i); err != nil {
			return nil, err
		}
	}
	if err := c.startNodes(o.Hosts); err != nil {
		return nil, err
	}
	if _, err := c.Publish(nil); err != nil {
		return nil, err
	}
	return c, c.waitReady()
}

// listen opens an address: the one given on a network in memory, any free
// one on loopback.
func (c *Cluster) listen(zone, address string) (net.Listener, error) {
	if c.opts.Network != nil {
		return c.opts.Network.Listen(zone, address), nil
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// dial returns how processes of a zone reach others; nil is TCP.
func (c *Cluster) dial(zone string) endpoint.Dial {
	if c.opts.Network == nil {
		return nil
	}
	return c.opts.Network.Dialer(zone)
}

func (c *Cluster) serve(zone, address string, h http.Handler) (string, error) {
	l, err := c.listen(zone, address)
	if err != nil {
		return "", errors.Wrap(err, zone)
	}
	srv := &http.Server{Handler: h}
	c.servers = append(c.servers, srv)
	go srv.Serve(l)
	return l.Addr().String(), nil
}

func (c *Cluster) startEndpoint(i int) error {
	e := &c.Doc.Endpoints[i]
	var h http.Handler
	var setFaults func(fake.Faults)
	if e.Role == config.Service {
		app := &fake.App{Name: e.Name, Takes: serviceTime}
		c.Apps[e.Name] = app
		h, setFaults = app, app.SetFaults
	}
	address := fmt.Sprintf("127.8.%d.%d:80", i/250, i%250+1)
	var run *lateHandler
	if h == nil {
		run = new(lateHandler)
		h = run
	}
	addr, err := c.serve(e.Domain, address, h)
	if err != nil {
		return err
	}
	e.Address = addr
	if run != nil {
		r := fake.NewRunner(*e, c.kvBytes(e.Model), c.version(e), c.dial(e.Domain))
		run.h = r
		c.Runners[e.Name] = r
		setFaults = r.SetFaults
	}
	if c.opts.Faults != nil {
		setFaults(c.opts.Faults(e.Name))
	}
	return nil
}

// lateHandler lets a listener be opened before its handler is known.
type lateHandler struct{ h http.Handler }

func (l *lateHandler) ServeHTTP(w http.ResponseWriter, q *http.Request) { l.h.ServeHTTP(w, q) }

func (c *Cluster) kvBytes(model string) int64 {
	for _, m := range c.Doc.Models {
		if m.Name == model {
			return m.KVBytesPerToken
		}
	}
	return 0
}

func (c *Cluster) version(e *config.Endpoint) string {
	for _, m := range c.Doc.Models {
		if m.Name == e.Model && e.Version == "" {
			return m.Version
		}
	}
	return e.Version
}

// startNodes starts the entry hosts, each knowing the first two as seeds.
func (c *Cluster) startNodes(n int) error {
	for i := range n {
		s := c.newSettings(i)
		c.Settings = append(c.Settings, s)
	}
	if c.opts.Network == nil {
		if err := c.reservePorts(); err != nil {
			return err
		}
	}
	for _, s := range c.Settings {
		s.Seeds = c.seeds(s)
	}
	c.listHosts()
	for i := range c.Settings {
		nd, err := c.startNode(i)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, nd)
	}
	return nil
}

// hostAddress is host i's address on a network in memory.
func hostAddress(i, port int) string { return fmt.Sprintf("127.7.%d.%d:%d", i/250, i%250+1, port) }

// trialPoll is the state poll in trials, in ms. It is shorter than the default
// for the sake of the baselines, which decide by these reports alone.
const trialPoll = 200

func (c *Cluster) newSettings(i int) *config.Settings {
	d := c.Doc.Domains[i%len(c.Doc.Domains)]
	s := &config.Settings{Host: fmt.Sprintf("%s-%d", d.Name, i/len(c.Doc.Domains)+1), Domain: d.Name, Region: d.Region, Platform: c.plat,
		Callers: hostAddress(i, 80), Peers: hostAddress(i, 81), Admin: hostAddress(i, 82)}
	s.PollMillis = trialPoll
	s.SetDefaults()
	if c.opts.Settings != nil {
		c.opts.Settings(s)
	}
	return s
}

// reservePorts finds free loopback ports for every host.
func (c *Cluster) reservePorts() error {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	own := fake.LoopbackHost() + ":0"
	for _, s := range c.Settings {
		for _, p := range []*string{&s.Callers, &s.Peers, &s.Admin} {
			l, err := net.Listen("tcp", own)
			if err != nil {
				return errors.Wrap(err, "free port")
			}
			open = append(open, l)
			*p = l.Addr().String()
		}
	}
	return nil
}

// mostSeeds is how many peers a host is told of in its settings.
const mostSeeds = 3

func (c *Cluster) seeds(s *config.Settings) []string {
	var out []string
	for _, o := range c.Settings {
		if o != s && o.Domain == s.Domain && len(out) < mostSeeds {
			out = append(out, o.Peers)
		}
	}
	for _, o := range c.Settings {
		if o != s && len(out) < 2 {
			out = append(out, o.Peers)
		}
	}
	return out
}

func (c *Cluster) listHosts() {
	var hosts []publish.Host
	for _, s := range c.Settings {
		hosts = append(hosts, publish.Host{Name: s.Host, Domain: s.Domain, Region: s.Region, Peers: s.Peers})
	}
	c.Platform.SetHosts(hosts)
}

func (c *Cluster) startNode(i int) (*node.Node, error) {
	s := c.Settings[i]
	var opts []node.Option
	if c.opts.Log != nil {
		opts = append(opts, node.WithLog(c.opts.Log))
	}
	if c.opts.Network != nil {
		opts = append(opts, node.WithNetwork(func(a string) (net.Listener, error) { return c.opts.Network.Listen(c.zone(s), a), nil }, c.dial(c.zone(s))))
	}
	if c.opts.Fatal != nil {
		opts = append(opts, node.WithFatal(c.opts.Fatal))
	}
	nd, err := node.New(s, opts...)
	if err != nil {
		return nil, err
	}
	return nd, nd.Start()
}

// zone returns where on the network a host stands.
func (c *Cluster) zone(s *config.Settings) string {
	if c.opts.Zone != nil {
		return c.opts.Zone(s)
	}
	return s.Domain
}

// Restart starts host i anew, as a new incarnation, after it was stopped.
func (c *Cluster) Restart(i int) error {
	nd, err := c.startNode(i)
	c.Nodes[i] = nd
	return err
}

// Publish publishes the document, changed by f, and returns its revision.
func (c *Cluster) Publish(f func(d *config.Document)) (uint64, error) {
	src, err := c.JSON(f)
	if err != nil {
		return 0, err
	}
	return c.Platform.Publish(src), nil
}

// JSON returns the document, changed by f, without publishing it.
func (c *Cluster) JSON(f func(d *config.Document)) ([]byte, error) {
	if f != nil {
		f(c.Doc)
	}
	src, err := json.Marshal(c.Doc)
	return src, errors.Wrap(err, "document")
}

// readyLimit bounds the wait for hosts to become ready.
const readyLimit = 10 * time.Second

// waitReady returns when every host has the configuration and knows every
// other host.
func (c *Cluster) waitReady() error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		if c.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("the hosts did not become ready")
}

func (c *Cluster) ready() bool {
	for _, n := range c.Nodes {
		if n.Board.Config.View() == nil {
			return false
		}
		for _, h := range n.Board.Hosts.List() {
			if h.Incarnation == 0 && h.Number != n.Board.Number {
				return false
			}
		}
	}
	return true
}

// Callers returns the caller addresses of the hosts.
func (c *Cluster) Callers() []string {
	var out []string
	for _, s := range c.Settings {
		out = append(out, s.Callers)
	}
	return out
}

// ClientDial returns how callers of a zone reach the hosts; nil is TCP.
func (c *Cluster) ClientDial(zone string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return c.dial(zone)
}

// Truth returns the records of every stand-in.
func (c *Cluster) Truth() []fake.Record {
	var out []fake.Record
	for _, r := range c.Runners {
		out = append(out, r.Truth()...)
	}
	for _, a := range c.Apps {
		out = append(out, a.Truth()...)
	}
	return out
}

// Held returns how many attempts hold memory at the stand-ins.
func (c *Cluster) Held() int {
	n := 0
	for _, r := range c.Runners {
		a, _ := r.Held()
		n += a
	}
	return n
}

// Stop ends everything.
func (c *Cluster) Stop() {
	for _, n := range c.Nodes {
		if n != nil {
			n.Stop()
		}
	}
	for _, s := range c.servers {
		s.Close()
	}
	for _, r := range c.Runners {
		r.Close()
	}
}
