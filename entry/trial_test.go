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

// Suspected requests were refused for lack of decode memory, half a minute after engines had
// crashed under other requests, although engines were free. Such a request gets its probe
// before its engines are chosen. If another suspected request runs at its decode engine when
// it arrives there, it moves on and excludes that engine. The same happened at the next
// engines until all were excluded, while the first ones were free again. In 4 of 240 runs of
// TestServedAfterMany one of 20 requests got code 301 after its prefill, with six engines of
// which at most five could be busy with other suspected requests at any time.

// probeScene is a pool whose decode engines are busy with another suspected request at the
// first busyProbes requests for a probe there.
type probeScene struct {
	*leavingScene
	busyProbes int // requests for a probe that are still to be refused
}

func (s *probeScene) AcquireProbe(_ context.Context, a quarantine.Ask) quarantine.Reply {
	reply := quarantine.Reply{Verdict: quarantine.Suspect, Granted: true}
	if a.Endpoint != 0 && a.Stage == quarantine.Running && s.busyProbes > 0 {
		s.busyProbes--
		reply.Granted, reply.Elsewhere = false, true
	}
	return reply
}

// TestClosedInTurn checks that a suspected request is served if each decode engine runs
// another suspected request when it arrives there and is free again afterwards.
func TestClosedInTurn(t *testing.T) {
	for busyProbes := range 4 {
		synctest.Test(t, func(t *testing.T) {
			s := &probeScene{leavingScene: newTwoRegionScene(t, "", ""), busyProbes: busyProbes}
			e := New(s.board, s, s, report.NewRecorder(), zap.NewNop())
			v := s.board.Config.View()
			j := promptedJob(e, v, v.Teams["t"])
			j.fingerprint = request.Fingerprint{1}
			now := clock.Now()
			run := s.board.Suspects.Begin(j.fingerprint, quarantine.Running, 0)
			s.board.Suspects.RecordCrash([]quarantine.Run{run}, quarantine.ProcessOf("10.0.0.9:1", 1), "d9", now)
			if err := s.board.Requests.Begin(blackboard.Request{ID: j.id, Team: "t"}, 0, 0); err != nil {
				t.Fatal(err)
			}
			j.reply = newPassthrough(httptest.NewRecorder(), writeError)
			if refusal := e.run(t.Context(), j); refusal != nil {
				t.Errorf("busy for %d probes: %v (%s)", busyProbes, refusal, strings.Join(s.callOrder, ", "))
			}
		})
	}
}
