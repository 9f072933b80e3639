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

// harness runs a deployment in virtual time, sends load and collects violations.
type harness struct {
	t *testing.T
	*trial.Cluster
	net     *fake.Network
	results []load.Result
	span    time.Duration

	mu         sync.Mutex
	violations []string     // broken promises and invariants
	stopped    map[int]bool // hosts that were ever killed or stopped: their callers may see broken connections
	down       map[int]bool // hosts that were killed and not restarted yet
}

// options are the parameters of a scenario. hosts, rate and span take the defaults if zero.
// change is applied to the initial document and edit to the arrivals; both may be nil.
type options struct {
	hosts  int
	rate   float64
	span   time.Duration
	seed   uint64
	change func(d *config.Document)
	edit   func(as *[]load.Arrival)
}

const (
	defaultHosts = 6
	defaultRate  = 22
	defaultSpan  = 8 * time.Second
	// settleTime bounds how long attempts may hold memory after the load: a lost
	// host has to be suspected, the grace has to pass, and the remaining attempts
	// are then checked with their holders.
	settleTime = 25 * time.Second
)

// outcome is the result of a scenario.
type outcome struct {
	violations []string
	good, sent int
	codes      map[result.Code]int
	results    []load.Result
}

// isRefusedConnection reports whether a violation says only that a host refused the
// connection, so that its caller got no answer at all. The text is that of load.Verify.
func isRefusedConnection(violation string) bool {
	return strings.Contains(violation, "no numbered answer after 0s and 0 tokens")
}

func sortByTime(as []load.Arrival) {
	sort.SliceStable(as, func(i, j int) bool { return as[i].At < as[j].At })
}

// runScenario runs f while load is sent, in virtual time, and then checks the promises to callers.
func runScenario(t *testing.T, o options, f func(s *harness)) outcome {
	t.Helper()
	var out outcome
	synctest.Test(t, func(t *testing.T) {
		s := &harness{t: t, net: fake.NewNetwork(), stopped: map[int]bool{}, span: o.span}
		if s.span == 0 {
			s.span = defaultSpan
		}
		if o.hosts == 0 {
			o.hosts = defaultHosts
		}
		if o.rate == 0 {
			o.rate = defaultRate
		}
		c, err := trial.Start(trial.Options{
			Document: examples.Domaskra, Hosts: o.hosts, Network: s.net, Change: o.change, Fatal: s.fail,
		})
		if err != nil {
			t.Fatal(err)
		}
		s.Cluster = c
		defer func() {
			c.Stop()
			time.Sleep(time.Minute) // until all pending timers and calls have ended
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
		s.checkPromises()
		out = outcome{
			violations: s.violations, good: s.good(), sent: len(s.results), results: s.results,
			codes: map[result.Code]int{},
		}
		for _, r := range s.results {
			out.codes[r.Code]++
		}
	})
	return out
}

// fail records a violation.
func (s *harness) fail(msg string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, msg)
}

// arrivals returns Dómaskrá's mix. A third of the requests may not be repeated; a sixth
// of the callers leave within 3 s, so that some do in every phase of their request.
func arrivals(seed uint64, rate float64, span time.Duration) []load.Arrival {
	as := load.Mixes["domaskra"].Arrivals(seed, rate, span, 0)
	r := rand.New(rand.NewPCG(seed, 2))
	for i := range as {
		as[i].NotRepeatable = i%3 == 0
		if r.IntN(6) == 0 {
			as[i].LeaveAfter = time.Duration(1+r.IntN(3000)) * time.Millisecond
		}
	}
	return as
}

func (s *harness) send(as []load.Arrival) []load.Result {
	sender := load.Sender{Addresses: s.Callers(), Dial: s.ClientDial("callers"), Model: load.Mixes["domaskra"].Model}
	return sender.Send(context.Background(), as)
}

// hostOf returns the index of the host that an arrival is sent to.
func (s *harness) hostOf(a load.Arrival) int { return a.Host % len(s.Nodes) }

// kill stops a host at once, as a crash does.
func (s *harness) kill(i int) {
	s.mu.Lock()
	s.stopped[i] = true
	s.mu.Unlock()
	s.Nodes[i].Stop()
}

// setFaults sets the same faults at every runner.
func (s *harness) setFaults(f fake.Faults) {
	for _, r := range s.Runners {
		r.SetFaults(f)
	}
}

// checkPromises records the promises to callers that were broken and, after settleTime at the latest,
// memory or requests that are still held. It is called once the load is over.
func (s *harness) checkPromises() {
	for _, b := range load.Verify(s.results, s.Records(), func(a load.Arrival) bool { return s.stopped[s.hostOf(a)] }) {
		s.fail(b)
	}
	deadline := time.Now().Add(settleTime)
	for s.Held() > 0 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	if n := s.Held(); n > 0 {
		s.fail(fmt.Sprintf("%d attempts still hold memory %s after the load", n, settleTime))
	}
	for i, n := range s.Nodes {
		if left := n.Board.Requests.Len(); left > 0 && !s.stopped[i] {
			s.fail(fmt.Sprintf("host %d still has %d requests in progress", i, left))
		}
	}
}

// good counts the answers that were complete and right.
func (s *harness) good() int {
	return countCorrect(s.results)
}

// report fails the test with the violations, or if nothing was answered.
func (p outcome) report(t *testing.T) {
	t.Helper()
	for i, b := range p.violations {
		if i == 12 {
			t.Errorf("and %d more", len(p.violations)-i)
			break
		}
		t.Error(b)
	}
	if p.sent > 0 && p.good == 0 {
		t.Error("nothing was answered")
	}
	t.Logf("%d of %d answered completely, codes %v", p.good, p.sent, p.codes)
}
