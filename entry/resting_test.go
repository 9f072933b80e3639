package entry

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// TestRestBack has the endpoints of a service ask for backoffs, some longer than others, or
// leave. A call must be refused at once with the time at which the first one accepts
// requests again, and without using up a try.
func TestRestBack(t *testing.T) {
	const leaves = -1
	for _, tc := range []struct {
		name       string
		backoffs   []time.Duration // leaves: the endpoint leaves
		code       result.Code
		retryAfter time.Duration
	}{
		{"all back off", []time.Duration{5 * time.Second, 3 * time.Second, 4 * time.Second}, result.Resting, 3 * time.Second},
		{"one backs off, most leave", []time.Duration{leaves, 2 * time.Second, leaves}, result.Resting, 2 * time.Second},
		{"all leave", []time.Duration{leaves, leaves}, result.NoEndpoint, time.Second},
		{"one is free", []time.Duration{leaves, 3 * time.Second, 0}, result.OK, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := serviceBoard(t, len(tc.backoffs))
				v := b.Config.View()
				for i, backoff := range tc.backoffs {
					b.Endpoints.ObserveNotice(route.Number(fmt.Sprint("s", i)), route.Notice{Leaving: backoff == leaves, Backoff: max(0, backoff), ReceivedAt: time.Now()})
				}
				s := &coldScene{leavingScene: &leavingScene{t: t, board: b}}
				e := New(b, serviceEngine{s}, s, report.NewRecorder(), zap.NewNop())
				j := e.newJob(v, v.RouteFor("h", "/x"), headers{team: defaultTeam})
				j.pool, j.work, j.reply = "web", &endpoint.Work{}, newPassthrough(httptest.NewRecorder(), writeError)
				began := time.Now()
				refusal := e.runService(t.Context(), j)
				if took := time.Since(began); took > 0 {
					t.Errorf("it took %v", took)
				}
				if tc.code == result.OK {
					if refusal != nil || s.callOrder[len(s.callOrder)-1] != "call s2" {
						t.Errorf("refused with %v after %v", refusal, s.callOrder)
					}
					return
				}
				const probe = 100 * time.Millisecond
				if refusal == nil || refusal.Code != tc.code || !refusal.NotRun() || refusal.RetryAfter < tc.retryAfter || refusal.RetryAfter > tc.retryAfter+probe || len(s.callOrder) > 0 {
					t.Errorf("refused with %+v after %v, want %s and %v", refusal, s.callOrder, tc.code, tc.retryAfter)
				}
			})
		})
	}
}
