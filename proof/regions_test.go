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

// Size of the deployment of TestRegions. A region's engines read some 34 prompts of its mix
// a second.
const (
	regionCount   = 3
	regionDomains = 2 // of each region
	regionHosts   = 30
	regionReads   = 4 // prefill engines of each region
	regionWrites  = 8
	regionRate    = 16.0 // requests a second of a region's callers
	regionTarget  = 900 * time.Millisecond
)

// threeRegions makes a document of three regions with two failure domains each.
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
	for i := range regionCount * (regionReads + regionWrites) {
		role := config.Prefill
		if i >= regionCount*regionReads {
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

// regionDelay is what a link between hosts takes one way.
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

// startRegions starts hosts before three regions.
func startRegions(t *testing.T) *scene {
	t.Helper()
	s := &scene{t: t, net: fake.NewNetwork(), gone: map[int]bool{}}
	s.net.Delay = regionDelay
	c, err := trial.Start(trial.Options{Document: examples.Domaskra, Hosts: regionHosts, Network: s.net, Change: threeRegions, Fatal: s.fail})
	if err != nil {
		t.Fatal(err)
	}
	s.Cluster = c
	return s
}

// regionLoad returns arrivals at the hosts of each region, at so many times the usual rate.
func regionLoad(seed uint64, span time.Duration, times [regionCount]float64) (out []load.Arrival) {
	mix := load.Mixes["domaskra"]
	mix.Kinds = []load.Kind{{Name: "question", Share: 1, Team: []string{"press", "public"}, Least: 1000, Most: 6000, MaxTokens: 40}}
	for region, x := range times {
		as := mix.Arrivals(seed+uint64(region), x*regionRate, span, 0)
		for i := range as {
			as[i].Host = region + regionCount*(as[i].Host%(regionHosts/regionCount))
			as[i].Once = i%2 == 0
		}
		out = append(out, as...)
	}
	sortByTime(out)
	return out
}

// regionShare is what the callers of a region got.
type regionShare struct{ sent, good int }

func (r regionShare) part() float64 { return float64(r.good) / float64(max(1, r.sent)) }

// sharesOf counts by region the answers that were right and in time, of arrivals in a span.
func sharesOf(rs []load.Result, from, to time.Duration) (out [regionCount]regionShare) {
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

// between returns how many runs an engine of one region had for callers of others.
func (s *scene) between() (left uint64) {
	for _, n := range s.Nodes {
		for i := range regionCount {
			left += n.Board.Regions.Left(config.NameNumber(regionName(i)))
		}
	}
	return left
}

// TestRegions has one of three regions lack places while the others have some, and checks
// that its callers get nearly what those of the others get, and that those don't pay.
func TestRegions(t *testing.T) {
	const (
		span = 14 * time.Second
		from = 4 * time.Second // what befalls a region has shown by then
		near = 0.05            // of the best region
	)
	cases := []struct {
		name  string
		times [regionCount]float64
		befal func(s *scene)
		least float64 // of the callers of any region
	}{
		{"as usual", [regionCount]float64{1, 1, 1}, func(*scene) {}, 0.97},
		{"three times the load", [regionCount]float64{3, 1, 1}, func(*scene) {}, 0.93},
		{"half of the engines gone", [regionCount]float64{1.6, 1, 1}, func(s *scene) { s.empty(0, 2) }, 0.93},
		{"emptied", [regionCount]float64{1, 1, 1}, func(s *scene) { s.empty(0, 1) }, 0.93},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startRegions(t)
				defer s.end()
				time.Sleep(8 * time.Second)
				before := s.regionBytes()
				tc.befal(s)
				s.results = s.send(regionLoad(7, span, tc.times))
				bytes := float64(s.regionBytes()-before) / span.Seconds() / regionHosts
				shares := sharesOf(s.results, from, span)
				best := 0.0
				for i, r := range shares {
					t.Logf("region %d: %d of %d in time (%.3f)", i, r.good, r.sent, r.part())
					best = max(best, r.part())
				}
				t.Logf("%d requests left their region; control with peers %.0f B/s on each host", s.between(), bytes)
				s.tellRegions(t)
				for i, r := range shares {
					if r.part() < tc.least || r.part() < best-near {
						t.Errorf("region %d: %.3f in time, want %.3f and %.3f of the best at the least", i, r.part(), tc.least, best-near)
					}
				}
				s.judge()
				for _, b := range s.broken {
					t.Error(b)
				}
			})
		})
	}
}

// regionBytes adds up the hosts' traffic with peers.
func (s *scene) regionBytes() uint64 {
	peers, _, _ := s.control()
	return peers
}

// empty has one in n of a region's endpoints leave, and the others stay or come back; of
// 0 none leaves.
func (s *scene) empty(region, n int) {
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

// tellRegions logs how requests ended, and why requests stayed in their region.
func (s *scene) tellRegions(t *testing.T) {
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
	kept := map[string]uint64{}
	for _, n := range s.Nodes {
		for v, c := range n.Board.Regions.Kept() {
			if c > 0 {
				kept[region.Verdict(v).String()] += c
			}
		}
	}
	t.Logf("ends %v; stayed %v", codes, kept)
}
