package proof

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/route"
)

const (
	limitWindow = 4 * time.Second // interval over which requests are counted
	// limitGrace is the time from a host's first answer that names the limit until its requests
	// count, whether or not it applies the limit by then.
	limitGrace        = 500 * time.Millisecond
	limitAppliedAfter = 300 * time.Millisecond // until all hosts have received a limit, or its end
	limitUtilization  = 0.9                    // least share of the limit that is used while demand exceeds it
	callDuration      = 60 * time.Millisecond  // of each call
)

// hasLimit reports whether host i applies a limit to the shared endpoint.
func (s *sharedHarness) hasLimit(i int) (has bool) {
	s.Nodes[i].Board.Endpoints.Find(route.Number(coldName), func(_ *config.View, st *route.State) { has = st.Limit.Report().Named })
	return has
}

// callLimited has host i call the endpoint. Once the host applies the limit it needs a start permit
// for the call.
func (s *sharedHarness) callLimited(i int, r *peer.Router, spec *config.Endpoint) {
	if s.hasLimit(i) {
		permit := r.AcquirePermit(context.Background(), spec, peer.PermitRequest{Wait: permitWait, Warm: true})
		if !permit.Granted {
			return
		}
		if time.Sleep(permit.Delay); !clock.Now().Before(permit.ExpiresAt) {
			return
		}
	}
	s.callEndpoint(i, r, spec)
}

// callEndpoint simulates a call of host i to the endpoint: it reports an answer to the host's router,
// which names the limit while there is one. Calls that count against the bound go to sentAt.
func (s *sharedHarness) callEndpoint(i int, r *peer.Router, spec *config.Endpoint) {
	s.mu.Lock()
	now := time.Now()
	if s.down[i] {
		s.mu.Unlock()
		return
	}
	if firstAnswer := s.firstAnswerAt[i]; s.limit >= 0 && (s.hasLimit(i) || !firstAnswer.IsZero() && now.Sub(firstAnswer) >= limitGrace) {
		s.sentAt = append(s.sentAt, now)
	}
	s.mu.Unlock()
	sent := clock.Now()
	time.Sleep(callDuration)
	s.mu.Lock()
	down, limit := s.down[i], s.limit
	if s.firstAnswerAt[i].IsZero() {
		s.firstAnswerAt[i] = time.Now()
	}
	s.mu.Unlock()
	if down {
		return
	}
	if limit >= 0 {
		r.ReceiveLimit(spec, pace.Report{Named: true, PerSecond: limit, At: clock.Now(), Started: spec.Born})
		return
	}
	r.ReceiveLimit(spec, pace.Report{At: sent, Started: spec.Born})
}

// finishLimited stops the calls, checks that no limitWindow got more than factor times the limit
// plus the allowance, and shuts the fleet down. It counts the calls of hosts that applied the limit
// or had first got an answer that names it at least limitGrace before.
func (s *sharedHarness) finishLimited(t *testing.T, limit, factor, allowance float64) {
	close(s.stop)
	s.wait.Wait()
	slices.SortFunc(s.sentAt, time.Time.Compare)
	maxSent := 0
	for first, last := 0, 0; last < len(s.sentAt); last++ {
		for s.sentAt[last].Sub(s.sentAt[first]) >= limitWindow {
			first++
		}
		maxSent = max(maxSent, last-first+1)
	}
	t.Logf("%d sent, at most %d in %v", len(s.sentAt), maxSent, limitWindow)
	if allowed := factor*limit*limitWindow.Seconds() + allowance; float64(maxSent) > allowed {
		t.Errorf("%d requests in %v, want at most %.1f", maxSent, limitWindow, allowed)
	}
	for _, b := range s.violations {
		t.Error(b)
	}
	s.harness.shutDown()
}

// checkUtilization runs the fleet for 10 s, or longer if the limit allows fewer than 20 requests in
// that time, and checks that the endpoint gets at least a share of its limit.
func (s *sharedHarness) checkUtilization(t *testing.T, limit, share float64) {
	t.Helper()
	d, minRate := time.Duration(max(10, 20/limit)*float64(time.Second)), share*limit
	if rate := s.runFor(d); rate < minRate {
		t.Errorf("%.2f requests/s were sent, want at least %.2f", rate, minRate)
	}
}

