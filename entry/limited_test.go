package entry

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// serviceBoard returns a board with a plain service of the given number of endpoints: s0,
// s1 and so on.
func serviceBoard(t *testing.T, endpoints int) *blackboard.Board {
	t.Helper()
	settings := &config.Settings{Host: "h", Domain: "a", Region: "r"}
	settings.SetDefaults()
	b := blackboard.New(settings)
	if _, err := b.Config.Offer(1, []byte(serviceDocument)); err != nil {
		t.Fatal(err)
	}
	roster := &config.RosterList{Revision: 1}
	for i := range endpoints {
		roster.Endpoints = append(roster.Endpoints, config.Endpoint{Name: fmt.Sprint("s", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "a", Pool: "web", Role: config.Service})
	}
	if _, err := b.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
		t.Fatal(err)
	}
	b.Endpoints.ApplyView(b.Config.View())
	return b
}

// TestNoStartNoTry has a service of eight endpoints, most or all of which name a limit that
// is used up. Detecting that must not use up tries: the call is made where there is a
// permit, or refused at once with the earliest time at which there is one.
func TestNoStartNoTry(t *testing.T) {
	const endpoints = 8
	none := peer.Permit{Delay: 700 * time.Millisecond, ReturnAfter: 900 * time.Millisecond}
	for _, tc := range []struct {
		name    string
		without int // endpoints that have no permit
		code    result.Code
	}{
		{"the last one has one", endpoints - 1, 0},
		{"none has one", endpoints, result.Limited},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := serviceBoard(t, endpoints)
				v := b.Config.View()
				for i := range endpoints {
					b.Endpoints.ObserveLimit(route.Number(fmt.Sprint("s", i)), clock.Now(), pace.Report{Named: true, PerSecond: 1, At: clock.Now()})
				}
				s := &coldScene{leavingScene: &leavingScene{t: t, board: b}}
				for range tc.without {
					s.permits = append(s.permits, none)
				}
				e := New(b, serviceEngine{s}, s, report.NewRecorder(), zap.NewNop())
				j := e.newJob(v, v.RouteFor("h", "/x"), headers{team: defaultTeam})
				j.pool, j.work, j.reply = "web", &endpoint.Work{}, newPassthrough(httptest.NewRecorder(), writeError)
				began := time.Now()
				refusal := e.runService(t.Context(), j)
				if took := time.Since(began); took > 100*time.Millisecond {
					t.Errorf("it took %v", took)
				}
				if tc.code == 0 {
					if refusal != nil || !strings.HasPrefix(s.callOrder[len(s.callOrder)-1], "call ") {
						t.Errorf("refused with %v after %v", refusal, s.callOrder)
					}
					return
				}
				if refusal == nil || refusal.Code != tc.code || !refusal.NotRun() || refusal.RetryAfter < none.Delay || refusal.RetryAfter > none.ReturnAfter {
					t.Errorf("refused with %+v, want %s", refusal, tc.code)
				}
				next := e.newJob(v, v.RouteFor("h", "/x"), headers{team: defaultTeam})
				next.pool, next.work, next.reply = "web", &endpoint.Work{}, newPassthrough(httptest.NewRecorder(), writeError)
				asked := len(s.callOrder)
				if again := e.runService(t.Context(), next); again == nil || again.Code != tc.code || len(s.callOrder) != asked {
					t.Errorf("the next call: %v after %v, want it refused without a request for a permit", again, s.callOrder[asked:])
				}
			})
		})
	}
}
