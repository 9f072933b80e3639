package entry

import (
	"net/http"
	"time"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/result"
)

// reply is how a job's answer goes back to its caller. Only one goroutine
// uses it.
type reply interface {
	// pieces returns how many pieces the caller was given.
	pieces() int
	// lastMark names the last of them, where pieces have names.
	lastMark() string
	// open sends the head of an answer that comes in pieces. Further calls,
	// for the same answer gone on elsewhere, do nothing.
	open(h *endpoint.AnswerHead)
	// piece passes on the next piece.
	piece(c *endpoint.Chunk) error
	// whole passes on an answer that doesn't come in pieces.
	whole(a *endpoint.Answer) error
	// complete reports whether what was passed on may end cleanly.
	complete() bool
	// end closes an answer that is complete.
	end()
	// fail tells of a failure. An answer that has begun is cut, so that
	// nothing takes it for complete; it then doesn't return.
	fail(err *result.Error)
	// times returns the time to the first piece and the time for each more.
	times(came time.Time) (first, each time.Duration)
}

// passage passes an endpoint's answer on as it came: head and bytes verbatim,
// piece by piece.
type passage struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	refuse func(w http.ResponseWriter, err *result.Error)

	opened bool
	sent   int
	mark   string
	first  time.Time
	last   time.Time
}

func newPassage(w http.ResponseWriter, refuse func(w http.ResponseWriter, err *result.Error)) *passage {
	return &passage{w: w, rc: http.NewResponseController(w), refuse: refuse}
}

func (p *passage) pieces() int      { return p.sent }
func (p *passage) lastMark() string { return p.mark }
func (p *passage) complete() bool   { return p.opened }

func (p *passage) open(h *endpoint.AnswerHead) {
	if p.opened || h == nil {
		return
	}
	p.opened = true
	head := p.w.Header()
	for k, vs := range passedOn(h.Header) {
		head[k] = vs
	}
	p.w.WriteHeader(h.Status)
}

func (p *passage) piece(c *endpoint.Chunk) error {
	now := time.Now()
	if p.sent == 0 {
		p.first = now
	}
	p.last = now
	p.sent++
	p.mark = c.Mark
	if _, err := p.w.Write(c.Raw); err != nil {
		return err
	}
	return p.rc.Flush()
}

func (p *passage) whole(a *endpoint.Answer) error {
	p.first = time.Now()
	p.last = p.first
	if a.Length >= 0 {
		p.w.Header().Set("Content-Length", itoa(a.Length))
	}
	p.open(&a.AnswerHead)
	return copyBody(p.w, a.Body)
}

func (p *passage) end() {}

func (p *passage) fail(err *result.Error) {
	if p.opened {
		panic(http.ErrAbortHandler)
	}
	p.refuse(p.w, err)
}

func (p *passage) times(came time.Time) (first, each time.Duration) {
	return pieceTimes(came, p.first, p.last, p.sent)
}

// pieceTimes returns the time to the first of n pieces and the time for each
// more.
func pieceTimes(came, first, last time.Time, n int) (ttft, each time.Duration) {
	if first.IsZero() {
		return 0, 0
	}
	if n > 1 {
		each = last.Sub(first) / time.Duration(n-1)
	}
	return first.Sub(came), each
}
