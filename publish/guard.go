package publish

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// An answer of a store may be large and a host's link narrow. So calls time out on silence and
// not on their total duration: a repeated call would have to transfer the answer from its
// beginning, and might never finish over a narrow link.

// How long a store may be silent.
const (
	ListSilence   = 1500 * time.Millisecond // before a listing begins: a slow store takes 0.2 s; then it is asked again
	WatchSilence  = 400 * time.Millisecond  // beyond the wait of a watch: its answer takes about 10 ms
	AnswerSilence = time.Second             // within an answer: a lost packet is resent after 0.2 s, and after 0.6 s if lost again
)

// maxAnswerTime bounds an answer in total: eight megabytes take 7 s over 10 Mbit/s, and twice as
// long beside other traffic.
const maxAnswerTime = 15 * time.Second

// ErrTooLong is returned for a watch whose answer is longer than a listing would be.
var ErrTooLong = errors.New("the store's answer is longer than a listing")

// ErrIncomplete is returned for an answer that began but didn't end.
var ErrIncomplete = errors.New("the store's answer is incomplete")

// Guard cancels a call when the store has been silent for too long.
type Guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	timer       *time.Timer
	answerBegan time.Time // zero: the answer hasn't begun
	bytes       int       // of the answer so far
}

// NewGuard returns a guard for a call, and the context to make the call with. silence bounds the
// time until the answer begins.
func NewGuard(ctx context.Context, silence time.Duration) (context.Context, *Guard) {
	g := new(Guard)
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	g.timer = time.AfterFunc(silence, func() { g.cancel(context.DeadlineExceeded) })
	return g.ctx, g
}

// Begin records that the answer begins.
func (g *Guard) Begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answerBegan = time.Now()
	g.timer.Reset(AnswerSilence)
}

// Reader returns the answer's body. Reading from it resets the silence timer.
func (g *Guard) Reader(body io.Reader) io.Reader { return &guardedBody{body, g} }

// guardedBody is a body under a guard.
type guardedBody struct {
	io.Reader
	guard *Guard
}

// guardChunkBytes is the maximum size of a single read. A chunked HTTP body returns only when the
// whole buffer is full, and a decoder asks for as much as it has already read, so progress would
// go unnoticed for long.
const guardChunkBytes = 4 << 10

// Read implements io.Reader.
func (r *guardedBody) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), guardChunkBytes)])
	if n > 0 {
		r.guard.mu.Lock()
		r.guard.bytes += n
		r.guard.timer.Reset(AnswerSilence)
		r.guard.mu.Unlock()
	}
	return n, err
}

// Took returns the time since the answer began.
func (g *Guard) Took() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answerBegan.IsZero() {
		return 0
	}
	return time.Since(g.answerBegan)
}

// End ends the call and returns its error: ErrIncomplete for an answer that had begun, and
// context.DeadlineExceeded for one that never did.
func (g *Guard) End(err error) error {
	g.mu.Lock()
	g.timer.Stop()
	began, bytes := !g.answerBegan.IsZero(), g.bytes
	g.mu.Unlock()
	defer g.cancel(nil)
	switch cause := context.Cause(g.ctx); {
	case err == nil || errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLong):
		return err
	case began:
		return errors.Wrapf(ErrIncomplete, "after %d bytes: %v", bytes, err)
	case cause != nil:
		return errors.Wrap(cause, err.Error())
	}
	return err
}