// TestLimit has several hundred hosts share an endpoint that names a limit. All hosts must apply
// the limit soon after the first answer that names it, the endpoint must get at least nine tenths of
// the limit and at most a tenth more than it, plus one request per limitWindow, and all hosts must
// drop it soon after the first answer without one.
func TestLimit(t *testing.T) {
	const limit = 21.0
	synctest.Test(t, func(t *testing.T) {
		s := startSharedFleet(t, oneRegionHosts, limit)
		for s.countMismatched(true) == oneRegionHosts {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(limitAppliedAfter)
		if n := s.countMismatched(true); n > 0 {
			t.Errorf("%d hosts don't apply the limit %v after the first answer", n, limitAppliedAfter)
		}
		s.runFor(convergenceTime)
		bytes, _, calls := s.controlTraffic()
		s.checkUtilization(t, limit, limitUtilization)
		bytes2, _, calls2 := s.controlTraffic()
		t.Logf("%.0f B/s and %.2f calls/s with peers on each host",
			float64(bytes2-bytes)/10/oneRegionHosts, float64(calls2-calls)/10/oneRegionHosts)
		s.mu.Lock()
		s.limit = -1 // answers name none any more
		s.mu.Unlock()
		for s.countMismatched(false) == oneRegionHosts {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(limitAppliedAfter)
		if n := s.countMismatched(false); n > 0 {
			t.Errorf("%d hosts still apply the limit %v after the first answer without one", n, limitAppliedAfter)
		}
		s.finishLimited(t, limit, 1.1, 1)
	})
}

// countMismatched returns how many hosts differ from want, which says whether they should apply a limit.
func (s *sharedHarness) countMismatched(want bool) (n int) {
	for i := range s.Nodes {
		if s.hasLimit(i) != want {
			n++
		}
	}
	return n
}

// TestLimitFaults injects one fault at a time while hosts share an endpoint that names a limit.
// Owners that change, restart or are isolated must not let through more than 1.5 times the limit
// plus 5 requests per limitWindow; once the fault is over, hosts must use nearly all of the limit
// again.
func TestLimitFaults(t *testing.T) {
	const hosts = 60
	for _, limit := range []float64{0.5, 5.7, 60} {
		for _, tc := range sharedFaults() {
			t.Run(tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSharedFleet(t, hosts, limit)
					s.runFor(convergenceTime)
					tc.inject(s)
					s.runFor(convergenceTime)
					s.checkUtilization(t, limit, limitUtilization)
					s.finishLimited(t, limit, 1.5, 5)
				})
			})
		}
	}
}

// TestLimitConfirmed has host 1 get an answer that names a limit just after the call was sent whose
// answer to host 0 names none any more. Host 1 keeps the limit when host 0 announces its end, as its
// own report is later. It must drop the limit after a later answer to host 0: that answer changes
// nothing at host 0, but has to be announced all the same.
func TestLimitConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5.7
		s := startSharedFleet(t, 6, limit)
		close(s.stop) // no calls: the test reports answers itself
		s.wait.Wait()
		time.Sleep(2 * time.Second)
		observe := func(i int, named bool, at time.Time) {
			n := s.Nodes[i]
			n.Router.ReceiveLimit(n.Board.Config.View().Endpoint(coldName), pace.Report{Named: named, PerSecond: limit, At: at})
		}
		now := clock.Now()
		observe(0, true, now)
		time.Sleep(limitAppliedAfter)
		if n := s.countMismatched(true); n > 0 {
			t.Errorf("%d hosts don't apply the limit", n)
		}
		time.Sleep(time.Second) // until answers that confirm the limit are no longer announced
		now = clock.Now()
		observe(1, true, now.Add(100*time.Millisecond))
		observe(0, false, now.Add(50*time.Millisecond))
		time.Sleep(limitAppliedAfter)
		if n := s.countMismatched(false); n != 1 {
			t.Errorf("%d hosts apply the limit, want only the one with the latest report", n)
		}
		observe(0, false, now.Add(200*time.Millisecond))
		time.Sleep(limitAppliedAfter)
		if n := s.countMismatched(false); n > 0 {
			t.Errorf("%d hosts apply the limit after the answer to a later call", n)
		}
		s.harness.shutDown()
	})
}
