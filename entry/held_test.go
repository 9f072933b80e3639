package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/request"
)

// attemptRecorder records at each decode call whether the prefill attempt still counts as
// held: its result is kept until the decode engine fetches it.
type attemptRecorder struct {
	*leavingScene
	prefillAttempt request.Attempt
	held           []bool // at each decode call
}

func (h *attemptRecorder) Prefill(ctx context.Context, c endpoint.Call, w *endpoint.Work) (*endpoint.PrefillAnswer, error) {
	h.prefillAttempt, _ = request.ParseAttempt(c.Attempt)
	return h.leavingScene.Prefill(ctx, c, w)
}

func (h *attemptRecorder) Decode(ctx context.Context, c endpoint.Call, w *endpoint.Work) (endpoint.Stream, error) {
	h.held = append(h.held, h.board.Requests.IsOpen(h.prefillAttempt))
	return h.leavingScene.Decode(ctx, c, w)
}

// TestResultHeld checks that a prefill attempt stays open until its answer begins. The
// owner of a prefill engine frees results that no holder claims, so a result closed too
// early would be lost.
func TestResultHeld(t *testing.T) {
	for _, full := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			h := &attemptRecorder{leavingScene: newTwoRegionScene(t, "", "")}
			h.fullCalls = full
			e := New(h.board, h, h, report.NewRecorder(), zap.NewNop())
			v := h.board.Config.View()
			j := promptedJob(e, v, v.Teams["t"])
			if err := h.board.Requests.Begin(blackboard.Request{ID: j.id, Team: "t"}, 0, 0); err != nil {
				t.Fatal(err)
			}
			j.reply = newPassthrough(httptest.NewRecorder(), writeError)
			if refusal := e.run(t.Context(), j); refusal != nil {
				t.Fatal(refusal)
			}
			if len(h.held) != full+1 {
				t.Errorf("%d decode calls, want %d", len(h.held), full+1)
			}
			for i, held := range h.held {
				if !held {
					t.Errorf("decode call %d: the prefill attempt is not held", i)
				}
			}
		})
	}
}
