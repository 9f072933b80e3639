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

// Sizes of the fleet that TestFleet starts. At the largest size that is required:
//
//	go test ./proof -run TestFleet -v -timeout 1h -proof.hosts 350 -proof.endpoints 770
var (
	fleetHosts     = flag.Int("proof.hosts", 24, "entry hosts of the fleet")
	fleetEndpoints = flag.Int("proof.endpoints", 52, "endpoints of the fleet")
	fleetRate      = flag.Float64("proof.rate", 2, "requests per second at each host of the fleet; 0 sends none")
)

// largeFleet changes a document to two regions with two failure domains each, and adds 700 teams.
func largeFleet(n int) func(d *config.Document) {
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

// TestFleet starts a fleet without requests and measures its control traffic, the traffic that
// each request adds, how long a revision takes to be in force on every host, also when only one
// failure domain reaches the platform, and how long until a killed host counts as gone. It bounds
// the control traffic of each host and the time for a revision by the required values; the
// default run does so for a small fleet.
func TestFleet(t *testing.T) {
	const (
		maxBytes = 15_000 // per second on each host, in and out
		interval = 20 * time.Second
	)
	before := memoryInUse()
	synctest.Test(t, func(t *testing.T) {
		s := &harness{t: t, net: fake.NewNetwork(), stopped: map[int]bool{}}
		c, err := trial.Start(trial.Options{
			Document: examples.Domaskra, Hosts: *fleetHosts, Network: s.net, Change: largeFleet(*fleetEndpoints), Fatal: s.fail,
			Settings: func(s *config.Settings) { s.PollMillis = config.DefaultPollMillis },
		})
		if err != nil {
			t.Fatal(err)
		}
		s.Cluster = c
		defer func() {
			c.Stop()
			time.Sleep(time.Minute)
		}()
		time.Sleep(10 * time.Second)
		t.Logf("memory: %.2f MB per host, with its share of the fake endpoints",
			float64(memoryInUse()-before)/1e6/float64(*fleetHosts))
		peers, polls, calls := s.controlTraffic()
		platform := c.Platform.Calls()
		time.Sleep(interval)
		peers2, polls2, calls2 := s.controlTraffic()
		perHost := func(n uint64) float64 { return float64(n) / interval.Seconds() / float64(*fleetHosts) }
		t.Logf("control traffic on each host: %.0f B/s with peers, %.0f B/s with endpoints, %.2f calls/s to peers",
			perHost(peers2-peers), perHost(polls2-polls), perHost(calls2-calls))
		t.Logf("platform: %.2f calls/s in all", float64(c.Platform.Calls()-platform)/interval.Seconds())
		if sum := perHost(peers2 - peers + polls2 - polls); sum > maxBytes {
			t.Errorf("%.0f B/s of control traffic on each host, want at most %d", sum, maxBytes)
		}
		s.measureLoad(t, perHost(peers2-peers))
		s.measurePropagation(t, "by the platform", nil)
		s.measurePropagation(t, "with the platform reached from one domain only", []string{"domain-1", "domain-2", "domain-3"})
		s.measureTakeover(t)
		for _, b := range s.violations {
			t.Error(b)
		}
	})
}

// measureLoad sends requests and logs the control traffic of each, above the idle traffic: idle bytes
// and 2.2 calls per second and host.
func (s *harness) measureLoad(t *testing.T, idle float64) {
	if *fleetRate == 0 {
		return
	}
	const span = 5 * time.Second
	mix := load.Mixes["domaskra"]
	mix.Kinds = []load.Kind{{Name: "question", Share: 1, Teams: []string{"press", "public"}, MinPromptTokens: 500, MaxPromptTokens: 3500, MaxTokens: 40}}
	before, _, calls := s.controlTraffic()
	start := time.Now()
	rs := s.send(mix.Arrivals(1, *fleetRate*float64(*fleetHosts), span, 0))
	took := time.Since(start).Seconds()
	after, _, calls2 := s.controlTraffic()
	n := float64(len(rs))
	t.Logf("with %.1f requests/s on each host: %.0f B and %.2f calls to peers per request, %d of %d answered",
		*fleetRate, (float64(after-before)-idle*took*float64(*fleetHosts))/n, float64(calls2-calls)/n-2.2*took*float64(*fleetHosts)/n, countCorrect(rs), len(rs))
}

// countCorrect counts the answers that are complete and right.
func countCorrect(rs []load.Result) int {
	n := 0
	for _, r := range rs {
		if r.Correct {
			n++
		}
	}
	return n
}

// controlTraffic adds up the hosts' control traffic: bytes with peers, bytes with endpoints and
// calls to peers.
func (s *harness) controlTraffic() (peers, polls, calls uint64) {
	for _, n := range s.Nodes {
		peers += n.Router.Traffic.OnWire()
		polls += n.Client.Control.OnWire()
		calls += n.Router.Traffic.Calls.Load()
	}
	return peers, polls, calls
}

// measurePropagation publishes while the isolated domains can't reach the platform, and logs how
// long the revision takes to be in force on every host.
func (s *harness) measurePropagation(t *testing.T, how string, isolated []string) {
	for _, z := range isolated {
		s.net.Cut(z, "platform", true)
	}
	time.Sleep(5 * time.Second)
	start := time.Now()
	s.expectInForce(s.publish(setWeight(len(isolated) + 2)))
	t.Logf("in force everywhere %s: %s", how, time.Since(start).Round(10*time.Millisecond))
	for _, z := range isolated {
		s.net.Cut(z, "platform", false)
	}
}

// measureTakeover kills a host and returns how long it takes until no host of its failure domain
// counts it as live any more, and so as an owner.
func (s *harness) measureTakeover(t *testing.T) time.Duration {
	dead := s.Nodes[0].Board.Hosts.Self()
	s.kill(0)
	start := time.Now()
	for {
		unaware := 0
		for _, n := range s.Nodes[1:] {
			if n.Board.Hosts.Self().Domain != dead.Domain {
				continue
			}
			if _, live, _ := n.Board.Hosts.Get(dead.Number, time.Now()); live {
				unaware++
			}
		}
		if unaware == 0 {
			break
		}
		if time.Since(start) > 2*time.Minute {
			t.Errorf("%d hosts still count a killed host as live", unaware)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	took := time.Since(start).Round(100 * time.Millisecond)
	t.Logf("a killed host counts as gone in its failure domain after %s", took)
	return took
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
