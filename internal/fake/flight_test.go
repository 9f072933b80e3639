package fake

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestLinkWindow sends a long message to a host and then a single byte over another connection.
// The byte waits behind what the first connection may have queued. Both arrive whole, although
// their senders close while they are on their way.
func TestLinkWindow(t *testing.T) {
	const rate = 1_000_000 // bytes per second
	long := bytes.Repeat([]byte("0123456789"), 50_000)
	cases := []struct {
		name     string
		window   int // 0: not set
		min, max time.Duration
	}{
		{"default", 0, 0, 2 * linkChunk * time.Second / rate},
		{"64 kB", 64 << 10, 56 << 10 * time.Second / rate, 72 << 10 * time.Second / rate},
		{"longer than the message", 1 << 20, 440 * time.Millisecond, 510 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := NewNetwork()
				n.SetLinkRate("h", rate)
				n.SetLinkWindow(tc.window)
				l := n.Listen("a", "h:1")
				defer l.Close()
				send := func(p []byte) (received chan []byte) {
					received = make(chan []byte, 1)
					go func() {
						c, err := l.Accept()
						if err != nil {
							t.Error(err)
							return
						}
						defer c.Close()
						got, _ := io.ReadAll(c)
						received <- got
					}()
					c, err := n.Dialer("a")(context.Background(), "", "h:1")
					if err != nil {
						t.Fatal(err)
					}
					write(t, c, p)
					return received
				}
				began := time.Now()
				longReceived := send(long)
				time.Sleep(50 * time.Millisecond)
				sent := time.Now()
				if got := <-send([]byte("x")); string(got) != "x" {
					t.Errorf("%q arrived, want the single byte", got)
				}
				if took := time.Since(sent); took < tc.min || took > tc.max {
					t.Errorf("the byte took %s, want %s to %s", took, tc.min, tc.max)
				}
				if got := <-longReceived; !bytes.Equal(got, long) {
					t.Errorf("%d bytes of the long message arrived, want %d in order", len(got), len(long))
				}
				if took := time.Since(began); took < 500*time.Millisecond || took > 510*time.Millisecond {
					t.Errorf("the long message took %s, want 500 ms", took)
				}
			})
		})
	}
}

// write writes a message and closes the connection once its delivery has begun.
func write(t *testing.T, c net.Conn, p []byte) {
	if _, err := c.Write(p); err != nil {
		t.Error(err)
	}
	time.Sleep(time.Millisecond)
	c.Close()
}
