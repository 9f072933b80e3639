package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
)

// failureRate and failureSpan size the load that faults strike.
const (
	failureRate = 25
	failureSpan = 4 * time.Second
	strikeAt    = 1200 * time.Millisecond
)

// mixed returns arrivals of which every third may not be repeated and every
// eighth caller leaves.
func mixed(seed uint64) []load.Arrival {
	as := load.Mixes["domaskra"].Arrivals(seed, failureRate, failureSpan, 0.125)
	for i := range as {
		as[i].Once = i%3 == 0
	}
	return as
}

// TestFailures strikes a deployment of processes under load and judges every
// answer against the stand-ins' own truth. After each, no memory stays held.
func TestFailures(t *testing.T) {
	cases := []struct {
		name   string
		kills  int // index of the host whose callers may see a broken connection, -1: none
		strike func(t *testing.T, c *procs)
	}{
		{"entry host killed", 1, func(t *testing.T, c *procs) { c.hosts[1].kill() }},
		{"entry host frozen and woken", -1, func(t *testing.T, c *procs) {
			c.hosts[1].signal(syscall.SIGSTOP)
			time.Sleep(5 * time.Second)
			c.hosts[1].signal(syscall.SIGCONT)
		}},
		{"decode runner killed", -1, func(t *testing.T, c *procs) { c.runners["docket-decode-1"].kill() }},
		{"prefill runner killed", -1, func(t *testing.T, c *procs) { c.runners["docket-prefill-1"].kill() }},
		{"decode runner frozen and woken", -1, func(t *testing.T, c *procs) {
			c.runners["docket-decode-2"].signal(syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			c.runners["docket-decode-2"].signal(syscall.SIGCONT)
		}},
		{"cancels lost, a host killed", 2, func(t *testing.T, c *procs) {
			for _, e := range c.doc.Endpoints[:10] {
				control(t, e.Address, "/control/faults", fake.Faults{CutAfter: 1})
			}
			c.hosts[2].kill()
		}},
		{"planned stop of a host", -1, func(t *testing.T, c *procs) {
			c.hosts[0].signal(syscall.SIGTERM)
			<-c.hosts[0].done
			if code := c.hosts[0].ProcessState.ExitCode(); code != exitOK {
				t.Errorf("exit code %d: requests were cut off", code)
			}
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := startProcs(t, 3, nil)
			struck := make(chan struct{})
			go func() {
				defer close(struck)
				time.Sleep(strikeAt)
				tc.strike(t, c)
			}()
			rs := c.send(mixed(uint64(i + 1)))
			<-struck
			host := func(a load.Arrival) int { return a.Host % len(c.hosts) }
			gone := func(a load.Arrival) bool {
				return host(a) == tc.kills || tc.name == "planned stop of a host" && host(a) == 0 && a.At > strikeAt+time.Second
			}
			for _, broken := range load.Judge(rs, c.truth(), gone) {
				t.Error(broken)
			}
			c.eventually(func() string {
				if n := c.held(); n > 0 {
					return fmt.Sprintf("%d attempts still hold memory", n)
				}
				return ""
			})
			for h := range c.hosts {
				if s, err := c.status(h); err == nil && len(s.Broken) > 0 {
					t.Errorf("host %d: invariants broken: %v", h, s.Broken)
				}
			}
			t.Log(load.Sum(tc.name, rs, c.truth(), c.doc.Targets, failureSpan).Text())
		})
	}
}
