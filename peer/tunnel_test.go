package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/tunnel"
)

// tunnelEnds are two hosts with a tunnel between them, on loopback addresses.
type tunnelEnds struct {
	asking, passing *Router
	gateway         blackboard.Host
	endpoint, other net.Listener
	stop            func() // ends the process of the host that passes on
}

// newTunnelEnds starts a host that passes on connections to one endpoint, and one that asks it to.
func newTunnelEnds(t testing.TB) *tunnelEnds {
	l := listenLoopback(t)
	e := &tunnelEnds{endpoint: listenLoopback(t), other: listenLoopback(t)}
	document := fmt.Sprintf(`{"failure_domains": [{"name": "a", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 40},
		"models": [{"name": "m", "version": "1", "max_tokens": 100, "kv_bytes_per_token": 1}],
		"endpoints": [{"name": "x", "role": "service", "address": %q, "failure_domain": "a", "slots": 4},
			{"name": "y", "role": "service", "address": %q, "failure_domain": "a", "slots": 4}]}`, e.endpoint.Addr(), e.other.Addr())
	view, err := config.NewView(1, []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	e.passing, e.asking = newTunnelRouter("passing", l.Addr().String()), newTunnelRouter("asking", "127.0.0.1:1")
	e.passing.board.Endpoints.ApplyView(view)
	e.gateway = e.passing.board.Hosts.Self()
	e.passing.board.Hosts.Learn(e.asking.board.Hosts.Self(), time.Now())
	e.passing.Tunnels = tunnel.NewGateway(tunnel.NewDialer(e.passing.board, endpoint.DefaultDial(), e.passing, zap.NewNop()))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.passing.Serve(ctx, l)
	}()
	e.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(e.stop)
	return e
}

func newTunnelRouter(name, peers string) *Router {
	b := blackboard.New(&config.Settings{Host: name, Domain: "a", Region: "r", Peers: peers})
	r := NewRouter(b, owner.New(b, endpoint.NewClient(nil, nil), zap.NewNop()), nil, zap.NewNop())
	r.TunnelDial = Dial(endpoint.DefaultDial())
	return r
}

func listenLoopback(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// open asks for a tunnel to the endpoint.
func (e *tunnelEnds) open(ctx context.Context) (net.Conn, tunnel.Reply, error) {
	return e.asking.OpenTunnel(ctx, e.gateway, tunnel.Request{From: e.asking.board.Number, Address: e.endpoint.Addr().String(), Framed: true})
}

// accept opens a tunnel and returns its ends.
func (e *tunnelEnds) accept(t testing.TB) (near, far net.Conn) {
	near, reply, err := e.open(context.Background())
	if err != nil || reply.Code != tunnel.Opened {
		t.Fatalf("no tunnel: %v, %v", reply.Code, err)
	}
	far, err = e.endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

// TestTunnelPassesBytesOn sends more than all buffers hold in both directions.
func TestTunnelPassesBytesOn(t *testing.T) {
	near, far := newTunnelEnds(t).accept(t)
	const size = 3 << 20
	go io.Copy(far, io.LimitReader(far, size)) // echoes
	go near.Write(make([]byte, size))
	if n, err := io.CopyN(io.Discard, near, size); err != nil {
		t.Errorf("%d of %d bytes came back: %v", n, size, err)
	}
}

// TestTunnelEndsAsItsEnds ends a tunnel at one end and checks what the other end reads.
func TestTunnelEndsAsItsEnds(t *testing.T) {
	const text = "the end of an answer"
	t.Run("the endpoint ends its answer", func(t *testing.T) {
		near, far := newTunnelEnds(t).accept(t)
		near.Write([]byte("a request that isn't read"))
		io.CopyN(io.Discard, far, int64(len("a request that isn't read")))
		far.Write([]byte(text))
		far.Close()
		if got, err := io.ReadAll(near); err != nil || string(got) != text {
			t.Errorf("got %q, %v", got, err)
		}
	})
	t.Run("the gateway stops within an answer", func(t *testing.T) { // its end must not look like that of the answer
		e := newTunnelEnds(t)
		near, far := e.accept(t)
		far.Write([]byte(text))
		got := make([]byte, len(text))
		io.ReadFull(near, got)
		e.stop()
		if n, err := near.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("read %d bytes, %v, want a broken connection", n, err)
		}
	})
	t.Run("the endpoint resets the connection", func(t *testing.T) {
		near, far := newTunnelEnds(t).accept(t)
		far.Write([]byte(text))
		io.CopyN(io.Discard, near, int64(len(text)))
		far.(*net.TCPConn).SetLinger(0)
		far.Close()
		if _, err := io.ReadAll(near); err == nil {
			t.Error("an answer that was reset looks complete")
		}
	})
	t.Run("the host closes the connection", func(t *testing.T) {
		near, far := newTunnelEnds(t).accept(t)
		near.Close()
		far.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the endpoint read %v, want the end", err)
		}
	})
	t.Run("the gateway's process ends", func(t *testing.T) {
		e := newTunnelEnds(t)
		near, far := e.accept(t)
		near.Write([]byte(text))
		io.CopyN(io.Discard, far, int64(len(text)))
		e.stop()
		for _, end := range []net.Conn{near, far} {
			end.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := end.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%v stays open: %v", end.LocalAddr(), err)
			}
		}
	})
}

