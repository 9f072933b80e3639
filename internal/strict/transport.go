// Package strict makes calls over HTTP whose answers are passed on or relied on only if they are whole and well-formed.
package strict

import (
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// MalformedError is an answer that isn't one of HTTP/1.
type MalformedError struct{ Reason string }

// Error implements the error interface.
func (e *MalformedError) Error() string { return "malformed answer: " + e.Reason }

// IsMalformed reports whether a call failed for a malformed answer.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

// Transport makes calls that fail for malformed answers, some of which net/http lets pass.
type Transport struct{ *http.Transport }

// NewTransport returns a transport of these settings, which must have DialContext and MaxResponseHeaderBytes.
func NewTransport(settings *http.Transport) Transport {
	settings.DialContext = recordHeads(settings.DialContext)
	return Transport{settings}
}

// NewClient returns a client over a transport of these settings. It follows no redirect, as an answer stands for the address that was
// called.
func NewClient(settings *http.Transport) *http.Client {
	return &http.Client{
		Transport:     NewTransport(settings),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	var conn *recorder
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn = i.Conn.(*recorder)
		conn.start(int(t.MaxResponseHeaderBytes))
	}}
	res, err := t.Transport.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		return nil, err
	}
	record := conn.stop()
	if err = checkStatusLine(res); err == nil {
		err = checkHeads(record)
	}
	if err != nil {
		res.Body.Close()
		return nil, err
	}
	if len(res.TransferEncoding) > 0 {
		res.Body = &chunkedBody{res.Body, res}
	}
	return res, nil
}

// chunkedBody is a body whose trailer is checked at its end.
type chunkedBody struct {
	io.ReadCloser
	res *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := checkNames(b.res.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}
