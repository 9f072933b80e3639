package entry

import (
	"context"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/route"
)

// TestChosenEndpointOutsideNewRegions checks that an endpoint that was chosen for a request isn't
// called once the request's regions no longer include the endpoint's.
func TestChosenEndpointOutsideNewRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTwoRegionScene(t, `"r"`, "")
		e := New(s.board, s, s, report.NewRecorder(), zap.NewNop())
		v := s.board.Config.View()
		j, chosen := promptedJob(e, v, v.Teams["t"]), v.Endpoint("d1")
		if b := e.ineligibleReason(j, chosen); b != route.ReasonNone {
			t.Errorf("d1 is ineligible before the change: %v", b)
		}
		s.offerDocument(2, `"s"`, "")
		if b := e.ineligibleReason(j, chosen); b != route.ReasonRegionNotAllowed {
			t.Errorf("reason %v, want %v", b, route.ReasonRegionNotAllowed)
		}
	})
}

// TestEndedConnectCountsAsTimeout checks that an attempt to connect that the watchdog ended counts
// against the failure domain, and a call that was sent doesn't.
func TestEndedConnectCountsAsTimeout(t *testing.T) {
	spec := &config.Endpoint{Name: "p", Address: "127.0.0.1:1"}
	for _, tc := range []struct {
		name string
		err  error
		want bool
	}{
		{"while it connected", &endpoint.CallError{Address: spec.Address, Cause: context.Canceled}, true},
		{"after it was sent", &endpoint.CallError{Address: spec.Address, MayHaveRun: true, Cause: context.Canceled}, false},
	} {
		if got := endpoint.ConnectTimedOut(endedSilent(spec, tc.err, new(stallError))); got != tc.want {
			t.Errorf("%s: timed out %t, want %t", tc.name, got, tc.want)
		}
	}
}
