package fake

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/embercove/embercove/endpoint"
)

const pathKV = "/kv/"

// export is a prefill result, the KV cache of a prompt, kept for ResultKeepMillis.
type export struct {
	handle    string
	attemptID string
	bytes     int64
	record    *Record
	timer     *time.Timer
	claims    int // transfers that have claimed it
}

// prefill queues a prompt, waits until it is prefilled and exports its KV cache.
func (r *Runner) prefill(w http.ResponseWriter, q *http.Request, comp endpoint.Completion) {
	tokens := endpoint.Tokens(len(comp.Prompt))
	a := r.admit(q, comp, tokens)
	defer r.release(a)
	go r.watchCaller(q, a)
	r.mu.Lock()
	r.queue = append(r.queue, a)
	r.queuedTokens += tokens
	if !r.prefilling {
		r.prefilling = true
		go r.prefillLoop()
	}
	r.mu.Unlock()
	select {
	case <-a.finished:
	case <-a.aborted:
		r.records.update(func() { a.record.Aborted = true })
		writeProblem(w, 499, "aborted", false)
		return
	}
	f := r.faults.get()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	e := r.export(a)
	if r.faults.consume(func(f *Faults) *int { return &f.CutAfter }) {
		closeConn(w)
		return
	}
	id := a.id
	if r.faults.consume(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "0-0-0.0"
	}
	writeJSON(w, http.StatusOK, endpoint.PrefillAnswer{ID: id,
		Usage:    endpoint.Usage{PromptTokens: tokens, CachedTokens: tokens - a.uncached},
		Transfer: &endpoint.Transfer{RemotePrefill: true, Address: r.spec.Address, Handle: e.handle, Bytes: e.bytes, KeptMillis: r.spec.ResultKeepMillis}})
}

// prefillLoop prefills the queued prompts one at a time, the most urgent priority first.
func (r *Runner) prefillLoop() {
	for {
		a := r.nextPrompt()
		if a == nil {
			return
		}
		a.uncached = max(1, a.memoryTokens-r.cache.cached(a.prompt))
		d := time.Duration(float64(a.uncached) / r.spec.TokensPerSecond * r.faults.get().slowdown() * float64(time.Second))
		t, start := time.NewTimer(d), time.Now()
		select {
		case <-t.C:
			lossShare := r.faults.get().LoseEvents
			r.cache.store(a.prompt, lossShare > 0 && float64(PromptHash(a.prompt)%1000) < lossShare*1000)
			r.records.update(func() {
				a.record.Tokens, a.record.Cached, a.record.Finished = a.uncached, a.memoryTokens-a.uncached, true
			})
			close(a.finished)
		case <-a.aborted:
			t.Stop()
			prefilled := int(time.Since(start).Seconds() * r.spec.TokensPerSecond)
			r.records.update(func() { a.record.Tokens, a.record.Aborted = prefilled, true })
		}
	}
}

func (r *Runner) nextPrompt() *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := -1
	for i, a := range r.queue {
		select {
		case <-a.aborted:
			continue
		default:
		}
		if best < 0 || a.priority < r.queue[best].priority {
			best = i
		}
	}
	if best < 0 {
		r.queue, r.queuedTokens, r.prefilling = nil, 0, false
		return nil
	}
	a := r.queue[best]
	r.queue = append(r.queue[:best], r.queue[best+1:]...)
	r.queuedTokens -= a.memoryTokens
	return a
}

func (r *Runner) export(a *attempt) *export {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &export{handle: a.id + "-" + strconv.FormatInt(time.Now().UnixNano(), 36), attemptID: a.id,
		bytes: int64(a.memoryTokens) * r.kvBytesPerToken, record: a.record}
	r.exports[e.handle] = e
	e.timer = time.AfterFunc(time.Duration(r.spec.ResultKeepMillis)*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if e.claims == 0 {
			r.dropExport(e)
		}
	})
	return e
}

// dropExport deletes an export. The caller must hold the lock.
func (r *Runner) dropExport(e *export) {
	e.timer.Stop()
	delete(r.exports, e.handle)
}

// serveKV serves the calls by which a decode engine claims an export, gives the claim back or
// confirms the transfer.
func (r *Runner) serveKV(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.exports[strings.TrimPrefix(q.URL.Path, pathKV)]
	if e == nil {
		writeProblem(w, http.StatusGone, "no such export", true)
		return
	}
	switch q.Method {
	case http.MethodPost:
		e.claims++
	case http.MethodPut: // the transfer failed
		e.claims--
		e.timer.Reset(time.Duration(r.spec.ResultKeepMillis) * time.Millisecond)
	case http.MethodDelete: // the transfer is complete
		r.records.update(func() { e.record.Used = true })
		r.dropExport(e)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
