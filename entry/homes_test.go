package entry

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
)

// homesDocument binds a route and a team to regions. Domain a lies in region r, where
// the host stands, and b in s.
const homesDocument = `{"failure_domains": [{"name": "a", "region": "r", "link_bytes_per_second": 1000000000}, {"name": "b", "region": "s", "link_bytes_per_second": 1000000000}],
	"targets": {"ttft_ms": 900, "tpot_ms": 10}, "models": [{"name": "m", "version": "1", "max_tokens": 10000, "kv_bytes_per_token": 1000}],
	"pools": [{"name": "p", "memory_tokens": 50000, "slots": 10, "link_bytes_per_second": 1000000000}],
	"teams": [{"name": "t", "regions": [%[2]s]}],
	"routes": [{"name": "x", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}], "regions": [%[1]s]}]}`

// homesScene is a leavingScene with endpoints in two regions: p1 and d1 in that of the
// host, p2 and d2 in the other.
func homesScene(t *testing.T, routeRegions, teamRegions string) *leavingScene {
	settings := &config.Settings{Host: "h", Domain: "a", Region: "r"}
	settings.SetDefaults()
	s := &leavingScene{t: t, board: blackboard.New(settings), left: map[string]bool{}, leaves: map[string]bool{}, far: map[string]bool{"p2": true, "d2": true}}
	s.offer(1, routeRegions, teamRegions)
	s.publish()
	return s
}

// offer publishes a document with other regions.
func (s *leavingScene) offer(revision uint64, routeRegions, teamRegions string) {
	if _, err := s.board.Config.Offer(revision, fmt.Appendf(nil, homesDocument, routeRegions, teamRegions)); err != nil {
		s.t.Fatal(err)
	}
	s.board.Endpoints.Fit(s.board.Config.View())
}

// homesRun carries one request of team t through, and returns its refusal and its calls.
func (s *leavingScene) homesRun() (*result.Error, []string) {
	e := New(s.board, s, s, report.NewRecorder(), zap.NewNop())
	v := s.board.Config.View()
	j := promptedJob(e, v, v.Teams["t"])
	j.out = newPassage(httptest.NewRecorder(), writeError)
	refusal := e.run(s.t.Context(), j)
	return refusal, slices.DeleteFunc(s.order, func(c string) bool { return strings.HasPrefix(c, "reserve") })
}

// TestHomes checks that a request is read and written in its homes alone: in the own
// region if it is one, else in another. With none in reach it is refused at once.
func TestHomes(t *testing.T) {
	for _, tc := range []struct {
		name, route, team string
		left              []string
		want              []string // calls; nil: refused
	}{
		{"bound to nothing", "", "", nil, []string{"read at p1", "write at d1"}},
		{"bound to the own region", `"r"`, "", nil, []string{"read at p1", "write at d1"}},
		{"the route to another", `"s"`, "", nil, []string{"read at p2", "write at d2"}},
		{"the team to another", "", `"s"`, nil, []string{"read at p2", "write at d2"}},
		{"both to another", `"r", "s"`, `"s"`, nil, []string{"read at p2", "write at d2"}},
		{"both, to none in common", `"r"`, `"s"`, nil, nil},
		{"bound to the own region, all gone there", `"r"`, "", []string{"p1", "d1"}, nil},
		{"bound to another, all gone there", `"s"`, "", []string{"p2", "d2"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := homesScene(t, tc.route, tc.team)
				for _, name := range tc.left {
					s.left[name] = true
				}
				s.publish()
				began := time.Now()
				refusal, calls := s.homesRun()
				if !slices.Equal(calls, tc.want) {
					t.Errorf("calls %v, want %v (%v)", calls, tc.want, refusal)
				}
				if tc.want == nil && tc.left == nil && refusal != nil && refusal.Code != result.NoHome {
					t.Errorf("refused as %v", refusal)
				}
				if tc.want == nil && (refusal == nil || !refusal.NotRun() || refusal.RetryAfter == 0 || time.Since(began) > 0) {
					t.Errorf("%v after %v, want a refusal at once, with when to come back", refusal, time.Since(began))
				}
				if tc.want != nil && refusal != nil {
					t.Error(refusal)
				}
			})
		})
	}
}

// TestHomesChange checks that a request which waits while the regions of its route
// change goes by those in force: it isn't sent where it may no longer be served.
func TestHomesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := homesScene(t, `"r"`, "")
		s.turned = func() { s.offer(2, `"s"`, "") }
		refusal, calls := s.homesRun()
		if want := []string{"read at p2", "write at d2"}; refusal != nil || !slices.Equal(calls, want) {
			t.Errorf("calls %v, want %v (%v)", calls, want, refusal)
		}
	})
}
