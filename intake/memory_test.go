package intake

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const testLimit = 1 << 20

// testConn is a connection of a test, with the other end of it.
type testConn struct {
	*Conn
	caller net.Conn
}

// open opens a connection of a Memory.
func open(t *testing.T, m *Memory) *testConn {
	t.Helper()
	inner, caller := net.Pipe()
	c := newConn(inner, m, func() {})
	if !m.admit(c) {
		t.Fatal("no room for a connection")
	}
	t.Cleanup(func() {
		c.Close()
		caller.Close()
	})
	return &testConn{c, caller}
}

// begin begins a request with a body that holds some bytes.
func (c *testConn) begin(t *testing.T, holds int) {
	t.Helper()
	c.noteRead()
	if !c.BeginRequest(&http.Request{ContentLength: -1}) || !c.Acquire(holds) {
		t.Fatal("no room for a request")
	}
}

// TestEvicted checks which of two connections is given up for a third, which finds no room.
func TestEvicted(t *testing.T) {
	const half = testLimit * 5 / 16
	arriving := func(t *testing.T, c *testConn) { c.begin(t, half) }
	whole := func(t *testing.T, c *testConn) {
		c.begin(t, half)
		c.BodyArrived()
	}
	writes := func(t *testing.T, c *testConn) {
		whole(t, c)
		go c.Write([]byte("nobody reads this"))
	}
	sends := func(t *testing.T, c *testConn) {
		arriving(t, c)
		go func() {
			for range 4 * slowAfter / stalledAfter {
				c.noteRead()
				time.Sleep(stalledAfter / 2)
			}
		}()
	}
	cases := []struct {
		name          string
		first, second func(t *testing.T, c *testConn)
		after         time.Duration
		evicted       string
	}{
		{"both have just begun", arriving, arriving, stalledAfter / 2, ""},
		{"both are whole", whole, whole, time.Minute, ""},
		{"one stops short", whole, arriving, 2 * stalledAfter, "second"},
		{"one reads nothing", writes, whole, 2 * stalledAfter, "first"},
		{"one still sends", sends, whole, 2 * stalledAfter, ""},
		{"one sends for long", sends, whole, 2 * slowAfter, "first"},
		{"one sends for long, one stops short", sends, arriving, 2 * slowAfter, "second"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := NewMemory()
				m.SetLimit(testLimit)
				first, second, third := open(t, m), open(t, m), open(t, m)
				tc.first(t, first)
				tc.second(t, second)
				time.Sleep(tc.after)
				fits := make(chan bool)
				go func() { fits <- third.Acquire(half) }()
				synctest.Wait()
				evicted := ""
				for name, c := range map[string]*testConn{"first": first, "second": second} {
					if c.IsEvicted() {
						evicted += name
						c.EndRequest()
					}
				}
				if got := <-fits; evicted != tc.evicted || got != (tc.evicted != "") {
					t.Errorf("%q was evicted, and there was room: %v; want %q", evicted, got, tc.evicted)
				}
				if s := m.Status(); s.HeldBytes > testLimit {
					t.Errorf("%d bytes are held, the limit is %d", s.HeldBytes, testLimit)
				}
				first.Close() // ends what is being written
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestEvictedBodyIsInterrupted checks that the reader of an evicted body is woken, and that the body counts as refused even if
// its last byte has come meanwhile.
func TestEvictedBodyIsInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory()
		m.SetLimit(testLimit)
		c := open(t, m)
		c.begin(t, testLimit/2)
		read := make(chan error)
		go func() {
			_, err := c.Read(make([]byte, 1))
			read <- err
		}()
		time.Sleep(2 * stalledAfter)
		if !m.EvictOne() {
			t.Fatal("nothing was evicted")
		}
		if err := <-read; err == nil {
			t.Error("the body was read on")
		}
		if c.BodyArrived() {
			t.Error("a body of an evicted connection counts as arrived")
		}
	})
}

