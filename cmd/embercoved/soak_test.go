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

// The soak runs the real programs as separate processes and injects faults
// from outside of them, in series that overlap, as a seed says. By hand:
// go test ./cmd/embercoved -run TestSoak -soak.seeds 50 -soak.first 1 -timeout 2h
var (
	soakSeeds = flag.Int("soak.seeds", 1, "how many seeds TestSoak plays")
	soakFirst = flag.Uint64("soak.first", 1, "the first of them")
	soakSpan  = flag.Duration("soak.span", 8*time.Second, "how long each is played")
)

// soakRegressions are seeds that failed once, each with a line on its cause.
var soakRegressions = map[uint64]string{
	203: "a prompt was read again where reading counts as a run, after two refusals by decode engines with room",
	228: "the same",
}

// soak is one seed being played.
type soak struct {
	t       *testing.T
	c       *procs
	r       *rand.Rand
	proxies map[string]*fake.Proxy
	wg      sync.WaitGroup

	mu     sync.Mutex
	log    []string
	struck map[int]bool // hosts that were killed or stopped: callers may see a broken connection
	busy   map[int]bool // hosts that are struck now
	began  time.Time
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%6.2f s ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// publish publishes the document with the proxies' addresses.
func (s *soak) publish() {
	d := *s.c.doc
	d.Endpoints = append([]config.Endpoint(nil), d.Endpoints...)
	for i := range d.Endpoints {
		d.Endpoints[i].Address = s.proxies[d.Endpoints[i].Name].Address()
	}
	control(s.t, s.c.platform, "/control/publish", d)
}

// host takes a host that isn't struck now, unless all but one are; -1: none.
func (s *soak) host() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.busy) >= len(s.c.hosts)-2 {
		return -1
	}
	h := s.r.IntN(len(s.c.hosts))
	if s.busy[h] {
		return -1
	}
	s.busy[h] = true
	return h
}

func (s *soak) heal(h int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, h)
}

// strike injects one fault, which heals by itself.
func (s *soak) strike() {
	lasts := time.Duration(300+s.r.IntN(1700)) * time.Millisecond
	switch s.r.IntN(6) {
	case 0, 1:
		e := s.c.doc.Endpoints[s.r.IntN(len(s.c.doc.Endpoints))].Name
		mode := fake.Mode(1 + s.r.IntN(int(fake.SilentDown)))
		s.note("%s: %s for %s", e, mode, lasts)
		s.proxies[e].Set(mode)
		s.later(lasts, func() { s.proxies[e].Set(fake.Pass) })
	case 2:
		s.note("platform down for %s", lasts)
		s.get("/control/down?v=1")
		s.later(lasts, func() { s.get("/control/down?v=0") })
	case 3:
		s.note("a revision")
		s.publish()
	case 4:
		if h := s.host(); h >= 0 {
			s.note("host %d frozen for %s", h, lasts)
			s.c.hosts[h].signal(syscall.SIGSTOP)
			s.later(lasts, func() {
				s.c.hosts[h].signal(syscall.SIGCONT)
				s.heal(h)
			})
		}
	case 5:
		s.restart(lasts)
	}
}

// restart kills or stops a host and starts it again.
func (s *soak) restart(lasts time.Duration) {
	h := s.host()
	if h < 0 {
		return
	}
	sig := syscall.SIGKILL
	if s.r.IntN(2) == 0 {
		sig = syscall.SIGTERM
	}
	s.note("host %d gets %s, back after %s", h, sig, lasts)
	s.mu.Lock()
	s.struck[h] = true
	s.mu.Unlock()
	p := s.c.hosts[h]
	p.signal(sig)
	s.later(lasts, func() {
		p.kill()
		s.c.hosts[h] = s.c.startHost(h)
		s.heal(h)
	})
}

func (s *soak) later(d time.Duration, f func()) {
	s.wg.Go(func() {
		time.Sleep(d)
		f()
	})
}

func (s *soak) get(path string) {
	res, err := http.Get("http://" + s.c.platform + path)
	if err == nil {
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// soakHosts is how many hosts a soak starts.
const soakHosts = 4

// TestSoak plays seeds and judges what callers saw by what really ran.
func TestSoak(t *testing.T) {
	seeds := []uint64{}
	for seed := range soakRegressions {
		seeds = append(seeds, seed)
	}
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { playSoak(t, seed) })
	}
}

func playSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, c: startProcs(t, soakHosts, nil), r: rand.New(rand.NewPCG(seed, 9)), proxies: map[string]*fake.Proxy{},
		struck: map[int]bool{}, busy: map[int]bool{}, began: time.Now()}
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
	as := load.Mixes["domaskra"].Arrivals(seed, failureRate, *soakSpan, 0.125)
	for i := range as {
		as[i].Once = i%3 == 0
	}
	over := make(chan []load.Result)
	go func() { over <- s.c.send(as) }()
	for time.Since(s.began) < *soakSpan {
		s.strike()
		time.Sleep(time.Duration(200+s.r.IntN(500)) * time.Millisecond)
	}
	rs := <-over
	s.wg.Wait()
	for _, p := range s.proxies {
		p.Set(fake.Pass)
	}
	s.judge(rs)
	if t.Failed() {
		for _, line := range s.log {
			t.Log(line)
		}
	}
	sum, _ := json.Marshal(map[string]any{"seed": seed, "faults": len(s.log), "requests": len(rs), "answered": answeredWhole(rs)})
	t.Log(string(sum))
}

func answeredWhole(rs []load.Result) int {
	n := 0
	for _, r := range rs {
		if r.Correct {
			n++
		}
	}
	return n
}

// judge checks the promises, and that the system is whole again in the end.
func (s *soak) judge(rs []load.Result) {
	gone := func(a load.Arrival) bool { return s.struck[a.Host%len(s.c.hosts)] }
	for _, broken := range load.Judge(rs, s.c.truth(), gone) {
		s.t.Error(broken)
	}
	if answeredWhole(rs) == 0 {
		s.t.Error("nothing was answered")
	}
	s.c.eventually(func() string {
		if n := s.c.held(); n > 0 {
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
		if st, err := s.c.status(h); err == nil && len(st.Broken) > 0 {
			s.t.Errorf("host %d: invariants broken: %v", h, st.Broken)
		}
	}
}
