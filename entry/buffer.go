package entry

import (
	"bytes"
	"context"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/internal/strict"
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

// failureTimeout bounds how long the body of a failure is waited for: another endpoint may serve the request.
const failureTimeout = 500 * time.Millisecond

// holdFailure reads the whole body of a failure that an endpoint answered with, as its call ends before the caller may get it. A
// failure that isn't whole, in time and short is no answer to a caller.
func holdFailure(ctx context.Context, err error) error {
	var ce *endpoint.CallError
	if !errors.As(err, &ce) || ce.Answer == nil {
		return err
	}
	ans := ce.Answer
	defer ans.Body.Close()
	timer := time.AfterFunc(failureTimeout, func() { ans.Body.Close() })
	defer timer.Stop()
	body, readErr := io.ReadAll(&strict.Bounded{Reader: ans.Body, Left: maxBuffered})
	if readErr != nil {
		return &endpoint.CallError{Address: ce.Address, Status: ce.Status, MayHaveRun: ce.MayHaveRun, Abandoned: ce.Abandoned, Cause: readErr}
	}
	intake.ConnOf(ctx).Hold(len(body))
	held := *ce
	held.Answer = &endpoint.Answer{AnswerHead: ans.AnswerHead, Length: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	return &held
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
