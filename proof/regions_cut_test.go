package proof

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/result"
)

// isolateRegion cuts a region off from the others, or heals the cut.
func (s *harness) isolateRegion(region int, cut bool) {
	for i := range regionCount * regionDomains {
		for k := range regionCount * regionDomains {
			if i%regionCount == region && k%regionCount != region {
				s.net.Cut(regionDomain(i), regionDomain(k), cut)
			}
		}
	}
}

// TestRegionsCut has all endpoints of a region leave, cuts another region off, heals the cut and
// brings the endpoints back. In each phase, requests must be redirected to the reachable regions
// with free capacity, so that callers of all regions get most of their answers in time.
func TestRegionsCut(t *testing.T) {
	const (
		phase   = 7 * time.Second
		settled = 2500 * time.Millisecond // after which the change at the start of a phase has taken effect
	)
	phases := []struct {
		name     string
		minShare [regionCount]float64
	}{
		{"region 0 has no endpoints", [regionCount]float64{0.95, 0.95, 0.95}},
		{"region 1 is cut off", [regionCount]float64{0.85, 0.95, 0.90}},
		{"region 1 is reconnected", [regionCount]float64{0.95, 0.95, 0.95}},
		{"region 0 has its endpoints back", [regionCount]float64{0.97, 0.97, 0.97}},
	}
	synctest.Test(t, func(t *testing.T) {
		s := startRegions(t)
		defer s.shutDown()
		time.Sleep(8 * time.Second)
		go func() {
			s.setLeaving(0, 1)
			time.Sleep(phase)
			s.isolateRegion(1, true)
			time.Sleep(phase)
			s.isolateRegion(1, false)
			time.Sleep(phase)
			s.setLeaving(0, 0)
		}()
		s.results = s.send(regionLoad(3, time.Duration(len(phases))*phase, [regionCount]float64{0.75, 0.75, 0.75}))
		for i, p := range phases {
			at := time.Duration(i) * phase
			counts := countByRegion(s.results, at+settled, at+phase)
			for k, r := range counts {
				t.Logf("%s: region %d: %d of %d in time (%.3f)", p.name, k, r.good, r.sent, r.goodShare())
				if r.goodShare() < p.minShare[k] {
					t.Errorf("%s: %.3f of region %d in time, want at least %.3f", p.name, r.goodShare(), k, p.minShare[k])
				}
			}
		}
		s.logRegions(t)
		s.checkPromises()
		for _, b := range s.violations {
			t.Error(b)
		}
	})
}

// TestQuotaOfRegions has callers in three regions send three times a team's quota. The regions
// together must admit what the quota allows, neither each region the whole quota nor much less
// than all of it, also while one of them is cut off from the others.
func TestQuotaOfRegions(t *testing.T) {
	const (
		rate   = 6.0 // requests per second
		burst  = 6.0
		span   = 24 * time.Second
		window = 8 * time.Second
		// maxRuns bounds the requests run in a window: a quarter more than the rate and the burst allow.
		maxRuns = (rate*8 + burst) * 1.25
		// minRuns is three quarters of the rate, though each side of a cut uses only its own share.
		minRuns = rate * 8 * 0.75
	)
	setQuota := func(d *config.Document) {
		for i := range d.Teams {
			if d.Teams[i].Name == "press" {
				d.Teams[i].Quota = config.Quota{Unit: config.QuotaRequests, Rate: rate, Burst: burst}
			}
		}
	}
	for _, cut := range []bool{false, true} {
		name := "together"
		if cut {
			name = "one cut off"
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startRegions(t)
				defer s.shutDown()
				if _, err := s.Publish(setQuota); err != nil {
					t.Fatal(err)
				}
				time.Sleep(14 * time.Second)
				go func() {
					time.Sleep(window)
					s.isolateRegion(1, cut)
				}()
				as := regionLoad(5, span, [regionCount]float64{0.4, 0.4, 0.4})
				for i := range as {
					as[i].Team = "press"
				}
				s.results = s.send(as)
				for at := time.Duration(0); at+window <= span; at += time.Second {
					n := countRun(s.results, at, at+window)
					if float64(n) > maxRuns || float64(n) < minRuns {
						t.Errorf("%d ran in the %s from %s at three times the quota, want %.0f to %.0f",
							n, window, at, minRuns, maxRuns)
					}
				}
				s.logRegions(t)
			})
		})
	}
}

// countRun counts the requests that arrived in an interval and ran.
func countRun(rs []load.Result, from, to time.Duration) (n int) {
	for _, r := range rs {
		if r.At >= from && r.At < to && r.Code != result.TeamQuota && !r.NotRun {
			n++
		}
	}
	return n
}
