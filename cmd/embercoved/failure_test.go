package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
)

// failureRate and failureLoadTime are the rate per second and the duration of the load.
// faultAt is how long after its start the fault is injected.
const (
	failureRate     = 25
	failureLoadTime = 4 * time.Second
	faultAt         = 1200 * time.Millisecond
)

// failureArrivals returns arrivals of which every third must not be repeated. One caller
// in eight disconnects during prefill.
func failureArrivals(seed uint64) []load.Arrival {
	as := load.Mixes["domaskra"].Arrivals(seed, failureRate, failureLoadTime, 0.125)
	for i := range as {
		as[i].NotRepeatable = i%3 == 0
	}
	return as
}

// TestFailures injects faults into a deployment of processes under load. It checks every
// answer against what the stand-ins recorded: a fault must not lead to a wrong or missing
// token, an answer without a result code, a second run of a request that must not be
// repeated, or a run of a request that was refused as not run. Afterwards no attempt may
// hold memory at a runner.
func TestFailures(t *testing.T) {
	cases := []struct {
		name       string
		killedHost int // index of the host whose callers may see a broken connection; -1: none
		inject     func(t *testing.T, c *cluster)
	}{
		{"entry host killed", 1, func(t *testing.T, c *cluster) { c.hosts[1].kill() }},
		{"entry host frozen and woken", -1, func(t *testing.T, c *cluster) {
			c.hosts[1].signal(syscall.SIGSTOP)
			time.Sleep(5 * time.Second)
			c.hosts[1].signal(syscall.SIGCONT)
		}},
		{"decode runner killed", -1, func(t *testing.T, c *cluster) { c.endpoints["docket-decode-1"].kill() }},
		{"prefill runner killed", -1, func(t *testing.T, c *cluster) { c.endpoints["docket-prefill-1"].kill() }},
		{"decode runner frozen and woken", -1, func(t *testing.T, c *cluster) {
			c.endpoints["docket-decode-2"].signal(syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			c.endpoints["docket-decode-2"].signal(syscall.SIGCONT)
		}},
		{"cancels lost, a host killed", 2, func(t *testing.T, c *cluster) {
			for _, e := range c.doc.Endpoints[:10] {
				control(t, e.Address, "/control/faults", fake.Faults{CutAfter: 1})
			}
			c.hosts[2].kill()
		}},
		{"planned stop of a host", -1, func(t *testing.T, c *cluster) {
			c.hosts[0].signal(syscall.SIGTERM)
			<-c.hosts[0].done
			if code := c.hosts[0].ProcessState.ExitCode(); code != exitOK {
				t.Errorf("exit code %d: requests were cut off", code)
			}
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := startCluster(t, 3, nil)
			injected := make(chan struct{})
			go func() {
				defer close(injected)
				time.Sleep(faultAt)
				tc.inject(t, c)
			}()
			rs := c.send(failureArrivals(uint64(i + 1)))
			<-injected
			host := func(a load.Arrival) int { return a.Host % len(c.hosts) }
			// A host that stops as planned accepts requests for one more second (lame_duck_ms).
			mayBreak := func(a load.Arrival) bool {
				return host(a) == tc.killedHost || tc.name == "planned stop of a host" && host(a) == 0 && a.At > faultAt+time.Second
			}
			for _, violation := range load.Verify(rs, c.records(), mayBreak) {
				t.Error(violation)
			}
			c.eventually(func() string {
				if n := c.heldAttempts(); n > 0 {
					return fmt.Sprintf("%d attempts still hold memory", n)
				}
				return ""
			})
			for h := range c.hosts {
				if s, err := c.status(h); err == nil && len(s.BrokenInvariants) > 0 {
					t.Errorf("host %d: invariants broken: %v", h, s.BrokenInvariants)
				}
			}
			t.Log(load.Summarize(tc.name, rs, c.records(), c.doc.Targets, failureLoadTime).Text())
		})
	}
}
