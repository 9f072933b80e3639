package endpoint

import (
	"io"

	"github.com/embercove/embercove/internal/strict"
)

// Bounds of what is read of an endpoint's answers, in bytes. An endpoint in trouble may send without end, in a head or a
// body, until its caller closes.
const (
	// MaxHead bounds the head of an answer.
	MaxHead = 64 << 10
	// MaxReply bounds an answer that isn't passed on to a caller.
	MaxReply = 512 << 10
	// MaxIdle bounds what a stream brings without an event.
	MaxIdle = 64 << 10
	// MaxUnsized bounds the body of an answer that states no length.
	MaxUnsized = 8 << 20
)

// BoundBody returns a body that fails with strict.ErrTooLong if it is of unknown length and longer than MaxUnsized.
func BoundBody(body io.ReadCloser, length int64) io.ReadCloser {
	if length >= 0 {
		return body
	}
	return struct {
		io.Reader
		io.Closer
	}{&strict.Bounded{Reader: body, Left: MaxUnsized}, body}
}
