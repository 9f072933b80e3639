package entry

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/internal/fake"
)

// TestUnreadBodiesEndTheirConnections guards against connections that stay open for good since net/http awaits a body that the
// handler doesn't read.
func TestUnreadBodiesEndTheirConnections(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		synctest.Test(t, func(t *testing.T) {
			network := fake.NewNetwork()
			srv := NewServer(http.NotFoundHandler(), 4096)
			go srv.Serve(network.Listen("a", "10.1.0.1:80"))
			defer srv.Close()
			c, err := network.Dialer("callers")(t.Context(), "tcp", "10.1.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", framing)
			_ = c.SetReadDeadline(time.Now().Add(time.Minute))
			if _, err := io.Copy(io.Discard, c); err != nil {
				t.Errorf("%s: %v, want the end of the connection", framing, err)
			}
		})
	}
}
