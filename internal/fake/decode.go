package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/embercove/embercove/endpoint"
)

// transferTick is how often the progress of a transfer is worked out.
const transferTick = 10 * time.Millisecond

// decode admits a request if its memory allows, imports the KV cache and
// writes the answer as a stream.
func (r *Runner) decode(w http.ResponseWriter, q *http.Request, comp endpoint.Completion) {
	need := endpoint.Tokens(len(comp.Prompt)) + comp.MaxTokens
	r.mu.Lock()
	full := r.used+need > r.spec.MemoryTokens || len(r.held) >= r.spec.Slots
	r.mu.Unlock()
	if full {
		refuse(w, http.StatusServiceUnavailable, "memory is full", true)
		return
	}
	h := r.hold(q, comp, need)
	defer r.drop(h)
	defer close(h.done)
	if !r.faults.get().IgnoreResume {
		h.next = comp.ResumeFrom
	}
	h.last = AnswerLength(comp.Prompt, comp.MaxTokens)
	h.out = make(chan int, max(0, h.last-h.next)+1)
	go r.watch(q, h)
	time.Sleep(time.Duration(r.faults.get().LateMillis) * time.Millisecond)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	s := &sink{w: w, f: http.NewResponseController(w), id: h.attempt}
	_ = s.f.Flush()
	if comp.Transfer != nil && !r.importKV(q.Context(), h, comp.Transfer, s) {
		r.truth.set(func() { h.rec.Aborted = true })
		hangUp(w)
		return
	}
	r.join(h)
	r.write(w, h, s)
}

// sink writes server-sent events.
type sink struct {
	w  http.ResponseWriter
	f  *http.ResponseController
	id string
}

func (s *sink) send(c endpoint.Chunk) {
	b, _ := json.Marshal(c)
	fmt.Fprintf(s.w, "data: %s\n\n", b)
	_ = s.f.Flush()
}

// importKV pulls an export over the engine's link, which all transfers into
// it share. It reports whether the whole cache arrived.
func (r *Runner) importKV(ctx context.Context, h *holding, t *endpoint.Transfer, s *sink) bool {
	url := "http://" + t.Address + pathKV + t.Handle
	if !r.callKV(ctx, http.MethodPost, url) {
		return false
	}
	r.mu.Lock()
	r.imports++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.imports--
		r.mu.Unlock()
	}()
	stall := r.faults.take(func(f *Faults) *int { return &f.StallTransfers })
	var have, told int64
	for have < t.Bytes {
		select {
		case <-h.gone:
			r.callKV(context.WithoutCancel(ctx), http.MethodPut, url)
			return false
		case <-time.After(transferTick):
		}
		if stall && have > t.Bytes/2 {
			continue
		}
		r.mu.Lock()
		n := r.imports
		r.mu.Unlock()
		have += int64(float64(r.spec.LinkBytesPerSecond) * transferTick.Seconds() / float64(n) / r.faults.get().slow())
		have = min(have, t.Bytes)
		if have-told > t.Bytes/8 {
			told = have
			s.send(endpoint.Chunk{ID: s.id, Imported: &told})
		}
	}
	return r.callKV(ctx, http.MethodDelete, url)
}

func (r *Runner) callKV(ctx context.Context, method, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return false
	}
	res, err := r.peers.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// join adds a request to the batch and starts the step loop if it rests.
func (r *Runner) join(h *holding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = append(r.waiting, h)
	if !r.steps {
		r.steps = true
		go r.stepLoop()
	}
}

// stepLoop writes one token for each request of the batch at every step; a
// step takes longer the larger the batch is.
func (r *Runner) stepLoop() {
	for {
		r.mu.Lock()
		n := len(r.waiting)
		if n == 0 {
			r.steps = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		micros := float64(r.spec.StepMicros+(n-1)*r.spec.StepMicrosEach) * r.faults.get().slow()
		time.Sleep(time.Duration(micros) * time.Microsecond)
		r.step()
	}
}

func (r *Runner) step() {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.waiting[:0]
	for _, h := range r.waiting {
		select {
		case <-h.gone:
			close(h.out)
			continue
		default:
		}
		if h.next < h.last {
			h.out <- h.next
			h.next++
		}
		if h.next >= h.last {
			close(h.out)
			continue
		}
		kept = append(kept, h)
	}
	r.waiting = kept
}

// write relays the tokens of a request to its caller.
func (r *Runner) write(w http.ResponseWriter, h *holding, s *sink) {
	f := r.faults.get()
	breaks := r.faults.take(func(f *Faults) *int { return &f.BreakStreams })
	hash, sent := PromptHash(h.prompt), 0
	for i := range h.out {
		if breaks && sent >= f.BreakAfter {
			h.abort()
			if f.CleanBreak {
				fmt.Fprint(w, "data: [DONE]\n\n")
				return
			}
			hangUp(w)
			return
		}
		id, text := s.id, Token(hash, i)
		if r.faults.take(func(f *Faults) *int { return &f.CrossAnswers }) {
			id, text = "0-0-0.0", Token(hash+1, i)
		}
		c := endpoint.Chunk{ID: id, Offset: i, Choices: []endpoint.Choice{{Text: text}}}
		if i == h.last-1 {
			c.Choices[0].FinishReason = "stop"
			c.Usage = &endpoint.Usage{PromptTokens: endpoint.Tokens(len(h.prompt)), CompletionTokens: h.last}
		}
		s.send(c)
		sent++
		r.truth.set(func() { h.rec.Tokens = sent })
	}
	select {
	case <-h.gone:
		r.truth.set(func() { h.rec.Aborted = true })
		hangUp(w)
		return
	default:
	}
	r.truth.set(func() { h.rec.Finished = true })
	if r.faults.take(func(f *Faults) *int { return &f.CutAfter }) {
		hangUp(w)
		return
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}
