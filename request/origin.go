package request

import (
	"net/http"
	"net/url"
)

// Origin is a caller's request as it came, for protocols that pass it on
// unchanged.
type Origin struct {
	ID     string // the caller's own name for this try; empty if it gave none
	Method string
	URL    *url.URL // path and query
	Host   string
	Header http.Header // without what concerns one connection only
	Body   []byte
}
