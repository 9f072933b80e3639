package entry

import (
	"net/http"
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/result"
)

// replyWriter sends a job's answer to its caller. Only one goroutine uses it.
type replyWriter interface {
	// chunks returns how many chunks the caller received.
	chunks() int
	// lastEventID returns the id of the last event, where events have ids.
	lastEventID() string
	// sendHead sends the head of a streamed answer. Further calls, for the same answer
	// resumed elsewhere, do nothing.
	sendHead(h *endpoint.AnswerHead)
	// sendChunk forwards the next chunk.
	sendChunk(c *endpoint.Chunk) error
	// sendWhole forwards an answer that isn't streamed.
	sendWhole(a *endpoint.Answer) error
	// complete reports whether what was forwarded may end cleanly.
	complete() bool
	// end closes a complete answer.
	end()
	// fail reports a failure. An answer that has begun is cut off, so that no client takes
	// it for complete; fail then doesn't return.
	fail(err *result.Error)
	// times returns the time to the first chunk and the time per further one.
	times(arrived time.Time) (first, each time.Duration)
}

// passthrough forwards an endpoint's answer as it arrives: head and bytes verbatim, chunk
// by chunk.
type passthrough struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	refuse     func(w http.ResponseWriter, err *result.Error)
	// unframed is the connection of a caller whose answers have no end of their own unless they state their length; nil: it knows
	// chunks.
	unframed *intake.Conn

	opened  bool
	sent    int
	eventID string
	first   time.Time
	last    time.Time
}

func newPassthrough(w http.ResponseWriter, refuse func(w http.ResponseWriter, err *result.Error)) *passthrough {
	return &passthrough{w: w, controller: http.NewResponseController(w), refuse: refuse}
}

// newPassthroughTo returns the passthrough of the answer to a request.
func newPassthroughTo(w http.ResponseWriter, q *http.Request, refuse func(w http.ResponseWriter, err *result.Error)) *passthrough {
	p := newPassthrough(w, refuse)
	if !q.ProtoAtLeast(1, 1) {
		p.unframed = intake.ConnOf(q.Context())
	}
	return p
}

func (p *passthrough) chunks() int         { return p.sent }
func (p *passthrough) lastEventID() string { return p.eventID }
func (p *passthrough) complete() bool      { return p.opened }

func (p *passthrough) sendHead(h *endpoint.AnswerHead) {
	if p.opened || h == nil {
		return
	}
	p.opened = true
	head := p.w.Header()
	for k, vs := range forwardedHeaders(h.Header) {
		head[k] = vs
	}
	if p.unframed != nil && head.Get("Content-Length") == "" {
		p.unframed.ResetOnClose(true)
	}
	p.w.WriteHeader(h.Status)
}

func (p *passthrough) sendChunk(c *endpoint.Chunk) error {
	now := time.Now()
	if p.sent == 0 {
		p.first = now
	}
	p.last = now
	p.sent++
	p.eventID = c.EventID
	if _, err := p.w.Write(c.Raw); err != nil {
		return err
	}
	return p.controller.Flush()
}

func (p *passthrough) sendWhole(a *endpoint.Answer) error {
	p.first = time.Now()
	p.last = p.first
	if a.Length >= 0 {
		p.w.Header().Set("Content-Length", itoa(a.Length))
	}
	p.sendHead(&a.AnswerHead)
	if a.Streams {
		return streamBody(p.w, p.controller.Flush, a)
	}
	return copyBody(p.w, a.Body)
}

func (p *passthrough) end() {
	if p.unframed != nil {
		p.unframed.ResetOnClose(false)
	}
}

func (p *passthrough) fail(err *result.Error) {
	if p.opened {
		panic(http.ErrAbortHandler)
	}
	p.refuse(p.w, err)
}

func (p *passthrough) times(arrived time.Time) (first, each time.Duration) {
	return chunkTimes(arrived, p.first, p.last, p.sent)
}

// chunkTimes returns the time to the first of n chunks and the time per further one.
func chunkTimes(arrived, first, last time.Time, n int) (ttft, each time.Duration) {
	if first.IsZero() {
		return 0, 0
	}
	if n > 1 {
		each = last.Sub(first) / time.Duration(n-1)
	}
	return first.Sub(arrived), each
}
