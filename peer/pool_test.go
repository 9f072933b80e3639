package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/meter"
	"github.com/embercove/embercove/owner"
)

// slowHost answers pings with the given delays, one after the other. The last delay repeats.
type slowHost struct {
	delays []time.Duration
	asked  atomic.Int32
}

// Ping answers after the next delay.
func (s *slowHost) Ping(_ *Nothing, _ *Heartbeat) error {
	i := int(s.asked.Add(1)) - 1
	time.Sleep(s.delays[min(i, len(s.delays)-1)])
	return nil
}

// TestPool checks how calls with late answers end, and how often the peer is dialled: a
// connection is closed only after several unanswered calls in a row.
func TestPool(t *testing.T) {
	const limit = 150 * time.Millisecond
	late, never := 2*limit, time.Hour
	cases := []struct {
		name   string
		delays []time.Duration
		calls  string // results: + answered, - timed out
		dials  int
	}{
		{"prompt", []time.Duration{0}, "+++", 1},
		{"one answer is late, as after a lost packet", []time.Duration{0, late, 0}, "+-++", 1},
		{"two are late", []time.Duration{late, late, 0}, "--+", 2},
		{"late, but not in a row", []time.Duration{late, 0, late, 0}, "-+-+", 1},
		{"never an answer", []time.Duration{never}, "----", 2},
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
				}, new(meter.Traffic), new(meter.PurposeTraffic))
				got := ""
				for range tc.calls {
					err := p.call(context.Background(), "h", methodPing, &Nothing{}, new(Heartbeat), limit)
					switch {
					case err == nil:
						got += "+"
					case errors.Is(err, ErrUnreachable):
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

// queueHost keeps a call waiting as an owner does. It answers pings unless silent is set.
type queueHost struct{ silent time.Duration }

// Ping answers at once, or after an hour if silent is set.
func (q *queueHost) Ping(_ *Nothing, _ *Heartbeat) error {
	if q.silent > 0 {
		time.Sleep(time.Hour)
	}
	return nil
}

// Enqueue answers after two seconds.
func (q *queueHost) Enqueue(_ *Nothing, _ *Nothing) error {
	time.Sleep(2 * time.Second)
	return nil
}

// TestCallWatched checks that a call that waits long isn't mistaken for one to a host that
// doesn't respond, and that the latter is detected soon.
func TestCallWatched(t *testing.T) {
	for _, silent := range []time.Duration{0, time.Second} {
		t.Run(silent.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				srv := rpc.NewServer()
				if err := srv.RegisterName("P", &queueHost{silent: silent}); err != nil {
					t.Fatal(err)
				}
				s := &config.Settings{Host: "a", Domain: "d", Region: "r", Peers: "127.0.0.1:1"}
				s.SetDefaults()
				b := blackboard.New(s)
				dial := func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go srv.ServeConn(far)
					return near, nil
				}
				r := NewRouter(b, owner.New(b, endpoint.NewClient(nil, nil), zap.NewNop()), dial, zap.NewNop())
				began := time.Now()
				err := r.callWatched(context.Background(), blackboard.Host{Peers: "127.0.0.1:2"}, methodEnqueue, &Nothing{}, &Nothing{}, 5*time.Second, r.timeout())
				took := time.Since(began)
				switch {
				case silent == 0 && (err != nil || took < 2*time.Second):
					t.Errorf("%v after %s, want an answer after two seconds", err, took)
				case silent > 0 && (!errors.Is(err, ErrUnreachable) || took > time.Second):
					t.Errorf("%v after %s, want a timeout within a second", err, took)
				}
				r.Close()
				time.Sleep(3 * time.Hour)
			})
		})
	}
}

// TestWriteLimit checks that writing a large answer may take long as long as the reader makes
// progress, and that a write to a peer that stops reading fails.
func TestWriteLimit(t *testing.T) {
	const size = 1 << 20
	cases := []struct {
		name   string
		pause  time.Duration // of the reader, after each chunk
		chunks int           // that the reader reads; 0: all
		ok     bool
	}{
		{"a fast reader", 0, 0, true},
		{"a slow reader", 200 * time.Millisecond, 0, true},
		{"a reader that stops", 0, 10, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				got, end := 0, make(chan struct{})
				go func() {
					defer close(end)
					buf := make([]byte, writeChunkBytes)
					for i := 0; tc.chunks == 0 || i < tc.chunks; i++ {
						n, err := far.Read(buf)
						got += n
						if err != nil {
							return
						}
						time.Sleep(tc.pause)
					}
				}()
				began := time.Now()
				n, err := counted(near, new(meter.Traffic)).Write(make([]byte, size))
				took := time.Since(began)
				near.Close()
				<-end
				if ok := err == nil; ok != tc.ok || ok && n != size || n != got {
					t.Errorf("%d bytes written, %d read, in %s: %v", n, got, took, err)
				}
				if !tc.ok && took > chunkWriteTimeout {
					t.Errorf("the write failed after %s", took)
				}
			})
		})
	}
}

// TestPoolKeepsFew has a host call hundreds of others in turn, as exchanges with random hosts do
// over time, while one call takes long. It guards against keeping an idle connection to every
// host: with 585 hosts they took up to 119 MB, more the longer the hosts ran.
func TestPoolKeepsFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const others = 400
		srv := rpc.NewServer()
		if err := srv.RegisterName("P", &slowHost{delays: []time.Duration{time.Minute, 0}}); err != nil {
			t.Fatal(err)
		}
		var open atomic.Int32
		dial := func(context.Context, string, string) (net.Conn, error) {
			a, b := net.Pipe()
			open.Add(1)
			go func() {
				srv.ServeConn(b)
				open.Add(-1)
			}()
			return a, nil
		}
		p := newPool(dial, new(meter.Traffic), new(meter.PurposeTraffic))
		ping := func(i int, limit time.Duration) error {
			return p.call(context.Background(), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), methodPing, &Nothing{}, new(Heartbeat), limit)
		}
		slow := make(chan error)
		go func() { slow <- ping(0, time.Hour) }()
		synctest.Wait()
		for i := 1; i < others; i++ {
			if err := ping(i, time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		if n := open.Load(); n > maxKeptConns+1 {
			t.Errorf("%d connections are open after calls to %d hosts, want at most %d", n, others, maxKeptConns+1)
		}
		if err := <-slow; err != nil {
			t.Errorf("the running call ended with %v", err)
		}
		if err := ping(1, time.Second); err != nil {
			t.Errorf("call to a host whose connection was closed: %v", err)
		}
		p.close()
		synctest.Wait()
		if n := open.Load(); n > 0 {
			t.Errorf("%d connections are still open", n)
		}
	})
}
