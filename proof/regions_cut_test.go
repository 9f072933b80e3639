package proof

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/result"
)

// cutRegion cuts a region off from the others, or heals that.
func (s *scene) cutRegion(region int, cut bool) {
	for i := range regionCount * regionDomains {
		for k := range regionCount * regionDomains {
			if i%regionCount == region && k%regionCount != region {
				s.net.Cut(regionDomain(i), regionDomain(k), cut)
			}
		}
	}
}

// TestRegionsCut empties a region, cuts one of the others off, heals the cut and gives the
// first its engines back. Callers get what the regions in reach have places for.
func TestRegionsCut(t *testing.T) {
	const (
		phase = 7 * time.Second
		shown = 2500 * time.Millisecond // of a phase, by when what it began with has shown
	)
	phases := []struct {
		name  string
		least [regionCount]float64
	}{
		{"region 0 is emptied", [regionCount]float64{0.95, 0.95, 0.95}},
		{"region 1 is cut off", [regionCount]float64{0.85, 0.95, 0.90}},
		{"region 1 is back", [regionCount]float64{0.95, 0.95, 0.95}},
		{"region 0 is back", [regionCount]float64{0.97, 0.97, 0.97}},
	}
	synctest.Test(t, func(t *testing.T) {
		s := startRegions(t)
		defer s.end()
		time.Sleep(8 * time.Second)
		go func() {
			s.empty(0, 1)
			time.Sleep(phase)
			s.cutRegion(1, true)
			time.Sleep(phase)
			s.cutRegion(1, false)
			time.Sleep(phase)
			s.empty(0, 0)
		}()
		s.results = s.send(regionLoad(3, time.Duration(len(phases))*phase, [regionCount]float64{0.75, 0.75, 0.75}))
		for i, p := range phases {
			at := time.Duration(i) * phase
			shares := sharesOf(s.results, at+shown, at+phase)
			for k, r := range shares {
				t.Logf("%s: region %d: %d of %d in time (%.3f)", p.name, k, r.good, r.sent, r.part())
				if r.part() < p.least[k] {
					t.Errorf("%s: %.3f of region %d in time, want %.3f", p.name, r.part(), k, p.least[k])
				}
			}
		}
		s.tellRegions(t)
		s.judge()
		for _, b := range s.broken {
			t.Error(b)
		}
	})
}

// TestQuotaOfRegions has callers of three regions ask for three times a team's limit, and
// checks that the regions together let in what the limit allows, one of them cut off
// from the others as well.
func TestQuotaOfRegions(t *testing.T) {
	const (
		rate   = 6.0 // requests a second
		burst  = 6.0
		span   = 24 * time.Second
		window = 8 * time.Second
		// most is what may run in a window: a quarter more than the rate and the burst.
		most = (rate*8 + burst) * 1.25
		// least is what has to: three of four, though each side of a cut keeps to its part.
		least = rate * 8 * 0.75
	)
	limited := func(d *config.Document) {
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
				defer s.end()
				if _, err := s.Publish(limited); err != nil {
					t.Fatal(err)
				}
				time.Sleep(14 * time.Second)
				go func() {
					time.Sleep(window)
					s.cutRegion(1, cut)
				}()
				as := regionLoad(5, span, [regionCount]float64{0.4, 0.4, 0.4})
				for i := range as {
					as[i].Team = "press"
				}
				s.results = s.send(as)
				for at := time.Duration(0); at+window <= span; at += time.Second {
					n := ranIn(s.results, at, at+window)
					if float64(n) > most || float64(n) < least {
						t.Errorf("%d ran in the %s from %s, of three times the limit; want %.0f to %.0f", n, window, at, least, most)
					}
				}
				s.tellRegions(t)
			})
		})
	}
}

// ranIn counts the arrivals of a span that ran.
func ranIn(rs []load.Result, from, to time.Duration) (n int) {
	for _, r := range rs {
		if r.At >= from && r.At < to && r.Code != result.TeamQuota && !r.NotRun {
			n++
		}
	}
	return n
}
