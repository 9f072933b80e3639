// Package trial runs a whole deployment inside one process: stand-in runners,
// services and a platform, and any number of entry hosts, on loopback or on an
// in-memory network. The demo, the measurements and the failure tests use it.
//
// It doesn't simulate a cluster: the entry hosts run the real code, and only the
// systems around them are stand-ins, as small as the interfaces allow.
package trial

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/node"
)

// Options configures a cluster.
type Options struct {
	Document []byte                          // a configuration document
	Change   func(d *config.Document)        // edits the document before it is published; may be nil
	Settings func(s *config.Settings)        // edits each host's settings; may be nil
	Hosts    int                             // number of entry hosts, spread over the failure domains
	Network  *fake.Network                   // nil: loopback
	Zone     func(s *config.Settings) string // a host's zone on Network; nil: its failure domain
	Log      *zap.Logger                     // log of every host; nil: none
	Fatal    func(msg string)                // called when an invariant is violated; nil: violations are only counted
	Faults   func(name string) fake.Faults   // initial faults of each stand-in, by its endpoint's name; may be nil
}

// Cluster is a running deployment.
type Cluster struct {
	Platform *fake.Platform
	Nodes    []*node.Node
	Settings []*config.Settings
	Runners  map[string]*fake.Runner
	Apps     map[string]*fake.App
	Doc      *config.Document

	options      Options
	servers      []*http.Server
	platformAddr string
}

// Start starts a cluster and waits until every host is ready.
func Start(o Options) (*Cluster, error) {
	d, err := config.ParseDocument(o.Document)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Platform: fake.NewPlatform(), Runners: map[string]*fake.Runner{}, Apps: map[string]*fake.App{}, Doc: d, options: o}
	if o.Change != nil {
		o.Change(d)
	}
	if c.platformAddr, err = c.serve("platform", "127.0.9.1:1", c.Platform); err != nil {
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

// listen listens on the address on an in-memory network, or on any free port of
// loopback.
func (c *Cluster) listen(zone, address string) (net.Listener, error) {
	if c.options.Network != nil {
		return c.options.Network.Listen(zone, address), nil
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// dial returns the dial function for processes in a zone; nil means TCP.
func (c *Cluster) dial(zone string) endpoint.Dial {
	if c.options.Network == nil {
		return nil
	}
	return c.options.Network.Dialer(zone)
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

// Publish publishes the document, changed by f, and returns its revision.
func (c *Cluster) Publish(f func(d *config.Document)) (uint64, error) {
	src, err := c.DocumentJSON(f)
	if err != nil {
		return 0, err
	}
	return c.Platform.Publish(src), nil
}

// DocumentJSON returns the document, changed by f, without publishing it.
func (c *Cluster) DocumentJSON(f func(d *config.Document)) ([]byte, error) {
	if f != nil {
		f(c.Doc)
	}
	src, err := json.Marshal(c.Doc)
	return src, errors.Wrap(err, "document")
}

// readyTimeout bounds the wait for hosts to become ready.
const readyTimeout = 10 * time.Second

// waitReady waits until every host has the configuration and knows the incarnation of
// every other host.
func (c *Cluster) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
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

// Callers returns the hosts' addresses for callers.
func (c *Cluster) Callers() []string {
	var out []string
	for _, s := range c.Settings {
		out = append(out, s.Callers)
	}
	return out
}

// ClientDial returns the dial function for callers in a zone; nil means TCP.
func (c *Cluster) ClientDial(zone string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return c.dial(zone)
}

// Stop stops the hosts and the stand-ins.
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
