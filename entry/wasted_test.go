package entry

import (
	"syscall"
	"testing"

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
		want        result.Code
	}{
		{"engines are full", &endpoint.CallError{Status: 503}, false, result.NoDecodeMemory},
		{"no engine accepts a connection", &endpoint.CallError{Cause: syscall.ECONNREFUSED}, false, result.NoEndpoint},
		{"another call would exceed the retry budget", &endpoint.CallError{Status: 503}, true, result.RetryBudget},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := &plan{decodeSpec: &config.Endpoint{Name: "d"}}
			if got := asResult(new(Entry).wastedPrefill(new(job), p, tc.err, tc.budgetSpent)); got.Code != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
