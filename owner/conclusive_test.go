package owner

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
)

// TestPollConclusive checks which failed polls say something of the endpoint, and not of this host.
func TestPollConclusive(t *testing.T) {
	cases := []struct {
		name         string
		err          error
		othersAnswer bool
		reached      bool // another endpoint was, during the poll
		want         bool
	}{
		{"refused", syscall.ECONNREFUSED, false, false, true},
		{"answered with a failure", &endpoint.CallError{Status: 500}, false, false, true},
		{"nobody reaches it, unconfirmed", &endpoint.NoPathError{}, true, true, false},
		{"nobody reaches it, confirmed", &endpoint.NoPathError{Confirmed: true}, false, false, true},
		{"silent", os.ErrDeadlineExceeded, true, true, true},
		{"silent, and other hosts are too", os.ErrDeadlineExceeded, false, true, false},
		{"silent, and other endpoints are too", os.ErrDeadlineExceeded, true, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := blackboard.New(&config.Settings{Host: "h"})
			began := time.Now()
			if tc.reached {
				b.Paths.RecordDirect("10.0.0.2:80", began, time.Millisecond)
			}
			sched := &Scheduler{spec: &config.Endpoint{Address: "10.0.0.1:80"}}
			o := &Owner{board: b}
			if got := o.isConclusive(context.Background(), sched, tc.err, tc.othersAnswer, began); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
