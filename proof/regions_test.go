package proof

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/load"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/trial"
)

// Size of the deployment of TestRegions. A region's prefill engines process some 34 prompts of
// its mix per second.
const (
	regionCount          = 3
	regionDomains        = 2 // in each region
	regionHosts          = 30
	regionPrefillEngines = 4    // in each region
	regionDecodeEngines  = 8    // in each region
	regionRate           = 16.0 // requests per second of a region's callers
	regionTarget         = 900 * time.Millisecond
)

// threeRegions changes a document to three regions with two failure domains each.
func threeRegions(d *config.Document) {
	runner := map[config.Role]config.Endpoint{}
	for _, e := range d.Endpoints {
		runner[e.Role] = e
	}
	d.Domains, d.Endpoints = nil, nil
	d.Targets.TTFTMillis = int(regionTarget.Milliseconds())
	for i := range regionCount * regionDomains {
		d.Domains = append(d.Domains, config.Domain{Name: regionDomain(i), Region: regionName(i), LinkBytesPerSecond: 4e9})
	}
	for i := range regionCount * (regionPrefillEngines + regionDecodeEngines) {
		role := config.Prefill
		if i >= regionCount*regionPrefillEngines {
			role = config.Decode
		}
		e := runner[role]
		e.Name, e.Domain = fmt.Sprintf("%s-%d", role, i), regionDomain(i%(regionCount*regionDomains))
		if role == config.Prefill {
			e.TokensPerSecond = 30000
		}
		d.Endpoints = append(d.Endpoints, e)
	}
}

func regionDomain(i int) string { return fmt.Sprintf("domain-%d", i) }
func regionName(i int) string   { return fmt.Sprintf("region-%d", i%regionCount) }

// regionDelay returns the one-way delay between two hosts.
func regionDelay(from, to string) time.Duration {
	var a, b int
	if n, _ := fmt.Sscanf(from+" "+to, "domain-%d domain-%d", &a, &b); n < 2 || a == b {
		return 100 * time.Microsecond
	}
	if a%regionCount == b%regionCount {
		return 900 * time.Microsecond
	}
	return 8 * time.Millisecond
}

