package request

import (
	"net/http"
	"net/url"
)

// Origin is a caller's request as received, for protocols that forward it unchanged.
type Origin struct {
	ID     string // the caller's own id of this try; empty: none
	Method string
	URL    *url.URL // path and query
	Host   string
	Header http.Header // without hop-by-hop headers
	Body   []byte
}
