package proof

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/trial"
)

// The cold endpoint that all hosts of a test share, and the bounds on its load.
const (
	coldName         = "decode-5"
	coldRate         = 21   // requests per second that it accepts
	coldMaxPerSecond = 36.5 // in any one second: coldRate * 1.5 (ColdOverrun) + 5 (ColdTolerance)
	// convergenceTime is the time after a change until all hosts agree again on the endpoint's
	// owner: a killed host counts as gone everywhere after 7 s (TestHundreds), and the votes
	// granted to it are free 2.45 s later.
	convergenceTime = 12 * time.Second
)

// sharedHarness is a fleet that shares one endpoint, which is cold or names a limit. Each
// failure domain is split into a near and a far zone on the network.
type sharedHarness struct {
	*harness
	hosts int
	stop  chan struct{}
	wait  sync.WaitGroup

	limit float64 // requests per second that the endpoint names; 0: it is cold; -1: no limit any more

	mu            sync.Mutex
	sentAt        []time.Time // requests that count against the bound
	firstAnswerAt []time.Time // of each host's first answer since its last restart; zero: none yet
}

// farZone is the suffix that turns a failure domain's name into that of its far zone.
const farZone = " far"

func startColdFleet(t *testing.T, hosts int) *sharedHarness { return startSharedFleet(t, hosts, 0) }

// startSharedFleet starts a fleet whose shared endpoint names a limit or, if limit is 0, is cold.
func startSharedFleet(t *testing.T, hosts int, limit float64) *sharedHarness {
	t.Helper()
	s := &sharedHarness{
		limit: limit, firstAnswerAt: make([]time.Time, hosts),
		harness: &harness{t: t, net: fake.NewNetwork(), stopped: map[int]bool{}},
		hosts:   hosts, stop: make(chan struct{}),
	}
	c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: hosts, Network: s.net, Fatal: s.fail,
		Change: func(d *config.Document) {
			oneRegion(d)
			for i := range d.Endpoints {
				if d.Endpoints[i].Name == coldName {
					d.Endpoints[i].ColdPerSecond = coldRate
				}
			}
		},
		Settings: func(s *config.Settings) {
			s.PollMillis, s.ColdOverrun, s.ColdTolerance = config.DefaultPollMillis, 1.5, 5
		},
		Zone: func(s *config.Settings) string {
			_, n, _ := strings.Cut(strings.TrimPrefix(s.Host, s.Domain), "-")
			if k, _ := strconv.Atoi(n); k%2 == 0 {
				return s.Domain + farZone
			}
			return s.Domain
		}})
	if err != nil {
		t.Fatal(err)
	}
	s.Cluster = c
	call := s.callCold
	if limit > 0 {
		call = s.callLimited
	}
	for i := range hosts {
		s.wait.Go(func() { s.callRepeatedly(i, call) })
	}
	return s
}

// permitWait is how long a host waits for a start permit.
const permitWait = 200 * time.Millisecond

// callRepeatedly has host i make calls until the test stops the calls.
func (s *sharedHarness) callRepeatedly(i int, call func(i int, r *peer.Router, spec *config.Endpoint)) {
	const pause = 300 * time.Millisecond
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(pause + time.Duration(i)*time.Millisecond/4):
		}
		s.mu.Lock()
		n, down := s.Nodes[i], s.down[i]
		s.mu.Unlock()
		if v := n.Board.Config.View(); !down && v != nil {
			call(i, n.Router, v.Endpoint(coldName))
		}
	}
}

// callCold has host i request a start permit. If it is granted and hasn't expired by the time to
// send, callCold records a call to the endpoint; no real one is made.
func (s *sharedHarness) callCold(i int, r *peer.Router, spec *config.Endpoint) {
	permit := r.AcquirePermit(context.Background(), spec, peer.PermitRequest{Wait: permitWait})
	if !permit.Granted {
		return
	}
	time.Sleep(permit.Delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Before(permit.ExpiresAt) && !s.down[i] {
		s.sentAt = append(s.sentAt, now)
	}
}

// finishCold stops the calls, checks that no second got too many of them and shuts the fleet down.
func (s *sharedHarness) finishCold(t *testing.T) {
	close(s.stop)
	s.wait.Wait()
	slices.SortFunc(s.sentAt, time.Time.Compare)
	maxSent := 0
	for first, last := 0, 0; last < len(s.sentAt); last++ {
		for s.sentAt[last].Sub(s.sentAt[first]) > time.Second {
			first++
		}
		maxSent = max(maxSent, last-first+1)
	}
	t.Logf("%d sent, at most %d in one second", len(s.sentAt), maxSent)
	if float64(maxSent) > coldMaxPerSecond {
		t.Errorf("%d requests in one second, want at most %v", maxSent, coldMaxPerSecond)
	}
	for _, b := range s.violations {
		t.Error(b)
	}
	s.harness.shutDown()
}

// runFor lets the fleet run for d and returns how many requests per second were sent.
func (s *sharedHarness) runFor(d time.Duration) float64 {
	s.mu.Lock()
	before := len(s.sentAt)
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.sentAt)-before) / d.Seconds()
}

// partition cuts all near zones off from all far zones, or heals the cut.
func (s *sharedHarness) partition(on bool) {
	for _, a := range s.Doc.Domains {
		for _, b := range s.Doc.Domains {
			s.net.Cut(a.Name, b.Name+farZone, on)
		}
	}
}

