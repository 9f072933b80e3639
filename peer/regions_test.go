package peer

import (
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/route"
)

const regionsDocument = `{"failure_domains": [{"name": "a", "region": "north"}, {"name": "b", "region": "south"}, {"name": "c", "region": "west"}],
"targets": {"ttft_ms": 900, "tpot_ms": 10}, "teams": [{"name": "red", "quota": {"rate": 100, "burst": 100}}],
"models": [{"name": "m", "version": "1", "max_tokens": 1000, "kv_bytes_per_token": 1}], "endpoints": [
{"name": "p", "address": "127.0.0.1:1", "failure_domain": "a", "role": "prefill", "model": "m", "tokens_per_second": 1000},
{"name": "d", "address": "127.0.0.1:2", "failure_domain": "a", "role": "decode", "model": "m", "memory_tokens": 1000, "slots": 10, "step_micros": 100, "link_bytes_per_second": 1000}]}`

// regionsHost returns a host of a failure domain that knows one host of each other domain.
func regionsHost(t *testing.T, document, domain, name string) *Router {
	t.Helper()
	s := &config.Settings{Host: domain, Domain: domain, Region: name, Peers: "127.0.0.1:1"}
	s.SetDefaults()
	b := blackboard.New(s)
	if _, err := b.Config.Offer(7, []byte(document)); err != nil {
		t.Fatal(err)
	}
	v := b.Config.View()
	b.Endpoints.ApplyView(v)
	now := time.Now()
	for _, d := range v.Doc.Domains {
		b.Hosts.Learn(blackboard.Host{Name: d.Name, Number: request.HostNumber(d.Name), Domain: d.Name, Region: d.Region, Incarnation: 1, Heartbeat: 1, Peers: "127.0.0.1:2"}, now)
	}
	b.Endpoints.Learn(route.Digest{Number: route.Number("p")}, now)
	b.Endpoints.Learn(route.Digest{Number: route.Number("d"), FreeTokens: 900, FreeSlots: 9}, now)
	return NewRouter(b, owner.New(b, endpoint.NewClient(nil, nil), zap.NewNop()), nil, zap.NewNop())
}

// TestSummaries has a host send the summary of its region to a host of another region. That one
// must forward it within its own region but not back, and must not replace newer data by older.
func TestSummaries(t *testing.T) {
	now := time.Now()
	north, south := regionsHost(t, regionsDocument, "a", "north"), regionsHost(t, regionsDocument, "b", "south")
	n, pool := config.NameNumber("north"), region.PoolNumber("", "m")
	sent := north.summaries(now, "south")
	if len(sent) == 0 || len(sent) > 16 {
		t.Fatalf("the summary of one pool takes %d B, want 1 to 16", len(sent))
	}
	if err := south.learnSummaries(sent, now); err != nil {
		t.Fatal(err)
	}
	row := south.board.Regions.Find(n, pool, now)
	if !row.Known || row.Capacity == 0 {
		t.Fatalf("learned %+v", row)
	}
	south.board.Regions.Learn(region.Summary{Region: n, Pool: pool, AgeMillis: 3000}, now)
	if got := south.board.Regions.Find(n, pool, now); got.Capacity != row.Capacity {
		t.Errorf("older data replaced newer: %+v", got)
	}
	if relayed := south.summaries(now, "south"); len(relayed) != len(sent) {
		t.Errorf("forwards %d B in its region, want %d", len(relayed), len(sent))
	}
	if back := south.summaries(now, "north"); len(back) != 0 {
		t.Errorf("sends %d B of other regions to another region", len(back))
	}
	if err := south.learnSummaries([]byte{1, 2, 3}, now); err == nil {
		t.Error("damaged summaries were accepted")
	}
	later := now.Add(time.Minute)
	if relayed := south.summaries(later, "south"); len(relayed) != 0 || south.board.Regions.Find(n, pool, later).Known {
		t.Error("a summary is still used after a minute")
	}
}

// TestOneRegionTellsNothing checks that a deployment with one region sends no region summaries.
func TestOneRegionTellsNothing(t *testing.T) {
	one := strings.NewReplacer(`"south"`, `"north"`, `"west"`, `"north"`).Replace(regionsDocument)
	r := regionsHost(t, one, "a", "north")
	r.board.Regions.Learn(region.Summary{Region: 7, Pool: 7, Capacity: 7}, time.Now())
	for _, to := range []string{"north", "other"} {
		if a := r.buildExchange(sendOptions{to: HostIdentity{Domain: "b", Region: to}}); a.Regions != nil {
			t.Errorf("sends %d B of region summaries", len(a.Regions))
		}
	}
}

// TestReachOfAllRegions checks that the holders of a team's limit also report to those of other
// regions. Otherwise each region would admit the whole limit.
func TestReachOfAllRegions(t *testing.T) {
	now := time.Now()
	r := regionsHost(t, regionsDocument, "b", "south")
	if got := r.reach(now, config.NameNumber("red")).Domains; !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("settles with the holders in %v, want a and c, which are in other regions", got)
	}
}
