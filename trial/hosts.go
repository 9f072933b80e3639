package trial

import (
	"fmt"
	"net"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/node"
	"github.com/embercove/embercove/publish"
)

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
