package peer

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// scarceListener fails as one of a process without descriptors does, some times.
type scarceListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServesAfterDescriptorsRanOut guards against a process that ends because it has no descriptor for another host's connection.
func TestServesAfterDescriptorsRanOut(t *testing.T) {
	l := listenLoopback(t)
	passing, asking := newTunnelRouter("passing", l.Addr().String()), newTunnelRouter("asking", "127.0.0.1:1")
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- passing.Serve(ctx, &scarceListener{l, 3}) }()
	if err := asking.pool.call(ctx, l.Addr().String(), methodPing, &Nothing{}, new(Heartbeat), 10*time.Second); err != nil {
		t.Errorf("no answer: %v", err)
	}
	cancel()
	if err := <-served; err != nil {
		t.Errorf("the listener ended with %v", err)
	}
}
