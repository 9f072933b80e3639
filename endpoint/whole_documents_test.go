package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/embercove/embercove/request"
)

// documentDial connects to an endpoint that sends an answer and closes its connection.
func documentDial(answer string) Dial {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if q, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = io.WriteString(far, answer)
			}
		}()
		return near, nil
	}
}

// TestDocumentsThatArentWhole guards against reports, lists and prefill answers that are relied on though their end is missing, or
// more follows.
func TestDocumentsThatArentWhole(t *testing.T) {
	work := &Work{Origin: &request.Origin{Method: "GET", URL: &url.URL{Path: "/"}, Header: http.Header{}}}
	calls := []struct {
		name, document string
		do             func(ctx context.Context, c *Client) error
	}{
		{"report", `{"engine":"x"}`, func(ctx context.Context, c *Client) error { _, err := c.State(ctx, "10.0.0.1:80"); return err }},
		{"list", `{"requests":[]}`, func(ctx context.Context, c *Client) error { _, err := c.Requests(ctx, "10.0.0.1:80"); return err }},
		{"cache", `{"first":1,"next":1}`, func(ctx context.Context, c *Client) error { _, err := c.CacheEvents(ctx, "10.0.0.1:80", 1); return err }},
		{"prefill", `{"id":"a","kv_transfer_params":{}}`, func(ctx context.Context, c *Client) error {
			_, err := c.Prefill(ctx, Call{Address: "10.0.0.1:80", Attempt: "a"}, work)
			return err
		}},
	}
	answers := []struct {
		name   string
		answer func(document string) string
		whole  bool
	}{
		{"with a length", func(d string) string { return sized(200, len(d), d) }, true},
		{"without a length", func(d string) string { return "HTTP/1.1 200 OK\r\n\r\n" + d }, true},
		{"shorter than its length", func(d string) string { return sized(200, len(d)+1, d) }, false},
		{"followed by another", func(d string) string { return sized(200, 2*len(d), d+d) }, false},
		{"null", func(string) string { return sized(200, 4, "null") }, false},
	}
	for _, call := range calls {
		for _, a := range answers {
			t.Run(call.name+"/"+a.name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				if err := call.do(ctx, NewClient(documentDial(a.answer(call.document)), nil)); a.whole != (err == nil) {
					t.Errorf("error %v of an answer that is whole: %v", err, a.whole)
				}
			})
		}
	}
}

// TestCutRefusalsPromiseNothing guards against a request that may have run and counts as not run by an answer that broke off.
func TestCutRefusalsPromiseNothing(t *testing.T) {
	const refusal = `{"error":"full","not_run":true}`
	for missing, mayHaveRun := range []bool{false, true} {
		c := NewClient(documentDial(sized(503, len(refusal)+missing, refusal)), nil)
		work := &Work{Origin: &request.Origin{Method: "GET", URL: &url.URL{Path: "/"}, Header: http.Header{}}}
		_, err := c.Service(t.Context(), Call{Address: "10.0.0.1:80", Attempt: "a"}, work)
		if err == nil || MayHaveRun(err) != mayHaveRun || !strings.Contains(err.Error(), "full") {
			t.Errorf("%d bytes are missing: %v", missing, err)
		}
	}
}

func sized(status, length int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, length, body)
}
