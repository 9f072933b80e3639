package entry

import (
	"bytes"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/endpoint"
)

// maxBuffered is the largest body that is held until it is whole, so that one that breaks
// off can be requested from another endpoint. Longer bodies are forwarded as they arrive.
const maxBuffered = 64 << 10

// bufferBody reads an answer's body up to maxBuffered, and returns how many bytes it has read. It returns an error if the body
// breaks off before that.
func bufferBody(ans *endpoint.Answer) (int, error) {
	head, err := readAhead(ans)
	if err != nil {
		return len(head), err
	}
	if len(head) == 0 && ans.EndsByClose && isEventStream(ans) {
		return 0, io.ErrUnexpectedEOF
	}
	ans.Body = &bufferedBody{Reader: io.MultiReader(bytes.NewReader(head), ans.Body), Closer: ans.Body}
	return len(head), nil
}

// readAhead reads what is held of an answer before it is forwarded: of a stream only what comes first.
func readAhead(ans *endpoint.Answer) ([]byte, error) {
	if !ans.Streams {
		return io.ReadAll(io.LimitReader(ans.Body, maxBuffered))
	}
	head := make([]byte, pieceSize)
	n, err := io.ReadAtLeast(ans.Body, head, 1)
	if errors.Is(err, io.EOF) {
		err = nil // it is empty
	}
	return head[:n], err
}

// isEventStream reports whether an answer is a stream of server-sent events by its head.
func isEventStream(ans *endpoint.Answer) bool {
	kind, _, _ := strings.Cut(ans.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// pieceSize is how much of a stream is forwarded at once, in bytes.
const pieceSize = 4 << 10

// streamBody writes a stream to a caller, each piece as it comes. A stream of events that ends by the close of its connection has
// broken off if it ends within one, or before the first.
func streamBody(w io.Writer, flush func() error, ans *endpoint.Answer) error {
	var events eventBoundary
	piece := make([]byte, pieceSize)
	for {
		n, err := ans.Body.Read(piece)
		events.advance(piece[:n])
		if n > 0 {
			if _, werr := w.Write(piece[:n]); werr != nil {
				return werr
			}
			if ferr := flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF && ans.EndsByClose && isEventStream(ans) && events.isBrokenOff() {
			return io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// eventBoundary tells where in a stream of server-sent events the bytes so far end. The zero value is the start of a stream.
type eventBoundary struct {
	any       bool // an event has ended
	hasField  bool // the event has a line that isn't a comment
	inLine    bool // the line has begun
	isComment bool // the line is a comment
}

// advance continues with the next bytes of the stream.
func (b *eventBoundary) advance(piece []byte) {
	for _, c := range piece {
		switch {
		case c == '\r':
		case c == '\n' && !b.inLine:
			b.any = b.any || b.hasField
			b.hasField = false
		case c == '\n':
			b.hasField = b.hasField || !b.isComment
			b.inLine = false
		case !b.inLine:
			b.inLine, b.isComment = true, c == ':'
		}
	}
}

// isBrokenOff reports whether a stream that ends here lacks a part of an event, or has none.
func (b *eventBoundary) isBrokenOff() bool { return !b.any || b.hasField || b.inLine && !b.isComment }

// bufferedBody is a body whose beginning was read ahead.
type bufferedBody struct {
	io.Reader
	io.Closer
}
