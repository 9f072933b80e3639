package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/meter"
)

// slowHost answers pings late: by the delays in turn, the last one again and
// again.
type slowHost struct {
	delays []time.Duration
	asked  atomic.Int32
}

// Ping is the method of a host that is asked for a sign of life.
func (s *slowHost) Ping(_ *Nothing, _ *Beat) error {
	i := int(s.asked.Add(1)) - 1
	time.Sleep(s.delays[min(i, len(s.delays)-1)])
	return nil
}

// TestPool states how calls end whose answers are late, and how often the peer
// is dialled: a connection is given up only when it seems to be dead.
func TestPool(t *testing.T) {
	const limit = 150 * time.Millisecond
	late, never := 2*limit, time.Hour
	cases := []struct {
		name   string
		delays []time.Duration
		calls  string // how each ends: + answered, - out of reach
		dials  int
	}{
		{"prompt", []time.Duration{0}, "+++", 1},
		{"one answer is late, as after a lost packet", []time.Duration{0, late, 0}, "+-++", 1},
		{"two are late", []time.Duration{late, late, 0}, "--+", 2},
		{"late, but not one after the other", []time.Duration{late, 0, late, 0}, "-+-+", 1},
		{"nothing is ever answered", []time.Duration{never}, "----", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				host := &slowHost{delays: tc.delays}
				srv := rpc.NewServer()
				if err := srv.RegisterName("P", host); err != nil {
					t.Fatal(err)
				}
				dials := 0
				p := newPool(func(context.Context, string, string) (net.Conn, error) {
					dials++
					near, far := net.Pipe()
					go srv.ServeConn(far)
					return near, nil
				}, new(meter.Traffic))
				got := ""
				for range tc.calls {
					err := p.call(context.Background(), "h", methodPing, &Nothing{}, new(Beat), limit)
					switch {
					case err == nil:
						got += "+"
					case errors.Is(err, ErrOutOfReach):
						got += "-"
					default:
						got += "?"
					}
				}
				p.close()
				if got != tc.calls || dials != tc.dials {
					t.Errorf("calls %s over %d connections, want %s over %d", got, dials, tc.calls, tc.dials)
				}
				time.Sleep(2 * never)
			})
		})
	}
}
