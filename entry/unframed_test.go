package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/result"
)

// brokenBody is a body that breaks off.
type brokenBody struct{ io.Reader }

// Read implements io.Reader.
func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestBrokenAnswersToCallersWithoutChunks guards against half an answer that looks whole to a caller of HTTP/1.0, for whom the end
// of the connection is that of the answer.
func TestBrokenAnswersToCallersWithoutChunks(t *testing.T) {
	const text = "the first half;"
	cases := []struct {
		name    string
		streams bool
		breaks  bool
		stops   bool // the server stops within the answer
	}{
		{"whole", false, false, false},
		{"a whole stream", true, false, false},
		{"broken off", false, true, false},
		{"a stream that is broken off", true, true, false},
		{"a stream whose host stops", true, false, true},
	}
	for _, tc := range cases {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(tc.name+" over HTTP/"+version, func(t *testing.T) {
				gate, written, stopped := intake.NewGate(), make(chan struct{}), make(chan struct{})
				l, err := intake.NewListener(gate, 10, func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") })
				if err != nil {
					t.Fatal(err)
				}
				srv := NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
					p := newPassthroughTo(w, q, writeError)
					var body io.Reader = strings.NewReader(text)
					switch {
					case tc.breaks:
						body = brokenBody{body}
					case tc.stops:
						body = io.MultiReader(body, readerFunc(func([]byte) (int, error) {
							close(written)
							<-stopped
							return 0, io.ErrUnexpectedEOF
						}))
					}
					a := &endpoint.Answer{AnswerHead: endpoint.AnswerHead{Status: http.StatusOK, Header: http.Header{}}, Length: -1, Streams: tc.streams, Body: io.NopCloser(body)}
					if p.sendWhole(a) != nil {
						p.fail(result.Errorf(result.AnswerBroken, "broken off"))
					}
					p.end()
				}), 4096)
				arrivals := intake.NewArrivals(gate)
				srv.ConnContext, srv.ConnState = arrivals.ConnContext, arrivals.ConnState
				go srv.Serve(l)
				defer srv.Close()
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: h\r\nConnection: close\r\n\r\n", version)
				if tc.stops {
					<-written
					srv.Close()
					defer close(stopped)
				}
				got, err := io.ReadAll(c)
				ends := err == nil && (version == "1.0" || strings.HasSuffix(string(got), "0\r\n\r\n") || strings.Contains(string(got), "Content-Length: 15"))
				if whole := !tc.breaks && !tc.stops; ends != whole {
					t.Errorf("read %q, %v; want a whole answer %v", got, err, whole)
				}
				if !tc.breaks && !tc.stops && !strings.Contains(string(got), text) {
					t.Errorf("read %q", got)
				}
			})
		}
	}
}

// readerFunc is a function as an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
