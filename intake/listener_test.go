package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/internal/fake"
)

// server is an HTTP server behind a gate.
type server struct {
	gate    *Gate
	network *fake.Network
	client  *http.Client
}

const (
	serverAddress      = "10.1.0.1:80"
	maxTestConnections = 100
)

func startServer(t *testing.T) *server {
	s := &server{gate: NewGate(), network: fake.NewNetwork()}
	l, err := NewListener(s.gate, maxTestConnections, func() (net.Listener, error) { return s.network.Listen("a", serverAddress), nil })
	if err != nil {
		t.Fatal(err)
	}
	arrivals := NewArrivals(s.gate)
	srv := &http.Server{ConnContext: arrivals.ConnContext, ConnState: arrivals.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		place := s.gate.PlaceOf(q.Context())
		if !place.Acquire(false) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.Copy(io.Discard, q.Body)
		place.Release()
	})}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("callers")}}
	t.Cleanup(s.client.CloseIdleConnections)
	return s
}

// get sends a request, and returns its status; 0: the connection was refused.
func (s *server) get(t *testing.T, client *http.Client) int {
	res, err := client.Get("http://" + serverAddress)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// TestListener has a gate shut and open. New connections are refused meanwhile, open ones serve on.
func TestListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		fresh := &http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("callers"), DisableKeepAlives: true}}
		for round := range 5 {
			if got := s.get(t, s.client); got != http.StatusOK {
				t.Errorf("round %d: status %d before, want 200", round, got)
			}
			s.gate.set(true, time.Second)
			synctest.Wait()
			if got := s.get(t, fresh); got != 0 {
				t.Errorf("round %d: status %d on a new connection of a shut gate, want none", round, got)
			}
			if got := s.get(t, s.client); got != http.StatusServiceUnavailable {
				t.Errorf("round %d: status %d on an open connection of a shut gate, want 503", round, got)
			}
			s.gate.set(false, 0)
			synctest.Wait()
			if got := s.get(t, fresh); got != http.StatusOK {
				t.Errorf("round %d: status %d on a new connection, want 200", round, got)
			}
		}
		time.Sleep(2 * idleAfter)
		if n := s.gate.Arriving(); n != 0 {
			t.Errorf("%d requests arrive at the end", n)
		}
	})
}

// TestPlaces has callers connect that send nothing. They hold a place for idleAfter, and a request later needs one.
func TestPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		c, err := s.network.Dialer("callers")(context.Background(), "tcp", serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		synctest.Wait()
		if n := s.gate.Arriving(); n != 1 {
			t.Errorf("%d requests arrive, want 1", n)
		}
		time.Sleep(idleAfter + time.Millisecond)
		if n := s.gate.Arriving(); n != 0 {
			t.Errorf("%d requests arrive after %v, want 0", n, idleAfter)
		}
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		if n := s.gate.Arriving(); n != 1 {
			t.Errorf("%d requests arrive, want that of the open connection", n)
		}
		if _, err := io.WriteString(c, "cde"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		if n := s.gate.Arriving(); n != 0 {
			t.Errorf("%d requests arrive after the whole body, want 0", n)
		}
	})
}

// TestListenAnewFails has listening anew fail for a while, or for good.
func TestListenAnewFails(t *testing.T) {
	cases := []struct {
		name   string
		fails  time.Duration
		serves bool
	}{
		{"for a while", 100 * time.Millisecond, true},
		{"for good", time.Hour, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, network := NewGate(), fake.NewNetwork()
				worksFrom := time.Now()
				l, err := NewListener(g, 100, func() (net.Listener, error) {
					if time.Now().Before(worksFrom) {
						return nil, errors.New("address in use")
					}
					return network.Listen("a", serverAddress), nil
				})
				if err != nil {
					t.Fatal(err)
				}
				accepted := make(chan error, 1)
				go func() {
					c, err := l.Accept()
					if err == nil {
						defer c.Close()
					}
					accepted <- err
				}()
				g.set(true, time.Second)
				worksFrom = time.Now().Add(tc.fails)
				g.set(false, 0)
				time.Sleep(2 * relistenTimeout)
				if tc.serves {
					c, err := network.Dialer("callers")(context.Background(), "tcp", serverAddress)
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
				}
				if err := <-accepted; (err == nil) != tc.serves {
					t.Errorf("Accept returned %v", err)
				}
				l.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestMaxConnections guards against a listener that has more open connections than its limit, or never accepts one again after it.
func TestMaxConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fake.NewNetwork()
		l, err := NewListener(NewGate(), 2, func() (net.Listener, error) { return network.Listen("a", serverAddress), nil })
		if err != nil {
			t.Fatal(err)
		}
		accepted := make(chan net.Conn, 10)
		ended := make(chan error, 1)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					ended <- err
					return
				}
				accepted <- c
			}
		}()
		callers := make(chan net.Conn, 4)
		for range 4 {
			go func() {
				if c, err := network.Dialer("callers")(context.Background(), "tcp", serverAddress); err == nil {
					callers <- c
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		if n := len(accepted); n != 2 {
			t.Errorf("%d connections are open, want 2", n)
		}
		for want := range 2 {
			c := <-accepted
			c.Close()
			c.Close() // a server closes some twice
			time.Sleep(100 * time.Millisecond)
			if n := len(accepted); n != 2 {
				t.Errorf("%d connections after %d have ended, want 2", n, want+1)
			}
		}
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Errorf("a closed listener returns %v", err)
		}
		for range 2 {
			(<-accepted).Close()
		}
		for range 4 {
			(<-callers).Close()
		}
	})
}