// startRegions starts a fleet in three regions.
func startRegions(t *testing.T) *harness {
	t.Helper()
	s := &harness{t: t, net: fake.NewNetwork(), stopped: map[int]bool{}}
	s.net.Delay = regionDelay
	c, err := trial.Start(trial.Options{
		Document: examples.Domaskra, Hosts: regionHosts, Network: s.net, Change: threeRegions, Fatal: s.fail,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Cluster = c
	return s
}

// regionLoad returns arrivals at the hosts of each region; factors are multiples of regionRate.
func regionLoad(seed uint64, span time.Duration, factors [regionCount]float64) (out []load.Arrival) {
	mix := load.Mixes["domaskra"]
	mix.Kinds = []load.Kind{{Name: "question", Share: 1, Teams: []string{"press", "public"}, MinPromptTokens: 1000, MaxPromptTokens: 6000, MaxTokens: 40}}
	for region, x := range factors {
		as := mix.Arrivals(seed+uint64(region), x*regionRate, span, 0)
		for i := range as {
			as[i].Host = region + regionCount*(as[i].Host%(regionHosts/regionCount))
			as[i].NotRepeatable = i%2 == 0
		}
		out = append(out, as...)
	}
	sortByTime(out)
	return out
}

// regionCounts counts requests of a region's callers, and those that were answered right and in time.
type regionCounts struct{ sent, good int }

func (r regionCounts) goodShare() float64 { return float64(r.good) / float64(max(1, r.sent)) }

// countByRegion counts, by region, the requests that arrived in an interval and their good answers.
func countByRegion(rs []load.Result, from, to time.Duration) (out [regionCount]regionCounts) {
	for _, r := range rs {
		if r.At < from || r.At >= to {
			continue
		}
		row := &out[r.Host%regionCount]
		row.sent++
		if r.Correct && r.TTFT <= regionTarget {
			row.good++
		}
	}
	return out
}

// crossRegionRuns returns how many requests ran in another region than their callers'.
func (s *harness) crossRegionRuns() (runs uint64) {
	for _, n := range s.Nodes {
		for i := range regionCount {
			runs += n.Board.Regions.Redirected(config.NameNumber(regionName(i)))
		}
	}
	return runs
}

// TestRegions leaves one of three regions short of capacity while the others have some. Its
// requests must be redirected, so that its callers get nearly as many answers in time as those of
// the other regions, which must not suffer from it.
func TestRegions(t *testing.T) {
	const (
		span      = 14 * time.Second
		from      = 4 * time.Second // the change to the region has taken effect by then
		tolerance = 0.05            // below the best region
	)
	cases := []struct {
		name     string
		factors  [regionCount]float64
		inject   func(s *harness)
		minShare float64 // in time, of the requests of each region
	}{
		{"as usual", [regionCount]float64{1, 1, 1}, func(*harness) {}, 0.97},
		{"three times the load", [regionCount]float64{3, 1, 1}, func(*harness) {}, 0.93},
		{"half of the engines gone", [regionCount]float64{1.6, 1, 1}, func(s *harness) { s.setLeaving(0, 2) }, 0.93},
		{"emptied", [regionCount]float64{1, 1, 1}, func(s *harness) { s.setLeaving(0, 1) }, 0.93},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startRegions(t)
				defer s.shutDown()
				time.Sleep(8 * time.Second)
				before := s.peerBytes()
				tc.inject(s)
				s.results = s.send(regionLoad(7, span, tc.factors))
				bytes := float64(s.peerBytes()-before) / span.Seconds() / regionHosts
				counts := countByRegion(s.results, from, span)
				best := 0.0
				for i, r := range counts {
					t.Logf("region %d: %d of %d in time (%.3f)", i, r.good, r.sent, r.goodShare())
					best = max(best, r.goodShare())
				}
				t.Logf("%d requests ran in another region; control traffic with peers: %.0f B/s on each host",
					s.crossRegionRuns(), bytes)
				s.logRegions(t)
				for i, r := range counts {
					if r.goodShare() < tc.minShare || r.goodShare() < best-tolerance {
						t.Errorf("region %d: %.3f in time, want at least %.3f, and %.3f by the best region",
							i, r.goodShare(), tc.minShare, best-tolerance)
					}
				}
				s.checkPromises()
				for _, b := range s.violations {
					t.Error(b)
				}
			})
		})
	}
}

// peerBytes adds up the bytes of all hosts' traffic with peers.
func (s *harness) peerBytes() uint64 {
	peers, _, _ := s.controlTraffic()
	return peers
}

// setLeaving has one in n of a region's endpoints leave and the others stay or come back; if n is
// 0, none leaves.
func (s *harness) setLeaving(region, n int) {
	if _, err := s.Publish(func(d *config.Document) {
		for i := range d.Endpoints {
			if i%regionCount == region {
				d.Endpoints[i].Leaving = n > 0 && i/regionCount%n == 0
			}
		}
	}); err != nil {
		s.t.Fatal(err)
	}
}

// logRegions logs how requests ended, by region, and why they stayed in their region.
func (s *harness) logRegions(t *testing.T) {
	codes := [regionCount]map[string]int{}
	for i := range codes {
		codes[i] = map[string]int{}
	}
	for _, r := range s.results {
		name := r.Code.String()
		if r.Correct && r.TTFT > regionTarget {
			name = "late"
		}
		codes[r.Host%regionCount][name]++
	}
	stayed := map[string]uint64{}
	for _, n := range s.Nodes {
		for v, c := range n.Board.Regions.NotRedirected() {
			if c > 0 {
				stayed[region.Verdict(v).String()] += c
			}
		}
	}
	t.Logf("outcomes by region: %v; reasons to stay in the region: %v", codes, stayed)
}
