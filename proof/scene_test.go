package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/trial"
)

// scene is a deployment in virtual time with load and what befalls it.
type scene struct {
	t *testing.T
	*trial.Cluster
	net     *fake.Network
	results []load.Result
	span    time.Duration

	mu     sync.Mutex
	broken []string     // promises found broken
	gone   map[int]bool // hosts that were killed: their callers see broken connections
	down   map[int]bool // of these, not restarted yet
}

// options of a scene.
type options struct {
	hosts  int
	rate   float64
	span   time.Duration
	seed   uint64
	change func(d *config.Document)
	edit   func(as *[]load.Arrival)
}

const (
	sceneHosts = 6
	sceneRate  = 22
	sceneSpan  = 8 * time.Second
	// settleTime is what the system may take to come to rest: suspicion of a
	// host, grace, and claims on what is left.
	settleTime = 25 * time.Second
)

// played is what became of a scene.
type played struct {
	broken     []string
	good, sent int
	codes      map[result.Code]int
	results    []load.Result
}

// isRefusedConnection reports whether a broken promise is only that nothing
// listened at a host's address, so that its caller got nothing at all.
func isRefusedConnection(b string) bool {
	return strings.Contains(b, "no numbered answer after 0s and 0 tokens")
}

func sortByTime(as []load.Arrival) {
	sort.SliceStable(as, func(i, j int) bool { return as[i].At < as[j].At })
}

// play runs f beside the load in a bubble of virtual time.
func play(t *testing.T, o options, f func(s *scene)) played {
	t.Helper()
	var out played
	synctest.Test(t, func(t *testing.T) {
		s := &scene{t: t, net: fake.NewNetwork(), gone: map[int]bool{}, span: o.span}
		if s.span == 0 {
			s.span = sceneSpan
		}
		if o.hosts == 0 {
			o.hosts = sceneHosts
		}
		if o.rate == 0 {
			o.rate = sceneRate
		}
		c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: o.hosts, Network: s.net, Change: o.change, Fatal: s.fail})
		if err != nil {
			t.Fatal(err)
		}
		s.Cluster = c
		defer func() {
			c.Stop()
			time.Sleep(time.Minute) // whatever still waits comes to its end
		}()
		done := make(chan struct{})
		go func() {
			defer close(done)
			f(s)
		}()
		as := arrivals(o.seed, o.rate, s.span)
		if o.edit != nil {
			o.edit(&as)
		}
		s.results = s.send(as)
		<-done
		s.judge()
		out = played{broken: s.broken, good: s.good(), sent: len(s.results), results: s.results, codes: map[result.Code]int{}}
		for _, r := range s.results {
			out.codes[r.Code]++
		}
	})
	return out
}

// fail notes a broken promise.
func (s *scene) fail(msg string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, msg)
}

// arrivals are Dómaskrá's mix: a third may not be repeated; a sixth of the
// callers leave, in every phase of their request.
func arrivals(seed uint64, rate float64, span time.Duration) []load.Arrival {
	as := load.Mixes["domaskra"].Arrivals(seed, rate, span, 0)
	r := rand.New(rand.NewPCG(seed, 2))
	for i := range as {
		as[i].Once = i%3 == 0
		if r.IntN(6) == 0 {
			as[i].Leaves = time.Duration(1+r.IntN(3000)) * time.Millisecond
		}
	}
	return as
}

func (s *scene) send(as []load.Arrival) []load.Result {
	sender := load.Sender{Addresses: s.Callers(), Dial: s.ClientDial("callers"), Model: load.Mixes["domaskra"].Model}
	return sender.Send(context.Background(), as)
}

// host returns which host an arrival went to.
func (s *scene) host(a load.Arrival) int { return a.Host % len(s.Nodes) }

// kill stops a host at once, as a crash does.
func (s *scene) kill(i int) {
	s.mu.Lock()
	s.gone[i] = true
	s.mu.Unlock()
	s.Nodes[i].Stop()
}

// faults sets the same faults at every runner.
func (s *scene) faults(f fake.Faults) {
	for _, r := range s.Runners {
		r.SetFaults(f)
	}
}

// judge looks for broken promises once the load is over.
func (s *scene) judge() {
	for _, b := range load.Judge(s.results, s.Truth(), func(a load.Arrival) bool { return s.gone[s.host(a)] }) {
		s.fail(b)
	}
	deadline := time.Now().Add(settleTime)
	for s.Held() > 0 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	if n := s.Held(); n > 0 {
		s.fail(fmt.Sprintf("%d attempts still hold memory after %s", n, settleTime))
	}
	for i, n := range s.Nodes {
		if left := n.Board.Requests.Len(); left > 0 && !s.gone[i] {
			s.fail(fmt.Sprintf("host %d still has %d requests in progress", i, left))
		}
	}
}

// good counts the answers that were whole and right.
func (s *scene) good() int {
	return answered(s.results)
}

// report fails the test with what was broken, or if nothing was answered.
func (p played) report(t *testing.T) {
	t.Helper()
	for i, b := range p.broken {
		if i == 12 {
			t.Errorf("and %d more", len(p.broken)-i)
			break
		}
		t.Error(b)
	}
	if p.sent > 0 && p.good == 0 {
		t.Error("nothing was answered")
	}
	t.Logf("%d of %d answered whole, codes %v", p.good, p.sent, p.codes)
}
