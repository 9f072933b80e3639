package endpoint

import (
	"context"
	"net"
	"testing"
)

// TestConnectingEnded ends an attempt to connect before and after the endpoint accepts it. The call
// may use the connection only in the latter case, and an attempt that was ended connects to nothing.
func TestConnectingEnded(t *testing.T) {
	for _, tc := range []struct {
		name        string
		endsFirst   bool
		wantConnect bool
	}{
		{"before it is accepted", true, false},
		{"after it was accepted", false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			connected := 0
			c := NewConnecting(func(Connected) { connected++ })
			near, far := net.Pipe()
			defer far.Close()
			dial := WatchedDial(func(context.Context, string, string) (net.Conn, error) {
				if tc.endsFirst && !c.End(ErrGivenUp) {
					t.Error("End reports that there is a connection")
				}
				return near, nil
			})
			call := &Call{Connecting: c}
			conn, err := dial(call.ConnectContext(context.Background()), "tcp", "127.0.0.1:1")
			if (err == nil) != tc.wantConnect {
				t.Fatalf("dial returned %v, %v", conn, err)
			}
			if !tc.endsFirst && c.End(ErrGivenUp) {
				t.Error("End reports that there is no connection")
			}
			if (connected == 1) != tc.wantConnect {
				t.Errorf("the connection was reported %d times", connected)
			}
		})
	}
}

// TestConnectingEndsDial ends an attempt whose dial doesn't return by itself.
func TestConnectingEndsDial(t *testing.T) {
	c := NewConnecting(func(Connected) { t.Error("a connection was reported") })
	dial := WatchedDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		go c.End(ErrGivenUp)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	call := &Call{Connecting: c}
	if _, err := dial(call.ConnectContext(context.Background()), "tcp", "127.0.0.1:1"); err == nil {
		t.Error("the dial succeeded")
	}
}
