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

// startNodes starts the entry hosts.
func (c *Cluster) startNodes(n int) error {
	for i := range n {
		s := c.newSettings(i)
		c.Settings = append(c.Settings, s)
	}
	if c.options.Network == nil {
		if err := c.reservePorts(); err != nil {
			return err
		}
	}
	for _, s := range c.Settings {
		s.Seeds = c.seeds(s)
	}
	c.publishHosts()
	for i := range c.Settings {
		started, err := c.startNode(i)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, started)
	}
	return nil
}

// hostAddress returns the address of host i on an in-memory network.
func hostAddress(i, port int) string { return fmt.Sprintf("127.7.%d.%d:%d", i/250, i%250+1, port) }

// pollMillis is the interval of state polls in trials. It is shorter than the
// default because the baseline policies depend on these reports alone.
const pollMillis = 200

func (c *Cluster) newSettings(i int) *config.Settings {
	d := c.Doc.Domains[i%len(c.Doc.Domains)]
	s := &config.Settings{Host: fmt.Sprintf("%s-%d", d.Name, i/len(c.Doc.Domains)+1), Domain: d.Name, Region: d.Region, Platform: c.platformAddr,
		Callers: hostAddress(i, 80), Peers: hostAddress(i, 81), Admin: hostAddress(i, 82)}
	s.PollMillis = pollMillis
	s.SetDefaults()
	if c.options.Settings != nil {
		c.options.Settings(s)
	}
	return s
}

// reservePorts finds free loopback ports for every host. All stay open until the last is
// found, so that none is found twice.
func (c *Cluster) reservePorts() error {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	host := fake.LoopbackHost() + ":0"
	for _, s := range c.Settings {
		for _, p := range []*string{&s.Callers, &s.Peers, &s.Admin} {
			l, err := net.Listen("tcp", host)
			if err != nil {
				return errors.Wrap(err, "free port")
			}
			listeners = append(listeners, l)
			*p = l.Addr().String()
		}
	}
	return nil
}

// maxSeeds is the maximum number of a host's seeds from its own failure domain.
const maxSeeds = 3

// seeds returns a host's seeds: hosts of its own failure domain, and hosts of any other one
// if these are fewer than two.
func (c *Cluster) seeds(s *config.Settings) []string {
	var out []string
	for _, o := range c.Settings {
		if o != s && o.Domain == s.Domain && len(out) < maxSeeds {
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

func (c *Cluster) publishHosts() {
	var hosts []publish.Host
	for _, s := range c.Settings {
		hosts = append(hosts, publish.Host{Name: s.Host, Domain: s.Domain, Region: s.Region, Peers: s.Peers})
	}
	c.Platform.SetHosts(hosts)
}

func (c *Cluster) startNode(i int) (*node.Node, error) {
	s := c.Settings[i]
	var opts []node.Option
	if c.options.Log != nil {
		opts = append(opts, node.WithLog(c.options.Log))
	}
	if c.options.Network != nil {
		opts = append(opts, node.WithNetwork(func(a string) (net.Listener, error) { return c.options.Network.Listen(c.zone(s), a), nil }, c.dial(c.zone(s))))
	}
	if c.options.Fatal != nil {
		opts = append(opts, node.WithFatal(c.options.Fatal))
	}
	n, err := node.New(s, opts...)
	if err != nil {
		return nil, err
	}
	return n, n.Start()
}

// zone returns the zone of a host on the network.
func (c *Cluster) zone(s *config.Settings) string {
	if c.options.Zone != nil {
		return c.options.Zone(s)
	}
	return s.Domain
}

// Restart starts host i again, as a new incarnation. The host must have been stopped.
func (c *Cluster) Restart(i int) error {
	n, err := c.startNode(i)
	c.Nodes[i] = n
	return err
}
