package proof

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/trial"
)

// measureRun runs a deployment under load in virtual time and returns what was measured.
func measureRun(t *testing.T, r load.Run) (rep load.Report, rs []load.Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r.Network, r.Fatal = fake.NewNetwork(), func(m string) { t.Error(m) }
		r.LagMillis, r.Seed = load.DefaultLag, max(r.Seed, 1)
		var err error
		if rep, rs, err = r.Do(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
	})
	return rep, rs
}

// totals adds up the requests, tries and attempts that the hosts of a cluster recorded.
func totals(c *trial.Cluster) (s report.Totals) {
	for _, n := range c.Nodes {
		h := n.Recorder.Totals()
		s.Requests += h.Requests
		s.Tries += h.Tries
		s.Attempts += h.Attempts
	}
	return s
}

// TestRetryStorm makes a third of the engines, or all prefill engines, fail every call.
// Retries must not multiply the load: there must be fewer than 1.2 tries per request.
func TestRetryStorm(t *testing.T) {
	const maxTries = 1.2
	third := []string{"docket-prefill-1", "docket-prefill-4", "docket-decode-2"}
	all := []string{"docket-prefill-1", "docket-prefill-2", "docket-prefill-3", "docket-prefill-4", "docket-prefill-5", "docket-prefill-6"}
	cases := []struct {
		name      string
		endpoints []string
		faults    fake.Faults
	}{
		{"a third breaks", third, fake.Faults{RefuseUnconfirmed: 1 << 20}},
		{"a third hangs up", third, fake.Faults{CutBefore: 1 << 20}},
		{"a third refuses", third, fake.Faults{RefuseShare: 1}},
		{"all break", all, fake.Faults{RefuseUnconfirmed: 1 << 20}},
		{"all refuse", all, fake.Faults{RefuseShare: 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var sum report.Totals
			p := runScenario(t, options{seed: 500, span: 12 * time.Second, edit: func(as *[]load.Arrival) {
				for i := range *as {
					(*as)[i].NotRepeatable = false
				}
			}}, func(s *harness) {
				for _, n := range tc.endpoints {
					s.Runners[n].SetFaults(tc.faults)
				}
				time.Sleep(11 * time.Second)
				sum = totals(s.Cluster)
			})
			if len(tc.endpoints) < len(all) {
				p.report(t)
			}
			tries := float64(sum.Tries) / float64(sum.Requests)
			if tries >= maxTries {
				t.Errorf("%.3f tries per request over %d requests, want less than %g", tries, sum.Requests, maxTries)
			}
			t.Logf("%.3f tries and %.3f calls per request, %d of %d answered",
				tries, float64(sum.Attempts)/float64(sum.Requests), p.good, p.sent)
		})
	}
}

// TestOwnerKilledAtPeak kills the host that owns the most endpoints at full load. Its own
// callers lose their connections and aren't counted. Other hosts must take its endpoints
// over, so that the callers of those hosts get nearly as many answers in time as before
// again within three seconds.
func TestOwnerKilledAtPeak(t *testing.T) {
	const (
		span, killAt = 16 * time.Second, 8 * time.Second
		recovery     = 3 * time.Second
		minShare     = 0.9 // of the share that was in time before
	)
	killed := -1
	_, rs := measureRun(t, load.Run{Deployment: "domaskra", Mode: config.ModeOwner, Factor: 1, Span: span, During: func(c *trial.Cluster) {
		time.Sleep(killAt)
		maxOwned := -1
		for i, n := range c.Nodes {
			if k := len(n.Owner.Owned(time.Now())); k > maxOwned {
				maxOwned, killed = k, i
			}
		}
		c.Nodes[killed].Stop()
	}})
	sent, good := make([]int, span/time.Second), make([]int, span/time.Second)
	for _, r := range rs {
		if r.Host%load.DefaultHosts == killed {
			continue
		}
		s := int(r.At / time.Second)
		sent[s]++
		if r.Correct && r.TTFT <= 1300*time.Millisecond && r.TPOT <= 35*time.Millisecond {
			good[s]++
		}
	}
	share := func(from, to time.Duration) float64 {
		n, g := 0, 0
		for s := from / time.Second; s < to/time.Second; s++ {
			n, g = n+sent[s], g+good[s]
		}
		return float64(g) / float64(n)
	}
	before, during, after := share(2*time.Second, killAt), share(killAt, killAt+recovery), share(killAt+recovery, span)
	t.Logf("in time: %.1f%% before, %.1f%% in the three seconds after, %.1f%% from then on; by second %v of %v",
		100*before, 100*during, 100*after, good, sent)
	if after < minShare*before {
		t.Errorf("%.1f%% in time from %s after the kill on, %.1f%% before it", 100*after, recovery, 100*before)
	}
}

// TestOneTeamAtTenTimes floods the pools with one team at ten times its share. The requests
// of another team must not queue behind the flood: nearly all must be answered in time.
func TestOneTeamAtTenTimes(t *testing.T) {
	const minShare = 0.9
	mix := load.Mixes["domaskra"]
	as := mix.Arrivals(9, 70, 15*time.Second, 0)
	for i := range as {
		as[i].Team = "lawyers"
		if i%20 == 0 {
			as[i].Team = "press"
		}
	}
	rep, _ := measureRun(t, load.Run{Deployment: "domaskra", Mode: config.ModeOwner, Span: 15 * time.Second, Arrivals: as})
	press, lawyers := rep.Kinds["team press"], rep.Kinds["team lawyers"]
	t.Logf("press %d of %d, lawyers %d of %d in time", press.Good, press.Offered, lawyers.Good, lawyers.Offered)
	if float64(press.Good) < minShare*float64(press.Offered) {
		t.Errorf("press: %d of %d in time beside a team at ten times its share", press.Good, press.Offered)
	}
}

// TestAheadOfBaselines compares the policies on the same arrivals above capacity: routing by
// endpoint owners must answer more requests in time than each baseline. In virtual time the
// figures don't depend on the machine.
func TestAheadOfBaselines(t *testing.T) {
	baselines := []config.PolicyMode{config.ModeLeastLoad, config.ModeTwoChoices, config.ModeRoundRobin, config.ModeFixedShare}
	for _, dep := range []string{"domaskra", "paranacor"} {
		t.Run(dep, func(t *testing.T) {
			t.Parallel()
			run := load.Run{Deployment: dep, Mode: config.ModeOwner, Factor: 1.5, Span: 6 * time.Second, Leaving: 0.1}
			owners, _ := measureRun(t, run)
			for _, m := range baselines {
				run.Mode = m
				rep, _ := measureRun(t, run)
				t.Logf("%s has %d answers in time, owners have %d", m, rep.Good, owners.Good)
				if rep.Good >= owners.Good {
					t.Errorf("%s has as many answers in time as owners, or more", m)
				}
			}
		})
	}
}
