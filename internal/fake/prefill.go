package fake

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/embercove/embercove/endpoint"
)

const pathKV = "/kv/"

// export is a prefill result that is kept for a few seconds.
type export struct {
	handle  string
	attempt string
	bytes   int64
	rec     *Record
	timer   *time.Timer
	claimed int // transfers that read it
}

// prefill queues a prompt, reads it and exports its KV cache.
func (r *Runner) prefill(w http.ResponseWriter, q *http.Request, comp endpoint.Completion) {
	tokens := endpoint.Tokens(len(comp.Prompt))
	h := r.hold(q, comp, tokens)
	defer r.drop(h)
	go r.watch(q, h)
	r.mu.Lock()
	r.waiting = append(r.waiting, h)
	r.queued += tokens
	if !r.reading {
		r.reading = true
		go r.readLoop()
	}
	r.mu.Unlock()
	select {
	case <-h.done:
	case <-h.gone:
		r.truth.set(func() { h.rec.Aborted = true })
		refuse(w, 499, "aborted", false)
		return
	}
	f := r.faults.get()
	time.Sleep(time.Duration(f.LateMillis) * time.Millisecond)
	e := r.export(h)
	if r.faults.take(func(f *Faults) *int { return &f.CutAfter }) {
		hangUp(w)
		return
	}
	id := h.attempt
	if r.faults.take(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "0-0-0.0"
	}
	writeJSON(w, http.StatusOK, endpoint.PrefillAnswer{ID: id,
		Usage:    endpoint.Usage{PromptTokens: tokens, CachedTokens: tokens - h.uncached},
		Transfer: &endpoint.Transfer{RemotePrefill: true, Address: r.spec.Address, Handle: e.handle, Bytes: e.bytes, KeptMillis: r.spec.ResultKeepMillis}})
}

// readLoop reads the waiting prompts one by one, the most urgent first.
func (r *Runner) readLoop() {
	for {
		h := r.nextPrompt()
		if h == nil {
			return
		}
		h.uncached = max(1, h.tokens-r.cache.cached(h.prompt))
		d := time.Duration(float64(h.uncached) / r.spec.TokensPerSecond * r.faults.get().slow() * float64(time.Second))
		t, began := time.NewTimer(d), time.Now()
		select {
		case <-t.C:
			lose := r.faults.get().LoseEvents
			r.cache.store(h.prompt, lose > 0 && float64(PromptHash(h.prompt)%1000) < lose*1000)
			r.truth.set(func() {
				h.rec.Tokens, h.rec.Cached, h.rec.Finished = h.uncached, h.tokens-h.uncached, true
			})
			close(h.done)
		case <-h.gone:
			t.Stop()
			read := int(time.Since(began).Seconds() * r.spec.TokensPerSecond)
			r.truth.set(func() { h.rec.Tokens, h.rec.Aborted = read, true })
		}
	}
}

func (r *Runner) nextPrompt() *holding {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := -1
	for i, h := range r.waiting {
		select {
		case <-h.gone:
			continue
		default:
		}
		if best < 0 || h.priority < r.waiting[best].priority {
			best = i
		}
	}
	if best < 0 {
		r.waiting, r.queued, r.reading = nil, 0, false
		return nil
	}
	h := r.waiting[best]
	r.waiting = append(r.waiting[:best], r.waiting[best+1:]...)
	r.queued -= h.tokens
	return h
}

func (r *Runner) export(h *holding) *export {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &export{handle: h.attempt + "-" + strconv.FormatInt(time.Now().UnixNano(), 36), attempt: h.attempt,
		bytes: int64(h.tokens) * r.kvByte, rec: h.rec}
	r.exports[e.handle] = e
	e.timer = time.AfterFunc(time.Duration(r.spec.ResultKeepMillis)*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if e.claimed == 0 {
			r.dropExport(e)
		}
	})
	return e
}

// dropExport forgets an export; the caller holds the lock.
func (r *Runner) dropExport(e *export) {
	e.timer.Stop()
	delete(r.exports, e.handle)
}

// serveKV lets a decode engine claim an export and say that it has it.
func (r *Runner) serveKV(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.exports[strings.TrimPrefix(q.URL.Path, pathKV)]
	if e == nil {
		refuse(w, http.StatusGone, "no such export", true)
		return
	}
	switch q.Method {
	case http.MethodPost:
		e.claimed++
	case http.MethodPut: // the transfer failed
		e.claimed--
		e.timer.Reset(time.Duration(r.spec.ResultKeepMillis) * time.Millisecond)
	case http.MethodDelete: // the transfer is whole
		r.truth.set(func() { e.rec.Used = true })
		r.dropExport(e)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
