package fake

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/endpoint"
)

// attempt is one attempt of a request for which the engine holds memory.
type attempt struct {
	id           string
	prompt       string
	memoryTokens int
	uncached     int // prefill: tokens not in the prefix cache
	priority     int
	admitted     time.Time
	record       *Record
	aborted      chan struct{} // closed when the attempt is aborted
	once         sync.Once
	orphaned     atomic.Bool   // the caller disconnected and the engine ignored it
	finished     chan struct{} // closed at the end of the prefill or of the decode call
	indexes      chan int      // decode: indexes of the decoded tokens
	next         int           // decode: index of the next token
	length       int           // decode: tokens of the whole answer
}

func (a *attempt) abort() { a.once.Do(func() { close(a.aborted) }) }

// admit creates an attempt and reserves its memory. The caller must not hold the lock.
func (r *Runner) admit(q *http.Request, comp endpoint.Completion, tokens int) *attempt {
	a := &attempt{id: q.Header.Get(endpoint.HeaderRequestID), prompt: comp.Prompt, memoryTokens: tokens,
		priority: comp.Priority, admitted: time.Now(), aborted: make(chan struct{}), finished: make(chan struct{})}
	a.record = r.records.add(Record{ID: a.id, Role: string(r.spec.Role), Prompt: PromptHash(comp.Prompt), Ran: true,
		Repeatable: q.Header.Get(endpoint.HeaderRepeatable) != "false", Leaving: r.faults.get().Leaving,
		StartedMS: time.Now().UnixMilli()})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[a.id] = a
	r.memoryUsed += tokens
	return a
}

// release frees an attempt's memory. If the engine ignored the disconnect of the
// caller, the memory stays reserved until the attempt is aborted by a call.
func (r *Runner) release(a *attempt) {
	if a.orphaned.Load() {
		go func() {
			<-a.aborted
			r.free(a)
		}()
		return
	}
	r.free(a)
}

func (r *Runner) free(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held[a.id] == a {
		delete(r.held, a.id)
		r.memoryUsed -= a.memoryTokens
	}
}

// watchCaller aborts the attempt when its caller disconnects.
func (r *Runner) watchCaller(q *http.Request, a *attempt) {
	select {
	case <-q.Context().Done():
		if r.faults.get().LoseCancels {
			a.orphaned.Store(true)
			return
		}
		a.abort()
	case <-a.finished:
	case <-a.aborted:
	}
}