// TestTunnelsRefused checks for what a host opens no tunnel.
func TestTunnelsRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(e *tunnelEnds, q *tunnel.Request)
		want   tunnel.Reply
	}{
		{"a registered endpoint", func(*tunnelEnds, *tunnel.Request) {}, tunnel.Reply{Code: tunnel.Opened}},
		{"an address without an endpoint", func(_ *tunnelEnds, q *tunnel.Request) { q.Address = "127.0.0.1:22" }, tunnel.Reply{Code: tunnel.Unknown}},
		{"an unknown host asks", func(_ *tunnelEnds, q *tunnel.Request) { q.From = 1 }, tunnel.Reply{Code: tunnel.Unknown}},
		{"the host itself asks", func(e *tunnelEnds, q *tunnel.Request) { q.From = e.passing.board.Number }, tunnel.Reply{Code: tunnel.Unknown}},
		{"the endpoint's process is gone", func(e *tunnelEnds, _ *tunnel.Request) { e.endpoint.Close() }, tunnel.Reply{Code: tunnel.Refused}},
		{"the gateway reaches no other endpoint either", func(e *tunnelEnds, _ *tunnel.Request) {
			e.endpoint.Close()
			e.other.Close()
		}, tunnel.Reply{Code: tunnel.Refused, LostPaths: true}},
		{"the gateway leaves", func(e *tunnelEnds, _ *tunnel.Request) { e.passing.board.SetLeaving() }, tunnel.Reply{Code: tunnel.Leaving}},
		{"the gateway has lost its own link", func(e *tunnelEnds, q *tunnel.Request) {
			e.passing.board.Paths.RecordFailure(q.Address, time.Now(), blackboard.PathLost, false)
		}, tunnel.Reply{Code: tunnel.CutOff, LostPaths: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := newTunnelEnds(t)
			q := tunnel.Request{From: e.asking.board.Number, Address: e.endpoint.Addr().String()}
			tc.change(e, &q)
			conn, reply, err := e.asking.OpenTunnel(context.Background(), e.gateway, q)
			if err != nil || reply != tc.want || (conn != nil) != (tc.want.Code == tunnel.Opened) {
				t.Errorf("got %+v, %v, want %+v", reply, err, tc.want)
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
}

// TestTunnelOfOlderVersion asks a host that knows no tunnels.
func TestTunnelOfOlderVersion(t *testing.T) {
	e := newTunnelEnds(t)
	e.passing.Tunnels = nil
	if _, _, err := e.open(context.Background()); !errors.Is(err, tunnel.ErrNotSupported) {
		t.Errorf("got %v, want %v", err, tunnel.ErrNotSupported)
	}
}

// TestEndOverOlderGateways guards against answers that end with a gateway's process and look whole, by way of a host of a version
// that knows no frames.
func TestEndOverOlderGateways(t *testing.T) {
	const text = "half of an answer"
	for _, ends := range []string{"endpoint", "gateway"} {
		e := newTunnelEnds(t)
		near, reply, err := e.asking.OpenTunnel(context.Background(), e.gateway, tunnel.Request{From: e.asking.board.Number, Address: e.endpoint.Addr().String()})
		if err != nil || reply.Code != tunnel.Opened {
			t.Fatalf("no tunnel: %v, %v", reply.Code, err)
		}
		defer near.Close()
		far, err := e.endpoint.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		far.Write([]byte(text))
		got := make([]byte, len(text))
		io.ReadFull(near, got)
		if ends == "gateway" {
			e.stop()
		} else {
			far.Close()
		}
		if n, err := near.Read(make([]byte, 1)); err == nil || err == io.EOF || string(got) != text {
			t.Errorf("the %s ends: got %q, then %d bytes, %v, want a broken connection", ends, got, n, err)
		}
	}
}

// TestTunnelBesideCalls makes an ordinary call to a host that passes on connections.
func TestTunnelBesideCalls(t *testing.T) {
	e := newTunnelEnds(t)
	near, _ := e.accept(t)
	defer near.Close()
	c, err := rpc.Dial("tcp", e.gateway.Peers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.Call(methodPing, &Nothing{}, new(Heartbeat)); err != nil {
		t.Error(err)
	}
	if err := c.Call("P.NoSuchMethod", &Nothing{}, new(Heartbeat)); err == nil || !strings.Contains(err.Error(), "can't find") {
		t.Errorf("an unknown method: %v", err)
	}
}

// TestResetDuringUploadIsNoEndOfTunnel guards against an answer that an endpoint resets, and that looks whole by way of another
// host: a write of what the endpoint is sent is told of the reset there in place of the read.
func TestResetDuringUploadIsNoEndOfTunnel(t *testing.T) {
	const plays = 150
	e := newTunnelEnds(t)
	upload, whole := make([]byte, 8<<20), 0
	for range plays {
		near, far := e.accept(t)
		go func() { _, _ = near.Write(upload) }()
		if _, err := io.ReadFull(far, make([]byte, 4<<10)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(far, "a part")
		time.Sleep(time.Millisecond)
		_ = far.(*net.TCPConn).SetLinger(0)
		far.Close()
		if _, err := io.ReadAll(near); err == nil {
			whole++
		}
		near.Close()
	}
	if whole > 0 {
		t.Errorf("%d of %d answers that were reset count as whole", whole, plays)
	}
}
