package proof

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/trial"
)

// Sizes of the fleet that TestFleet starts. At the size of letter 1:
//
//	go test ./proof -run TestFleet -v -timeout 1h -proof.hosts 350 -proof.endpoints 770
var (
	fleetHosts     = flag.Int("proof.hosts", 24, "entry hosts of the fleet")
	fleetEndpoints = flag.Int("proof.endpoints", 52, "endpoints of the fleet")
	fleetRate      = flag.Float64("proof.rate", 2, "requests a second at each host of the fleet, 0: none")
)

// large makes a document of two regions with two domains each.
func large(n int) func(d *config.Document) {
	return func(d *config.Document) {
		runner := map[config.Role]config.Endpoint{}
		for _, e := range d.Endpoints {
			runner[e.Role] = e
		}
		d.Domains = nil
		for i := range 4 {
			d.Domains = append(d.Domains, config.Domain{Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i/2), LinkBytesPerSecond: 4e9})
		}
		d.Endpoints = nil
		for i := range n {
			role := config.Prefill
			if i/4%2 == 1 {
				role = config.Decode
			}
			e := runner[role]
			e.Name, e.Domain = fmt.Sprintf("%s-%d", role, i), d.Domains[i%4].Name
			d.Endpoints = append(d.Endpoints, e)
		}
		for i := range 700 {
			d.Teams = append(d.Teams, config.Team{Name: fmt.Sprintf("team-%d", i), Weight: 1})
		}
	}
}

// TestFleet starts a fleet without requests and measures what it takes to keep
// it together: bytes for control, how long a revision needs to be in force
// everywhere, with and without the platform, and how long until a killed
// host's endpoints have new owners. In its ordinary small run it checks the
// limits of letter 1.
func TestFleet(t *testing.T) {
	const (
		mostBytes = 15_000 // a second on each host, in and out
		watched   = 20 * time.Second
	)
	before := memory()
	synctest.Test(t, func(t *testing.T) {
		s := &scene{t: t, net: fake.NewNetwork(), gone: map[int]bool{}}
		c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: *fleetHosts, Network: s.net, Change: large(*fleetEndpoints),
			Fatal: s.fail, Settings: func(s *config.Settings) { s.PollMillis = config.DefaultPollMillis }})
		if err != nil {
			t.Fatal(err)
		}
		s.Cluster = c
		defer func() {
			c.Stop()
			time.Sleep(time.Minute)
		}()
		time.Sleep(10 * time.Second)
		t.Logf("memory: %.2f MB for each host, its stand-ins included", float64(memory()-before)/1e6/float64(*fleetHosts))
		peers, polls, calls := s.control()
		platform := c.Platform.Calls()
		time.Sleep(watched)
		peers2, polls2, calls2 := s.control()
		each := func(n uint64) float64 { return float64(n) / watched.Seconds() / float64(*fleetHosts) }
		t.Logf("control on each host: %.0f B/s with peers, %.0f B/s with endpoints, %.2f calls/s to peers", each(peers2-peers), each(polls2-polls), each(calls2-calls))
		t.Logf("platform: %.2f calls/s in all", float64(c.Platform.Calls()-platform)/watched.Seconds())
		if sum := each(peers2 - peers + polls2 - polls); sum > mostBytes {
			t.Errorf("%.0f B/s of control on each host, want %d at the most", sum, mostBytes)
		}
		s.loaded(t, each(peers2-peers))
		s.spread(t, "by the platform", nil)
		s.spread(t, "with the platform reached by one domain", []string{"domain-1", "domain-2", "domain-3"})
		s.takeover(t)
		for _, b := range s.broken {
			t.Error(b)
		}
	})
}

// loaded sends requests and works out what each costs in control.
func (s *scene) loaded(t *testing.T, idle float64) {
	if *fleetRate == 0 {
		return
	}
	const span = 5 * time.Second
	mix := load.Mixes["domaskra"]
	mix.Kinds = []load.Kind{{Name: "question", Share: 1, Team: []string{"press", "public"}, Least: 500, Most: 3500, MaxTokens: 40}}
	before, _, calls := s.control()
	start := time.Now()
	rs := s.send(mix.Arrivals(1, *fleetRate*float64(*fleetHosts), span, 0))
	took := time.Since(start).Seconds()
	after, _, calls2 := s.control()
	n := float64(len(rs))
	t.Logf("with %.1f requests a second on each host: %.0f B and %.2f calls to peers for each request, %d of %d answered",
		*fleetRate, (float64(after-before)-idle*took*float64(*fleetHosts))/n, float64(calls2-calls)/n-2.2*took*float64(*fleetHosts)/n, answered(rs), len(rs))
}

func answered(rs []load.Result) int {
	n := 0
	for _, r := range rs {
		if r.Correct {
			n++
		}
	}
	return n
}

// control adds up the hosts' control traffic.
func (s *scene) control() (peers, polls, calls uint64) {
	for _, n := range s.Nodes {
		peers += n.Router.Traffic.OnWire()
		polls += n.Client.Control.OnWire()
		calls += n.Router.Traffic.Calls.Load()
	}
	return peers, polls, calls
}

// spread publishes while some domains can't reach the platform and times how
// long the revision needs to be in force everywhere.
func (s *scene) spread(t *testing.T, how string, cut []string) {
	for _, z := range cut {
		s.net.Cut(z, "platform", true)
	}
	time.Sleep(5 * time.Second)
	start := time.Now()
	s.everywhere(s.publish(weigh(len(cut) + 2)))
	t.Logf("in force everywhere %s: %s", how, time.Since(start).Round(10*time.Millisecond))
	for _, z := range cut {
		s.net.Cut(z, "platform", false)
	}
}

// takeover kills a host and returns how long it took until no live host of its domain
// takes it for an owner.
func (s *scene) takeover(t *testing.T) time.Duration {
	dead := s.Nodes[0].Board.Hosts.Self()
	s.kill(0)
	start := time.Now()
	for {
		believe := 0
		for _, n := range s.Nodes[1:] {
			if n.Board.Hosts.Self().Domain != dead.Domain {
				continue
			}
			if _, live, _ := n.Board.Hosts.Get(dead.Number, time.Now()); live {
				believe++
			}
		}
		if believe == 0 {
			break
		}
		if time.Since(start) > 2*time.Minute {
			t.Errorf("%d hosts still take a killed host for live", believe)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	took := time.Since(start).Round(100 * time.Millisecond)
	t.Logf("a killed host counts as gone in its domain after %s", took)
	return took
}

func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