// ownerHost returns the index of the host that owns the endpoint and issues its start permits.
func (s *sharedHarness) ownerHost() int {
	for i, n := range s.Nodes {
		v := n.Board.Config.View()
		if v == nil || s.down[i] {
			continue
		}
		h, _ := owner.Of(n.Board, v, v.Endpoint(coldName), time.Now())
		return slices.IndexFunc(s.Settings, func(c *config.Settings) bool { return c.Host == h.Name })
	}
	return -1
}

func (s *sharedHarness) killHost(i int) {
	s.mu.Lock()
	if s.down == nil {
		s.down = map[int]bool{}
	}
	s.down[i] = true
	s.mu.Unlock()
	s.kill(i)
}

func (s *sharedHarness) restart(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Restart(i); err != nil {
		s.t.Error(err)
	}
	s.down[i] = false
	s.firstAnswerAt[i] = time.Time{}
}

// TestCold has several hundred hosts share one cold endpoint, first connected, then partitioned.
// The partition runs through the endpoint's own failure domain too, so both sides have an owner
// that issues start permits. Together the sides must neither exceed coldMaxPerSecond nor
// leave more than a fifth of coldRate unused.
func TestCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startColdFleet(t, oneRegionHosts)
		s.runFor(convergenceTime)
		bytes, _, calls := s.controlTraffic()
		connected := s.runFor(8 * time.Second)
		if connected < 0.97*coldRate {
			t.Errorf("%.1f requests/s were sent, the endpoint accepts %d", connected, coldRate)
		}
		bytes2, _, calls2 := s.controlTraffic()
		t.Logf("%.1f requests/s; %.0f B/s and %.2f calls/s with peers on each host", connected,
			float64(bytes2-bytes)/8/oneRegionHosts, float64(calls2-calls)/8/oneRegionHosts)
		s.partition(true)
		s.runFor(convergenceTime)
		if partitioned := s.runFor(5 * time.Second); partitioned < 0.8*coldRate {
			t.Errorf("%.1f requests/s were sent by both sides together, the endpoint accepts %d", partitioned, coldRate)
		}
		s.partition(false)
		s.runFor(convergenceTime)
		if healed := s.runFor(5 * time.Second); healed < 0.97*coldRate {
			t.Errorf("%.1f requests/s were sent after the partition, the endpoint accepts %d", healed, coldRate)
		}
		s.finishCold(t)
	})
}

// sharedFaults returns faults for a fleet that shares an endpoint, to be injected one at a time.
func sharedFaults() []sharedFault {
	return []sharedFault{
		{"its owner is killed", func(s *sharedHarness) { s.killHost(s.ownerHost()) }},
		{"its owner is killed and restarted", func(s *sharedHarness) {
			i := s.ownerHost()
			s.killHost(i)
			s.runFor(2 * time.Second)
			s.restart(i)
		}},
		{"its owner is passed over by all others", func(s *sharedHarness) {
			number := s.Nodes[s.ownerHost()].Board.Number
			for _, n := range s.Nodes {
				n.Board.Hosts.MarkUnconfirmed(number)
			}
		}},
		{"its owner wakes from a pause", func(s *sharedHarness) { s.Nodes[s.ownerHost()].Owner.Permits.Reset(time.Now()) }},
		{"all hosts are killed and restarted", func(s *sharedHarness) {
			for i := range s.Nodes {
				s.killHost(i)
			}
			s.runFor(time.Second)
			for i := range s.Nodes {
				s.restart(i)
			}
		}},
		{"its failure domain is cut off", func(s *sharedHarness) {
			cut := func(on bool) {
				for _, d := range s.Doc.Domains[1:] {
					for _, a := range []string{s.Doc.Domains[0].Name, s.Doc.Domains[0].Name + farZone} {
						s.net.Cut(a, d.Name, on)
						s.net.Cut(a, d.Name+farZone, on)
					}
				}
			}
			cut(true)
			s.runFor(6 * time.Second)
			cut(false)
		}},
		{"all are cut in two for a moment, twice", func(s *sharedHarness) {
			for range 2 {
				s.partition(true)
				s.runFor(3 * time.Second)
				s.partition(false)
				s.runFor(2 * time.Second)
			}
		}},
	}
}

// sharedFault is a fault to inject into a fleet that shares an endpoint.
type sharedFault struct {
	name   string
	inject func(s *sharedHarness)
}

// TestColdFaults injects one fault at a time while hosts share a cold endpoint. Owners that change,
// restart or are isolated must not let more than coldMaxPerSecond through; once the fault is over,
// they must issue permits for nearly coldRate again.
func TestColdFaults(t *testing.T) {
	const hosts = 60
	for _, tc := range sharedFaults() {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startColdFleet(t, hosts)
				s.runFor(convergenceTime)
				if s.Doc.Domains[0].Name != s.Settings[s.ownerHost()].Domain {
					t.Fatal("the endpoint is in another failure domain")
				}
				tc.inject(s)
				s.runFor(convergenceTime)
				if after := s.runFor(5 * time.Second); after < 0.9*coldRate {
					t.Errorf("%.1f requests/s were sent after the fault, the endpoint accepts %d", after, coldRate)
				}
				s.finishCold(t)
			})
		})
	}
}