// TestSmallRequestsHaveRoomBesideLargeOnes fills what there is for large holdings.
func TestSmallRequestsHaveRoomBesideLargeOnes(t *testing.T) {
	m := NewMemory()
	m.SetLimit(testLimit)
	first, second := open(t, m), open(t, m)
	if !first.Acquire(2*smallHolding) || !second.Acquire(2*smallHolding) {
		t.Error("no room for two large holdings")
	}
	for first.Acquire(1 << 10) {
	}
	if !open(t, m).Acquire(smallHolding / 2) {
		t.Error("no room for a small holding beside large ones")
	}
}

// TestLargestRequestAloneHasRoom guards against limits that refuse a request which nobody else is in the way of.
func TestLargestRequestAloneHasRoom(t *testing.T) {
	m := NewMemory()
	m.SetLimit(testLimit)
	for range 4 {
		open(t, m)
	}
	c := open(t, m)
	for range 3 {
		if !c.Acquire(testLimit) {
			t.Fatal("no room for the only large request")
		}
	}
	other := open(t, m)
	if other.Acquire(2 * smallHolding) {
		t.Error("room for a second large request")
	}
	if !other.Acquire(smallHolding / 2) {
		t.Error("no room for a small request beside the only large one")
	}
}

// TestHoldingsAreReleased checks that nothing is held for ended requests and closed connections.
func TestHoldingsAreReleased(t *testing.T) {
	m := NewMemory()
	m.SetLimit(testLimit)
	c := open(t, m)
	for range 3 {
		c.begin(t, 1000)
		c.Hold(2000)
		c.Release(500)
		c.EndRequest()
		if got := m.Status().HeldBytes; got != connectionBytes {
			t.Errorf("%d bytes are held after a request, want %d", got, connectionBytes)
		}
	}
	c.begin(t, 1000)
	c.Close()
	c.Close()
	c.EndRequest()
	if s := m.Status(); s.HeldBytes != 0 || s.Connections != 0 {
		t.Errorf("%d bytes are held by %d connections after the last was closed", s.HeldBytes, s.Connections)
	}
}

// TestHeadsAreCounted guards against heads of many fields, which take far more memory than they have bytes.
func TestHeadsAreCounted(t *testing.T) {
	m := NewMemory()
	m.SetLimit(testLimit)
	c := open(t, m)
	head := strings.Repeat("q:\r\n", 1000)
	go fmt.Fprint(c.caller, head)
	for read := 0; read < len(head); {
		n, err := c.Read(make([]byte, 512))
		if err != nil {
			t.Fatal(err)
		}
		read += n
	}
	if got, want := m.Status().HeldBytes, int64(1000*fieldBytes); got < want {
		t.Errorf("%d bytes are held for a head of 1,000 fields, want %d", got, want)
	}
	if !open(t, m).Acquire(2 * smallHolding) {
		t.Fatal("no room for another caller")
	}
	go func() {
		fmt.Fprint(c.caller, strings.Repeat(head, 3))
		c.caller.Close()
	}()
	for {
		n, err := c.Read(make([]byte, 512))
		if err == nil {
			continue
		}
		if timeout, ok := err.(net.Error); n != 0 || !ok || !timeout.Timeout() {
			t.Errorf("%d bytes and %v for a head without room, want a time-out", n, err)
		}
		break
	}
}

// TestRestingConnectionsMakeRoom has as many connections rest as there may be. Another one must be accepted.
func TestRestingConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		var resting []net.Conn
		for range maxTestConnections {
			c, err := s.network.Dialer("callers")(t.Context(), "tcp", serverAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			resting = append(resting, c)
		}
		time.Sleep(2 * restedAfter)
		s.client.Timeout = time.Minute
		if got := s.get(t, s.client); got != http.StatusOK {
			t.Errorf("status %d beside %d connections that rest, want 200", got, len(resting))
		}
		if got := s.gate.Memory.Status().Evicted; got == 0 {
			t.Error("no connection was given up")
		}
	})
}

// TestUnreadAnswersEnd guards against writes that wait for good for a caller that doesn't read.
func TestUnreadAnswersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory()
		c := open(t, m)
		began := time.Now()
		if _, err := c.Write([]byte("nobody reads this")); err == nil {
			t.Error("the write ended without an error")
		}
		if took := time.Since(began); took != writeTimeout || m.Status().Unread != 1 {
			t.Errorf("the write took %v, and %d were counted; want %v and 1", took, m.Status().Unread, writeTimeout)
		}
	})
}
