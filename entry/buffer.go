package entry

import (
	"bytes"
	"io"

	"github.com/embercove/embercove/endpoint"
)

// maxBuffered is the largest body that is held until it is whole, so that one that breaks
// off can be requested from another endpoint. Longer bodies are forwarded as they arrive.
const maxBuffered = 64 << 10

// bufferBody reads an answer's body up to maxBuffered. It returns an error if the body
// breaks off before that.
func bufferBody(ans *endpoint.Answer) error {
	head, err := io.ReadAll(io.LimitReader(ans.Body, maxBuffered))
	if err != nil {
		return err
	}
	ans.Body = &bufferedBody{Reader: io.MultiReader(bytes.NewReader(head), ans.Body), Closer: ans.Body}
	return nil
}

// bufferedBody is a body whose beginning was read ahead.
type bufferedBody struct {
	io.Reader
	io.Closer
}
