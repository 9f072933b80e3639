package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/embercove/embercove/endpoint"
)

// transferInterval is how often the progress of a transfer is computed.
const transferInterval = 10 * time.Millisecond

// decode admits a request if there is free memory and a free slot, imports the
// KV cache and streams the answer.
func (r *Runner) decode(w http.ResponseWriter, q *http.Request, comp endpoint.Completion) {
	need := endpoint.Tokens(len(comp.Prompt)) + comp.MaxTokens
	r.mu.Lock()
	full := r.memoryUsed+need > r.spec.MemoryTokens || len(r.held) >= r.spec.Slots
	r.mu.Unlock()
	if full {
		writeProblem(w, http.StatusServiceUnavailable, "memory is full", true)
		return
	}
	a := r.admit(q, comp, need)
	defer r.release(a)
	defer close(a.finished)
	if !r.faults.get().IgnoreResume {
		a.next = comp.ResumeFrom
	}
	a.length = AnswerLength(comp.Prompt, comp.MaxTokens)
	a.indexes = make(chan int, max(0, a.length-a.next)+1)
	go r.watchCaller(q, a)
	time.Sleep(time.Duration(r.faults.get().DelayMillis) * time.Millisecond)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	s := &eventWriter{w: w, controller: http.NewResponseController(w), id: a.id}
	_ = s.controller.Flush()
	if comp.Transfer != nil && !r.importKV(q.Context(), a, comp.Transfer, s) {
		r.records.update(func() { a.record.Aborted = true })
		closeConn(w)
		return
	}
	r.joinBatch(a)
	r.streamTokens(w, a, s)
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         string
}

func (s *eventWriter) send(c endpoint.Chunk) {
	b, _ := json.Marshal(c)
	fmt.Fprintf(s.w, "data: %s\n\n", b)
	_ = s.controller.Flush()
}

// importKV pulls an export over the engine's link, which all transfers into the
// engine share equally. It reports whether the whole KV cache arrived.
func (r *Runner) importKV(ctx context.Context, a *attempt, t *endpoint.Transfer, s *eventWriter) bool {
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
	stall := r.faults.consume(func(f *Faults) *int { return &f.StallTransfers })
	var received, reported int64
	for received < t.Bytes {
		select {
		case <-a.aborted:
			r.callKV(context.WithoutCancel(ctx), http.MethodPut, url)
			return false
		case <-time.After(transferInterval):
		}
		if stall && received > t.Bytes/2 {
			continue
		}
		r.mu.Lock()
		transfers := r.imports
		r.mu.Unlock()
		received += int64(float64(r.spec.LinkBytesPerSecond) * transferInterval.Seconds() / float64(transfers) / r.faults.get().slowdown())
		received = min(received, t.Bytes)
		if received-reported > t.Bytes/8 {
			reported = received
			s.send(endpoint.Chunk{ID: s.id, Imported: &reported})
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
	res, err := r.client.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// joinBatch adds a request to the batch and starts the step loop if it isn't running.
func (r *Runner) joinBatch(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append(r.queue, a)
	if !r.stepping {
		r.stepping = true
		go r.stepLoop()
	}
}

// stepLoop decodes one token for each request of the batch at every step. The
// larger the batch is, the longer a step takes.
func (r *Runner) stepLoop() {
	for {
		r.mu.Lock()
		n := len(r.queue)
		if n == 0 {
			r.stepping = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		micros := float64(r.spec.StepMicros+(n-1)*r.spec.StepMicrosEach) * r.faults.get().slowdown()
		time.Sleep(time.Duration(micros) * time.Microsecond)
		r.step()
	}
}

func (r *Runner) step() {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.queue[:0]
	for _, a := range r.queue {
		select {
		case <-a.aborted:
			close(a.indexes)
			continue
		default:
		}
		if a.next < a.length {
			a.indexes <- a.next
			a.next++
		}
		if a.next >= a.length {
			close(a.indexes)
			continue
		}
		kept = append(kept, a)
	}
	r.queue = kept
}

// streamTokens sends the tokens of a request to its caller as they are decoded.
func (r *Runner) streamTokens(w http.ResponseWriter, a *attempt, s *eventWriter) {
	f := r.faults.get()
	breakStream := r.faults.consume(func(f *Faults) *int { return &f.BreakStreams })
	hash, sent := PromptHash(a.prompt), 0
	for i := range a.indexes {
		if breakStream && sent >= f.BreakAfter {
			a.abort()
			if f.CleanBreak {
				fmt.Fprint(w, "data: [DONE]\n\n")
				return
			}
			closeConn(w)
			return
		}
		id, text := s.id, Token(hash, i)
		if r.faults.consume(func(f *Faults) *int { return &f.CrossAnswers }) {
			id, text = "0-0-0.0", Token(hash+1, i)
		}
		c := endpoint.Chunk{ID: id, Offset: i, Choices: []endpoint.Choice{{Text: text}}}
		if i == a.length-1 {
			c.Choices[0].FinishReason = "stop"
			c.Usage = &endpoint.Usage{PromptTokens: endpoint.Tokens(len(a.prompt)), CompletionTokens: a.length}
		}
		s.send(c)
		sent++
		r.records.update(func() { a.record.Tokens = sent })
	}
	select {
	case <-a.aborted:
		r.records.update(func() { a.record.Aborted = true })
		closeConn(w)
		return
	default:
	}
	r.records.update(func() { a.record.Finished = true })
	if r.faults.consume(func(f *Faults) *int { return &f.CutAfter }) {
		closeConn(w)
		return
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}
