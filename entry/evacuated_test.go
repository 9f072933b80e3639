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
