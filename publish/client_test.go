package publish_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/internal/fake"
	"github.com/embercove/embercove/publish"
)

// TestSlowDocument downloads a document over a link on which that takes longer than the time
// limit for an answer to begin. The download must not be cut off while it makes progress.
func TestSlowDocument(t *testing.T) {
	const rate = 50_000 // bytes per second: 20 s for the document
	synctest.Test(t, func(t *testing.T) {
		net := fake.NewNetwork()
		net.SetLinkRate("10.0.0.1", rate)
		text := strings.Repeat("x", 1_000_000)
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			json.NewEncoder(w).Encode(publish.Revision{Revision: 7, Document: text})
		})}
		go srv.Serve(net.Listen("platform", "10.9.0.1:80"))
		c := publish.NewClient("10.9.0.1:80", net.HostDialer("a", "10.0.0.1"))
		began := time.Now()
		r, err := c.Config(context.Background(), 3, time.Second)
		if err != nil || r == nil || r.Revision != 7 || r.Document != text {
			t.Errorf("after %s: %v", time.Since(began), err)
		}
		c.Close()
		srv.Close()
		time.Sleep(time.Minute)
	})
}

// TestDocumentsThatArentWhole guards against revisions and lists of hosts that are relied on though their end is missing.
func TestDocumentsThatArentWhole(t *testing.T) {
	const document = `{"revision":2,"document":"{}"}`
	for missing, whole := range []bool{true, false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(len(document)+missing))
			_, _ = io.WriteString(w, document)
		}))
		_, err := publish.NewClient(strings.TrimPrefix(srv.URL, "http://"), nil).Config(t.Context(), 1, time.Second)
		srv.Close()
		if whole != (err == nil) {
			t.Errorf("%d bytes are missing: error %v", missing, err)
		}
	}
}
