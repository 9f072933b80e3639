package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/request"
)

// Callers whose requests were under suspicion had them refused for lack of decode memory, half a
// minute after engines had ended under others, though engines were free. A trial is had before
// engines are chosen. As the request came to its decode engine another suspect ran there, and it
// moved on, and left that engine out for good; so with the next, until all were left out, while
// the first ones were free again. The evidence: in 4 of 240 runs of TestServedAfterMany one of 20
// got code 301, after its prompt was read, with six engines of which five at the most could be
// closed to it at any moment.

// trialScene is a pool whose engines are closed to a request under suspicion for some asks.
type trialScene struct {
	*leavingScene
	closed int // asks for a trial at a decode engine that find another suspect there
}

func (s *trialScene) Trial(_ context.Context, a quarantine.Ask) quarantine.Reply {
	reply := quarantine.Reply{Verdict: quarantine.Suspect, Granted: true}
	if a.Endpoint != 0 && a.Stage == quarantine.Running && s.closed > 0 {
		s.closed--
		reply.Granted, reply.Elsewhere = false, true
	}
	return reply
}

// TestClosedInTurn has each decode engine be closed to a request under suspicion as it comes to
// it, and free again afterwards. The request is served.
func TestClosedInTurn(t *testing.T) {
	for closed := range 4 {
		synctest.Test(t, func(t *testing.T) {
			s := &trialScene{leavingScene: homesScene(t, "", ""), closed: closed}
			e := New(s.board, s, s, report.NewRecorder(), zap.NewNop())
			v := s.board.Config.View()
			j := promptedJob(e, v, v.Teams["t"])
			j.asks = request.Fingerprint{1}
			now := clock.Now()
			run := s.board.Suspects.Begin(j.asks, quarantine.Running, 0)
			s.board.Suspects.Ended([]quarantine.Run{run}, quarantine.ProcessOf("10.0.0.9:1", 1), "d9", now)
			if err := s.board.Requests.Begin(blackboard.Request{ID: j.id, Team: "t"}, 0, 0); err != nil {
				t.Fatal(err)
			}
			j.out = newPassage(httptest.NewRecorder(), writeError)
			if refusal := e.run(t.Context(), j); refusal != nil {
				t.Errorf("closed for %d asks: %v (%s)", closed, refusal, strings.Join(s.order, ", "))
			}
		})
	}
}
