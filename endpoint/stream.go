package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/internal/strict"
)

// tokenStream is an answer that a decode engine is streaming.
type tokenStream struct {
	addr    string
	attempt string
	body    io.ReadCloser
	r       *bufio.Reader
	done    bool
}

// maxEvent bounds the length of a line in a stream.
const maxEvent = 256 << 10

// Decode implements Engine. Cancelling ctx also ends the stream.
func (c *Client) Decode(ctx context.Context, call Call, work *Work) (Stream, error) {
	comp := work.Completion
	comp.Stream = true
	res, err := c.post(ctx, call, comp)
	if err != nil {
		return nil, err
	}
	return &tokenStream{addr: call.Address, attempt: call.Attempt, body: res.Body, r: bufio.NewReaderSize(res.Body, 4096)}, nil
}

// ErrForeignAnswer is returned for a chunk of another attempt.
var ErrForeignAnswer = errors.New("chunk of another attempt")

// Head implements Stream.
func (s *tokenStream) Head() *AnswerHead { return nil }

// Next implements Stream. A complete answer ends with the engine's end marker; the caller
// checks whether the last token came before it.
func (s *tokenStream) Next() (*Chunk, error) {
	for idle := 0; idle < MaxIdle; {
		if s.done {
			return nil, io.EOF
		}
		line, err := s.r.ReadSlice('\n')
		if err == io.EOF {
			return nil, s.callError(io.ErrUnexpectedEOF)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = s.readLongLine(line)
		}
		if err != nil {
			return nil, s.callError(err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			idle += len(line)
			continue
		}
		if string(data) == "[DONE]" {
			s.done = true
			continue
		}
		c := new(Chunk)
		if err := json.Unmarshal(data, c); err != nil {
			return nil, s.callError(errors.Wrap(err, "chunk"))
		}
		if c.ID != s.attempt {
			return nil, s.callError(ErrForeignAnswer)
		}
		return c, nil
	}
	return nil, s.callError(strict.ErrTooLong)
}

// readLongLine reads the rest of a line that doesn't fit into the buffer.
func (s *tokenStream) readLongLine(head []byte) ([]byte, error) {
	line := append([]byte(nil), head...)
	for len(line) < maxEvent {
		part, err := s.r.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, strict.ErrTooLong
}

func (s *tokenStream) callError(err error) error {
	return &CallError{Address: s.addr, Status: http.StatusOK, MayHaveRun: true, Cause: err}
}

// Close implements Stream.
func (s *tokenStream) Close() error { return s.body.Close() }
