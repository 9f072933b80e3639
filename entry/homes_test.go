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

// twoRegionDocument restricts a route and a team to regions. Domain a is in region r, as is the
// host, and b in s.
const twoRegionDocument = `{"failure_domains": [{"name": "a", "region": "r", "link_bytes_per_second": 1000000000}, {"name": "b", "region": "s", "link_bytes_per_second": 1000000000}],
	"targets": {"ttft_ms": 900, "tpot_ms": 10}, "models": [{"name": "m", "version": "1", "max_tokens": 10000, "kv_bytes_per_token": 1000}],
	"pools": [{"name": "p", "memory_tokens": 50000, "slots": 10, "link_bytes_per_second": 1000000000}],
	"teams": [{"name": "t", "regions": [%[2]s]}],
	"routes": [{"name": "x", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}], "regions": [%[1]s]}]}`

// newTwoRegionScene returns a leavingScene with endpoints in two regions: p1 and d1 in the
// host's, p2 and d2 in the other.
func newTwoRegionScene(t *testing.T, routeRegions, teamRegions string) *leavingScene {
	settings := &config.Settings{Host: "h", Domain: "a", Region: "r"}
	settings.SetDefaults()
	s := &leavingScene{t: t, board: blackboard.New(settings), hasLeft: map[string]bool{}, leaveAt: map[string]bool{}, inDomainB: map[string]bool{"p2": true, "d2": true}}
	s.offerDocument(1, routeRegions, teamRegions)
	s.publish()
	return s
}

// offerDocument publishes a document with other regions.
func (s *leavingScene) offerDocument(revision uint64, routeRegions, teamRegions string) {
	if _, err := s.board.Config.Offer(revision, fmt.Appendf(nil, twoRegionDocument, routeRegions, teamRegions)); err != nil {
		s.t.Fatal(err)
	}
	s.board.Endpoints.ApplyView(s.board.Config.View())
}

// runTwoRegions runs one request of team t, and returns its refusal and its calls.
func (s *leavingScene) runTwoRegions() (*result.Error, []string) {
	e := New(s.board, s, s, report.NewRecorder(), zap.NewNop())
	v := s.board.Config.View()
	j := promptedJob(e, v, v.Teams["t"])
	j.reply = newPassthrough(httptest.NewRecorder(), writeError)
	refusal := e.run(s.t.Context(), j)
	return refusal, slices.DeleteFunc(s.callOrder, func(c string) bool { return strings.HasPrefix(c, "reserve") })
}

// TestHomes checks that a request is prefilled and decoded only in its allowed regions: in
// its own region if that is allowed, else in another. If none is reachable it is refused at
// once.
func TestHomes(t *testing.T) {
	for _, tc := range []struct {
		name, route, team string
		hasLeft           []string
		want              []string // calls; nil: refused
	}{
		{"any region", "", "", nil, []string{"prefill at p1", "decode at d1"}},
		{"own region only", `"r"`, "", nil, []string{"prefill at p1", "decode at d1"}},
		{"the route to another", `"s"`, "", nil, []string{"prefill at p2", "decode at d2"}},
		{"the team to another", "", `"s"`, nil, []string{"prefill at p2", "decode at d2"}},
		{"both to another", `"r", "s"`, `"s"`, nil, []string{"prefill at p2", "decode at d2"}},
		{"both, to none in common", `"r"`, `"s"`, nil, nil},
		{"own region only, all have left there", `"r"`, "", []string{"p1", "d1"}, nil},
		{"another region only, all have left there", `"s"`, "", []string{"p2", "d2"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTwoRegionScene(t, tc.route, tc.team)
				for _, name := range tc.hasLeft {
					s.hasLeft[name] = true
				}
				s.publish()
				began := time.Now()
				refusal, calls := s.runTwoRegions()
				if !slices.Equal(calls, tc.want) {
					t.Errorf("calls %v, want %v (%v)", calls, tc.want, refusal)
				}
				if tc.want == nil && tc.hasLeft == nil && refusal != nil && refusal.Code != result.NoHome {
					t.Errorf("refused as %v", refusal)
				}
				if tc.want == nil && (refusal == nil || !refusal.NotRun() || refusal.RetryAfter == 0 || time.Since(began) > 0) {
					t.Errorf("%v after %v, want a refusal at once, with a retry time", refusal, time.Since(began))
				}
				if tc.want != nil && refusal != nil {
					t.Error(refusal)
				}
			})
		})
	}
}

// TestHomesChange checks that a request which waits while the allowed regions of its route
// change follows the new ones: it isn't sent where it may no longer be served.
func TestHomesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTwoRegionScene(t, `"r"`, "")
		s.onEnqueue = func() { s.offerDocument(2, `"s"`, "") }
		refusal, calls := s.runTwoRegions()
		if want := []string{"prefill at p2", "decode at d2"}; refusal != nil || !slices.Equal(calls, want) {
			t.Errorf("calls %v, want %v (%v)", calls, want, refusal)
		}
	})
}
