package entry

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/result"
)

// TestWastedPrefillNamesCause checks the code of a request whose prompt was prefilled and that no
// decode engine took.
func TestWastedPrefillNamesCause(t *testing.T) {
	cases := []struct {
		name        string
		err         error
		budgetSpent bool
		noPath      bool // neither this host nor another one reaches the engine
		want        result.Code
		detail      string // part of it
	}{
		{"engines are full", &endpoint.CallError{Status: 503}, false, false, result.NoDecodeMemory, "no decode memory"},
		{"no engine accepts a connection", &endpoint.CallError{Cause: syscall.ECONNREFUSED}, false, false, result.NoEndpoint, "d accepted no connection"},
		{"nobody reaches an engine", &endpoint.CallError{Cause: syscall.ECONNREFUSED}, false, true, result.NoEndpoint, "neither this host nor another one reaches d"},
		{"another call would exceed the retry budget", &endpoint.CallError{Status: 503}, true, false, result.RetryBudget, "retry budget"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := &plan{decodeSpec: &config.Endpoint{Name: "d", Address: "10.0.0.1:80"}}
			e := &Entry{board: blackboard.New(&config.Settings{Host: "h"})}
			if tc.noPath {
				e.board.Paths.RecordFailure(p.decodeSpec.Address, time.Now(), blackboard.PathNone, true)
			}
			got := asResult(e.wastedPrefill(new(job), p, tc.err, tc.budgetSpent))
			if got.Code != tc.want || !strings.Contains(got.Detail, tc.detail) {
				t.Errorf("%v, want %v with %q", got, tc.want, tc.detail)
			}
		})
	}
}
