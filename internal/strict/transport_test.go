package strict

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// serve answers the calls on each connection with some answers in turn, and then closes it.
func serve(t *testing.T, answers ...string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerInTurn(conn, answers)
		}
	}()
	return l.Addr().String()
}

func answerInTurn(conn net.Conn, answers []string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for _, a := range answers {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, a)
	}
}

// call makes a call and reads its answer to the end.
func call(hc *http.Client, address string) (string, error) {
	res, err := hc.Post("http://"+address, "", nil)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

func newTestClient() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	return NewClient(&http.Transport{DialContext: dial, MaxResponseHeaderBytes: 64 << 10})
}

// TestSoundAnswersAreWhole guards against checks that are stricter than HTTP/1.
func TestSoundAnswersAreWhole(t *testing.T) {
	answers := map[string]string{
		"a length":               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"the same length twice":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=1\r\ndy\r\n0\r\n\r\n",
		"chunks and a trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n4\r\nbody\r\n0\r\nX-End: 1\r\n\r\n",
		"no length":              "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\n\r\nbody",
		"no reason":              "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody",
		"interim answers":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"blanks around a value":  "HTTP/1.1 200 OK\r\nContent-Length:  4 \r\nX-Odd:\t1\t\r\n\r\nbody",
		"an empty value":         "HTTP/1.1 200 OK\r\nX-Empty:\r\nContent-Length: 4\r\n\r\nbody",
		"all bytes of names":     "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 4\r\n\r\nbody",
		"blanks in a value":      "HTTP/1.1 200 OK\r\nX-Odd: a b: c\r\nContent-Length: 4\r\n\r\nbody",
		"line feeds alone":       "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
		"a long head":            "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", 60<<10) + "\r\nContent-Length: 4\r\n\r\nbody",
		"the highest status":     "HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\nbody",
		"a redirect":             "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 4\r\n\r\nbody",
		"another case of a name": "HTTP/1.1 200 OK\r\ncontent-LENGTH: 4\r\n\r\nbody",
	}
	for name, a := range answers {
		t.Run(name, func(t *testing.T) {
			if got, err := call(newTestClient(), serve(t, a)); err != nil || got != "body" {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// TestAnswersOnKeptConnectionsAreChecked guards against checks of a connection's first answer alone, or of what belongs to the one
// before.
func TestAnswersOnKeptConnectionsAreChecked(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Odd: 1\r\nContent-Length: 4\r\n\r\nbody"
	const odd = "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 4\r\n\r\nbody"
	address, hc := serve(t, sound, sound, odd), newTestClient()
	for range 2 {
		if got, err := call(hc, address); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if got, err := call(hc, address); !IsMalformed(err) {
		t.Errorf("%q, %v, want a malformed answer", got, err)
	}
	if got, err := call(hc, address); err != nil || got != "body" {
		t.Errorf("%q, %v on a new connection", got, err)
	}
}

// TestMalformedAnswersLeaveNoConnection guards against connections that stay open for good after an answer that isn't passed on.
func TestMalformedAnswersLeaveNoConnection(t *testing.T) {
	for name, a := range map[string]string{
		"no status":        "HTTP/1.1 000 Trouble\r\n\r\n",
		"another protocol": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"an odd name":      "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 4\r\n\r\nbody",
		"two ends":         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			hc := NewClient(&http.Transport{MaxResponseHeaderBytes: 64 << 10, DialContext: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
			ended := make(chan error, 1)
			go func() {
				r := bufio.NewReader(far)
				if _, err := http.ReadRequest(r); err != nil {
					ended <- err
					return
				}
				_, _ = io.WriteString(far, a)
				_, err := r.ReadByte() // returns once the connection is closed
				ended <- err
			}()
			if got, err := call(hc, "10.0.0.1:80"); !IsMalformed(err) {
				t.Errorf("%q, %v, want a malformed answer", got, err)
			}
			if err := <-ended; err != io.EOF {
				t.Errorf("the connection ended with %v, want %v", err, io.EOF)
			}
		})
	}
}
