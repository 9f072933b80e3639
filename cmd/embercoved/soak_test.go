package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
)

// The soak runs the real programs as separate processes and injects faults from outside.
// The faults overlap; a seed determines their sequence. To run it by hand:
//
//	go test ./cmd/embercoved -run TestSoak -soak.seeds 50 -soak.first 1 -timeout 2h
var (
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds that TestSoak runs")
	soakFirst = flag.Uint64("soak.first", 1, "first seed")
	soakTime  = flag.Duration("soak.span", 8*time.Second, "duration of the run of a seed")
)

// soakRegressions are seeds that have revealed a fault, with the fault. They are always run.
var soakRegressions = map[uint64]string{
	203: "prefill was repeated where prefill counts as a run, after two refusals by decode engines with free memory",
	228: "the same",
}

// soak is the run of a seed.
type soak struct {
	t       *testing.T
	c       *cluster
	r       *rand.Rand
	proxies map[string]*fake.Proxy
	wg      sync.WaitGroup

	mu          sync.Mutex
	log         []string
	interrupted map[int]bool // hosts that were killed or stopped: callers may see a broken connection
	underFault  map[int]bool // hosts that are down or frozen now
	started     time.Time
}

func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%6.2f s ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// publish publishes the document with the addresses of the proxies in place of the endpoints'.
func (s *soak) publish() {
	d := *s.c.doc
	d.Endpoints = append([]config.Endpoint(nil), d.Endpoints...)
	for i := range d.Endpoints {
		d.Endpoints[i].Address = s.proxies[d.Endpoints[i].Name].Address()
	}
	control(s.t, s.c.platform, "/control/publish", d)
}

// pickHost picks a host at random and marks it as under a fault. It returns -1 if that host
// is under a fault already, or if no more than two hosts aren't.
func (s *soak) pickHost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.underFault) >= len(s.c.hosts)-2 {
		return -1
	}
	h := s.r.IntN(len(s.c.hosts))
	if s.underFault[h] {
		return -1
	}
	s.underFault[h] = true
	return h
}

func (s *soak) endFault(h int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.underFault, h)
}

// injectFault injects a random fault, which ends after a random time, or publishes a new
// revision.
func (s *soak) injectFault() {
	duration := time.Duration(300+s.r.IntN(1700)) * time.Millisecond
	switch s.r.IntN(6) {
	case 0, 1:
		e := s.c.doc.Endpoints[s.r.IntN(len(s.c.doc.Endpoints))].Name
		mode := fake.Mode(1 + s.r.IntN(int(fake.SilentDown)))
		s.logf("%s: %s for %s", e, mode, duration)
		s.proxies[e].SetMode(mode)
		s.after(duration, func() { s.proxies[e].SetMode(fake.Pass) })
	case 2:
		s.logf("platform down for %s", duration)
		s.getPlatform("/control/down?v=1")
		s.after(duration, func() { s.getPlatform("/control/down?v=0") })
	case 3:
		s.logf("new revision published")
		s.publish()
	case 4:
		if h := s.pickHost(); h >= 0 {
			s.logf("host %d frozen for %s", h, duration)
			s.c.hosts[h].signal(syscall.SIGSTOP)
			s.after(duration, func() {
				s.c.hosts[h].signal(syscall.SIGCONT)
				s.endFault(h)
			})
		}
	case 5:
		s.restart(duration)
	}
}

// restart kills or stops a host and starts it again after duration.
func (s *soak) restart(duration time.Duration) {
	h := s.pickHost()
	if h < 0 {
		return
	}
	sig := syscall.SIGKILL
	if s.r.IntN(2) == 0 {
		sig = syscall.SIGTERM
	}
	s.logf("host %d gets %s, back after %s", h, sig, duration)
	s.mu.Lock()
	s.interrupted[h] = true
	s.mu.Unlock()
	p := s.c.hosts[h]
	p.signal(sig)
	s.after(duration, func() {
		p.kill()
		s.c.hosts[h] = s.c.startHost(h)
		s.endFault(h)
	})
}

func (s *soak) after(d time.Duration, f func()) {
	s.wg.Go(func() {
		time.Sleep(d)
		f()
	})
}

func (s *soak) getPlatform(path string) {
	res, err := http.Get("http://" + s.c.platform + path)
	if err == nil {
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// soakHosts is the number of hosts of a soak.
const soakHosts = 4

// TestSoak runs seeds. It compares what callers saw with what the stand-ins recorded, and
// guards against promises that are broken only when several faults overlap.
func TestSoak(t *testing.T) {
	seeds := []uint64{}
	for seed := range soakRegressions {
		seeds = append(seeds, seed)
	}
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, c: startCluster(t, soakHosts, nil), r: rand.New(rand.NewPCG(seed, 9)), proxies: map[string]*fake.Proxy{},
		interrupted: map[int]bool{}, underFault: map[int]bool{}, started: time.Now()}
	for _, e := range s.c.doc.Endpoints {
		p, err := fake.NewProxy(e.Address, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		s.proxies[e.Name] = p
	}
	s.publish()
	for h := range s.c.hosts {
		s.c.eventually(func() string {
			if st, err := s.c.status(h); err != nil || st.Config.Revision < 2 {
				return fmt.Sprintf("host %d: revision %d, %v", h, st.Config.Revision, err)
			}
			return ""
		})
	}
	arrivals := load.Mixes["domaskra"].Arrivals(seed, failureRate, *soakTime, 0.125)
	for i := range arrivals {
		arrivals[i].NotRepeatable = i%3 == 0
	}
	results := make(chan []load.Result)
	go func() { results <- s.c.send(arrivals) }()
	for time.Since(s.started) < *soakTime {
		s.injectFault()
		time.Sleep(time.Duration(200+s.r.IntN(500)) * time.Millisecond)
	}
	rs := <-results
	s.wg.Wait()
	for _, p := range s.proxies {
		p.SetMode(fake.Pass)
	}
	s.check(rs)
	if t.Failed() {
		for _, line := range s.log {
			t.Log(line)
		}
	}
	sum, _ := json.Marshal(map[string]any{"seed": seed, "faults": len(s.log), "requests": len(rs), "answered": countAnswered(rs)})
	t.Log(string(sum))
}

func countAnswered(rs []load.Result) int {
	n := 0
	for _, r := range rs {
		if r.Correct {
			n++
		}
	}
	return n
}

// check checks the promises to callers, and that the system has recovered: no attempt holds
// memory, every host has a revision that the soak published (2 or later), and no invariant was
// broken.
func (s *soak) check(rs []load.Result) {
	mayBreak := func(a load.Arrival) bool { return s.interrupted[a.Host%len(s.c.hosts)] }
	for _, violation := range load.Verify(rs, s.c.records(), mayBreak) {
		s.t.Error(violation)
	}
	if countAnswered(rs) == 0 {
		s.t.Error("nothing was answered")
	}
	s.c.eventually(func() string {
		if n := s.c.heldAttempts(); n > 0 {
			return fmt.Sprintf("%d attempts still hold memory", n)
		}
		return ""
	})
	for h := range s.c.hosts {
		s.c.eventually(func() string {
			st, err := s.c.status(h)
			if err != nil || st.Config.Revision < 2 {
				return fmt.Sprintf("host %d: revision %d, %v", h, st.Config.Revision, err)
			}
			return ""
		})
		if st, err := s.c.status(h); err == nil && len(st.BrokenInvariants) > 0 {
			s.t.Errorf("host %d: invariants broken: %v", h, st.BrokenInvariants)
		}
	}
}
