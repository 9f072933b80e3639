package publish

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// An answer of a store may be large, and a host's link narrow. So a call is given
// up when the store says nothing, not for the time that its answer takes: begun
// anew, the answer would have to come again from its beginning, and over a narrow
// link it would never end.

// How long a store may say nothing.
const (
	ListSilence   = 1500 * time.Millisecond // before a listing begins: a slow store takes 0.2 s, and is asked again
	WatchSilence  = 400 * time.Millisecond  // beyond what a watch may wait: its answer takes some 10 ms
	AnswerSilence = time.Second             // within an answer: a lost packet is sent again after 0.2 s, and after 0.6 s if lost once more
)

// answerMost bounds an answer in all: eight megabytes over 10 Mbit/s take 7 s, and
// twice as long beside other traffic.
const answerMost = 15 * time.Second

// ErrLong is returned for a watch whose answer has more than a listing would.
var ErrLong = errors.New("the store's answer is longer than a listing")

// ErrBroken is returned for an answer that began and didn't end.
var ErrBroken = errors.New("the store's answer broke off")

// Guard gives a call up once the store has said nothing for too long.
type Guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	begun time.Time // zero: the answer hasn't begun
	bytes int       // of the answer so far
}

// NewGuard returns a guard of a call and the context to make it with. silence
// bounds the time until the answer begins.
func NewGuard(ctx context.Context, silence time.Duration) (context.Context, *Guard) {
	g := new(Guard)
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	g.timer = time.AfterFunc(silence, func() { g.cancel(context.DeadlineExceeded) })
	return g.ctx, g
}

// Begin notes that the answer begins.
func (g *Guard) Begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = time.Now()
	g.timer.Reset(AnswerSilence)
}

// Reader returns the answer's body. What is read from it renews the patience.
func (g *Guard) Reader(body io.Reader) io.Reader { return &guarded{body, g} }

// guarded is a body under a guard.
type guarded struct {
	io.Reader
	g *Guard
}

// guardPiece is the most that is read at once, in bytes. The body of an answer in
// chunks returns only when all that was asked for is there, and a decoder asks for
// as much as it has already got.
const guardPiece = 4 << 10

// Read implements io.Reader.
func (r *guarded) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), guardPiece)])
	if n > 0 {
		r.g.mu.Lock()
		r.g.bytes += n
		r.g.timer.Reset(AnswerSilence)
		r.g.mu.Unlock()
	}
	return n, err
}

// Took returns how long the answer has taken since it began.
func (g *Guard) Took() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.begun.IsZero() {
		return 0
	}
	return time.Since(g.begun)
}

// End ends the call and returns its error: ErrBroken for an answer that had begun,
// and context.DeadlineExceeded for one that never did.
func (g *Guard) End(err error) error {
	g.mu.Lock()
	g.timer.Stop()
	begun, bytes := !g.begun.IsZero(), g.bytes
	g.mu.Unlock()
	defer g.cancel(nil)
	switch cause := context.Cause(g.ctx); {
	case err == nil || errors.Is(err, ErrForgotten) || errors.Is(err, ErrLong):
		return err
	case begun:
		return errors.Wrapf(ErrBroken, "after %d bytes: %v", bytes, err)
	case cause != nil:
		return errors.Wrap(cause, err.Error())
	}
	return err
}
