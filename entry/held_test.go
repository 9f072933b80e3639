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

// heldScene looks, as an answer begins to be written, whether the attempt that had its
// prompt read still counts as held: its result is kept until the answer takes it.
type heldScene struct {
	*leavingScene
	read request.Attempt
	held []bool // at each call to write
}

func (h *heldScene) Prefill(ctx context.Context, c endpoint.Call, w *endpoint.Work) (*endpoint.PrefillAnswer, error) {
	h.read, _ = request.ParseAttempt(c.Attempt)
	return h.leavingScene.Prefill(ctx, c, w)
}

func (h *heldScene) Decode(ctx context.Context, c endpoint.Call, w *endpoint.Work) (endpoint.Stream, error) {
	h.held = append(h.held, h.board.Requests.Holds(h.read))
	return h.leavingScene.Decode(ctx, c, w)
}

// TestResultHeld checks that the owner of a prefill engine, which frees what no holder
// claims, is not told that a result is nobody's while its answer is still to begin.
func TestResultHeld(t *testing.T) {
	for _, full := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			h := &heldScene{leavingScene: homesScene(t, "", "")}
			h.full = full
			e := New(h.board, h, h, report.NewRecorder(), zap.NewNop())
			v := h.board.Config.View()
			j := promptedJob(e, v, v.Teams["t"])
			if err := h.board.Requests.Begin(blackboard.Request{ID: j.id, Team: "t"}, 0, 0); err != nil {
				t.Fatal(err)
			}
			j.out = newPassage(httptest.NewRecorder(), writeError)
			if refusal := e.run(t.Context(), j); refusal != nil {
				t.Fatal(refusal)
			}
			if len(h.held) != full+1 {
				t.Errorf("%d calls to write, want %d", len(h.held), full+1)
			}
			for i, held := range h.held {
				if !held {
					t.Errorf("call %d to write: the attempt that read is not held", i)
				}
			}
		})
	}
}
