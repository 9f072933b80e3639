package entry

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/result"
)

// TestEmptiedMeanwhile has the failure domain be emptied of an endpoint at which a request
// waits, for its turn, for its prompt or for room: it is served by the other domain. What
// was read in the emptied one is still fetched from there, and not read again. Where both
// are emptied it is refused at once, without having run.
func TestEmptiedMeanwhile(t *testing.T) {
	cases := []struct {
		name   string
		leaves []string
		full   int
		ahead  bool // owners know of it, this host doesn't
		reads  int
		code   result.Code
	}{
		{"nothing is emptied", nil, 0, false, 1, result.OK},
		{"as its turn comes", []string{atTurn}, 0, false, 1, result.OK},
		{"as the prompt is read", []string{atReading}, 0, false, 1, result.OK},
		{"as the decode engine is full", []string{atFull}, 1, false, 1, result.OK},
		{"as its turn comes, told by its owner", []string{atTurn}, 0, true, 1, result.OK},
		{"both, as its turn comes and as the prompt is read", []string{atTurn, atReading}, 0, false, 1, result.Evacuated},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &leavingScene{full: tc.full, empty: true, ahead: tc.ahead}
				began := time.Now()
				refusal, body := s.run(t, tc.leaves)
				reads := 0
				for _, call := range s.order {
					if slices.Contains([]string{"read at p1", "read at p2"}, call) {
						reads++
					}
				}
				if reads != tc.reads || time.Since(began) > time.Second {
					t.Errorf("%d prompts read, want %d, in %v, after %v", reads, tc.reads, time.Since(began), s.order)
				}
				switch {
				case tc.code == result.OK && (refusal != nil || body != "data: x\n\n"):
					t.Errorf("%v, body %q, after %v", refusal, body, s.order)
				case tc.code != result.OK && (refusal == nil || refusal.Code != tc.code || refusal.RetryAfter == 0):
					t.Errorf("%v (%+v), want code %v and a time to come back, after %v", refusal, refusal, tc.code, s.order)
				}
			})
		})
	}
}

// TestEmptiedTurns has owners refuse turns and room as their engines are being emptied,
// beside other refusals, and states whether a request is placed, or what it is told.
func TestEmptiedTurns(t *testing.T) {
	gone, late := result.Evacuated, result.TooLate
	cases := []struct {
		name              string
		turns, rooms      []result.Code
		prefills, decodes int
		roomIn            int
		code              result.Code
	}{
		{"one engine is emptied", []result.Code{gone}, nil, 2, 1, 0, result.OK},
		{"one has no turn, then one is emptied", []result.Code{late, gone}, nil, 2, 1, 0, late},
		{"one is emptied, then one has no turn", []result.Code{gone, late}, nil, 2, 1, 0, late},
		{"one that was to write is emptied", nil, []result.Code{gone}, 1, 2, 0, result.OK},
		{"it is emptied as a later turn is asked for", []result.Code{result.OK, gone}, nil, 2, 1, 900, result.OK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stub := &stubOwners{turns: tc.turns, rooms: tc.rooms, roomIn: tc.roomIn}
				e, j := placing(t, stub, tc.prefills, tc.decodes)
				_, err := e.place(t.Context(), j)
				if (err == nil) != (tc.code == result.OK) || err != nil && asResult(err).Code != tc.code {
					t.Errorf("%v, want code %v; asked %v", err, tc.code, stub.asked)
				}
			})
		})
	}
}

// TestNowhere has engines emptied, and states what a request is told that was refused by
// the others or finds none.
func TestNowhere(t *testing.T) {
	cases := []struct {
		name    string
		emptied []string // of p1, d1 and d3 in domain a, p2 and d2 in b
		turns   []result.Code
		code    result.Code
	}{
		{"all", []string{"a", "b"}, nil, result.Evacuated},
		{"one of two, and the other's owner knows nothing of it", []string{"a"}, []result.Code{result.NoEndpoint}, result.NoEndpoint},
		{"one of two, and the other has no turn", []string{"a"}, []result.Code{result.TooLate}, result.TooLate},
		{"none, and neither is known to its owner", nil, []result.Code{result.NoEndpoint, result.NoEndpoint}, result.NoEndpoint},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &leavingScene{empty: true, more: []string{"d3"}, stubOwners: stubOwners{turns: tc.turns}}
				s.emptied = tc.emptied
				if refusal, _ := s.run(t, nil); refusal == nil || refusal.Code != tc.code {
					t.Errorf("%v, want code %v; asked %v", refusal, tc.code, s.asked)
				}
			})
		})
	}
}
