package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"

	"github.com/embercove/embercove/request"
)

// flakyServer answers the first call on each connection, and closes the connection without
// an answer after reading the second. It counts calls.
type flakyServer struct {
	mu    sync.Mutex
	calls int
}

func (f *flakyServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for first := true; ; first = false {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				io.Copy(io.Discard, q.Body)
				f.mu.Lock()
				f.calls++
				f.mu.Unlock()
				if !first {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			}
		}()
	}
}

// TestNoResend checks that net/http doesn't resend a call by itself when its connection
// breaks. On a reused connection it would do so for a GET without a body, and for a body
// that it can read again.
func TestNoResend(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			f := new(flakyServer)
			go f.serve(l)
			c := NewClient(nil, nil)
			defer c.CloseIdle()
			call := Call{Address: l.Addr().String(), Attempt: "1-1-1.1"}
			body := []byte("notice")
			if method == "GET" {
				body = nil
			}
			work := &Work{Origin: &request.Origin{Method: method, URL: &url.URL{Path: "/x"}, Header: http.Header{"Idempotency-Key": {"k"}}, Body: body}}
			res, err := c.Service(context.Background(), call, work)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
			_, err = c.Service(context.Background(), call, work)
			if !MayHaveRun(err) {
				t.Errorf("err %v: want an error after which the call may have run", err)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.calls != 2 {
				t.Errorf("%d calls arrived, want 2", f.calls)
			}
		})
	}
}

// TestStream reads streams that end in different ways.
func TestStream(t *testing.T) {
	chunk := func(id string) string { return `data: {"id": "` + id + `", "choices": [{"text": "a"}]}` + "\n\n" }
	cases := []struct {
		name, src string
		chunks    int
		err       string
	}{
		{"whole", chunk("1") + "data: [DONE]\n\n", 1, "EOF"},
		{"no end marker", chunk("1"), 1, "unexpected EOF"},
		{"half a line", chunk("1") + "data: {", 1, "unexpected EOF"},
		{"another's chunk", chunk("1") + chunk("2"), 1, "another attempt"},
		{"not JSON", "data: {]\n", 0, "chunk: invalid"},
		{"comments", ": ping\n\n" + chunk("1") + "data: [DONE]\n", 1, "EOF"},
		{"a long line", "data: " + `{"id": "1", "choices": [{"text": "` + strings.Repeat("b", 20_000) + `"}]}` + "\n\ndata: [DONE]\n", 1, "EOF"},
		{"too long a line", "data: " + strings.Repeat("b", maxEvent+8192), 0, "too long"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &tokenStream{attempt: "1", body: io.NopCloser(strings.NewReader("")), r: bufio.NewReaderSize(strings.NewReader(tc.src), 4096)}
			n := 0
			var err error
			for err == nil {
				if _, err = s.Next(); err == nil {
					n++
				}
			}
			if n != tc.chunks || !strings.Contains(err.Error(), tc.err) {
				t.Errorf("%d chunks and %v, want %d and %q", n, err, tc.chunks, tc.err)
			}
		})
	}
}
