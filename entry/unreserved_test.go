package entry

import (
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// TestUnreservedRoster has a baseline policy choose endpoints after the roster changed
// since the request arrived, so that they are at other positions in the list. The endpoint
// chosen from the view in use must be called, and none in a failure domain that is
// evacuated in it. If all are evacuated the request is refused with that code.
func TestUnreservedRoster(t *testing.T) {
	cases := []struct {
		name      string
		evacuated []string
		calls     []string
		code      result.Code
	}{
		{"one of two", []string{"b"}, []string{"prefill at prefill-0", "decode at decode-2"}, result.OK},
		{"both", []string{"a", "b"}, nil, result.Evacuated},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, j := newPlacement(t, new(stubOwners), 2, 1)
				s := &leavingScene{t: t, board: e.board, hasLeft: map[string]bool{"prefill-1": true}}
				e.engine, j.reply = s, newPassthrough(httptest.NewRecorder(), writeError)
				if _, err := e.board.Config.Offer(2, []byte(twoDomains)); err != nil {
					t.Fatal(err)
				}
				roster := &config.RosterList{Revision: 2}
				for _, d := range tc.evacuated {
					roster.Evacuated = append(roster.Evacuated, config.Evacuation{Domain: d, Revision: 2})
				}
				for i, name := range []string{"prefill-0", "prefill-1", "decode-2", "another-3"} {
					spec := config.Endpoint{Name: name, Address: "10.0.0." + string("0123"[i]) + ":1", Domain: string("abab"[i]), Pool: "p", Role: config.Prefill, Model: "m", Version: "1"}
					if i >= 2 {
						spec.Role = config.Decode
					}
					roster.Endpoints = append(roster.Endpoints, spec)
				}
				if _, err := e.board.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
					t.Fatal(err)
				}
				e.board.Endpoints.ApplyView(e.board.Config.View())
				err := e.tryUnreserved(t.Context(), j)
				if !slices.Equal(s.callOrder, tc.calls) {
					t.Errorf("called %v, want %v (%v)", s.callOrder, tc.calls, err)
				}
				if (err == nil) != (tc.code == result.OK) || err != nil && asResult(err).Code != tc.code {
					t.Errorf("%v, want code %v", err, tc.code)
				}
			})
		})
	}
}
