package fake

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/endpoint"
)

// holding is one attempt that the engine holds memory for.
type holding struct {
	attempt  string
	prompt   string
	tokens   int // memory
	uncached int
	priority int
	since    time.Time
	rec      *Record
	gone     chan struct{} // closed when given up
	once     sync.Once
	deaf     atomic.Bool   // the caller left and the engine did not hear it
	done     chan struct{} // prefill: read; decode: closed at the end
	out      chan int      // decode: numbers of tokens written
	next     int
	last     int
}

func (h *holding) abort() { h.once.Do(func() { close(h.gone) }) }

// hold takes memory for an attempt; the caller holds no lock.
func (r *Runner) hold(q *http.Request, comp endpoint.Completion, tokens int) *holding {
	h := &holding{attempt: q.Header.Get(endpoint.HeaderRequestID), prompt: comp.Prompt, tokens: tokens,
		priority: comp.Priority, since: time.Now(), gone: make(chan struct{}), done: make(chan struct{})}
	h.rec = r.truth.add(Record{ID: h.attempt, Role: string(r.spec.Role), Prompt: PromptHash(comp.Prompt), Ran: true,
		Repeatable: q.Header.Get(endpoint.HeaderRepeatable) != "false", Leaving: r.faults.get().Leaving,
		StartedMS: time.Now().UnixMilli()})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[h.attempt] = h
	r.used += tokens
	return h
}

// drop frees an attempt's memory. An engine that did not hear its caller leave
// keeps it until it is told.
func (r *Runner) drop(h *holding) {
	if h.deaf.Load() {
		go func() {
			<-h.gone
			r.free(h)
		}()
		return
	}
	r.free(h)
}

func (r *Runner) free(h *holding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[h.attempt] == h {
		delete(r.held, h.attempt)
		r.used -= h.tokens
	}
}

// watch gives the attempt up when its caller disconnects.
func (r *Runner) watch(q *http.Request, h *holding) {
	select {
	case <-q.Context().Done():
		if r.faults.get().LoseCancels {
			h.deaf.Store(true)
			return
		}
		h.abort()
	case <-h.done:
	case <-h.gone:
	}
}
