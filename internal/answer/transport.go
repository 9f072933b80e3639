// Package answer makes calls over HTTP whose answers are passed on or relied on only if they are whole and well-formed.
package answer

import (
	"net/http"

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

// Transport is an http.Transport whose calls fail for malformed answers, some of which net/http lets pass.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	if err := checkStatusLine(res); err != nil {
		res.Body.Close()
		return nil, err
	}
	return res, nil
}
