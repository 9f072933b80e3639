package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/intake"
	"github.com/embercove/embercove/result"
)

// answer writes a job's answer to its caller, streamed or whole. It counts the tokens, so
// that a resumed answer continues where it stopped.
type answer struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	conn         *intake.Conn // of the caller
	id           string
	model        string
	chat         bool
	stream       bool
	promptTokens int // for the usage report at the end of the answer

	sent   int // tokens relayed or collected
	opened bool
	text   strings.Builder // of an answer that is sent whole
	finish string          // finish reason given with the last token; empty before it
	first  time.Time
	last   time.Time
}

func newAnswer(w http.ResponseWriter, j *job, isChat bool, conn *intake.Conn) *answer {
	return &answer{w: w, controller: http.NewResponseController(w), conn: conn, id: j.id.String(), model: j.work.Model, chat: isChat,
		stream: j.work.Stream, promptTokens: j.tokens}
}

// Response shapes of the OpenAI API.
type (
	textChoice struct {
		Index        int     `json:"index"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	}
	chatChoice struct {
		Index        int      `json:"index"`
		Delta        *Message `json:"delta,omitempty"`
		Message      *Message `json:"message,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}
	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
	completion struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Model   string `json:"model"`
		Choices any    `json:"choices"`
		Usage   *usage `json:"usage,omitempty"`
	}
)

func (a *answer) choices(text, finish string) any {
	var fin *string
	if finish != "" {
		fin = &finish
	}
	if !a.chat {
		return []textChoice{{Text: text, FinishReason: fin}}
	}
	m := &Message{Role: "assistant", Content: text}
	if a.stream {
		return []chatChoice{{Delta: m, FinishReason: fin}}
	}
	return []chatChoice{{Message: m, FinishReason: fin}}
}

func (a *answer) object() string {
	switch {
	case a.chat && a.stream:
		return "chat.completion.chunk"
	case a.chat:
		return "chat.completion"
	}
	return "text_completion"
}

func (a *answer) chunks() int         { return a.sent }
func (a *answer) lastEventID() string { return "" }
func (a *answer) complete() bool      { return a.finish != "" }

// sendHead implements replyWriter. This interface writes its own response head.
func (a *answer) sendHead(*endpoint.AnswerHead) {}

// sendWhole implements replyWriter. Engines answer completions in chunks.
func (a *answer) sendWhole(*endpoint.Answer) error {
	return errors.New("a completion arrived unstreamed")
}

// startStream sends the head of a streamed answer, before its first event.
func (a *answer) startStream() {
	if a.opened {
		return
	}
	a.opened = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

// sendChunk implements replyWriter: it forwards the next token.
func (a *answer) sendChunk(c *endpoint.Chunk) error {
	text, finish := c.Choices[0].Text, c.Choices[0].FinishReason
	now := time.Now()
	if a.sent == 0 {
		a.first = now
	}
	a.last = now
	a.sent++
	if a.finish = finish; c.Usage != nil && c.Usage.CompletionTokens != a.sent {
		a.finish = "" // tokens are missing
	}
	if !a.stream {
		a.conn.Hold(len(text))
		a.text.WriteString(text)
		return nil
	}
	a.startStream()
	return a.event("", completion{ID: a.id, Object: a.object(), Model: a.model, Choices: a.choices(text, finish)})
}

// event writes one server-sent event and flushes it.
func (a *answer) event(name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if name != "" {
		fmt.Fprintf(a.w, "event: %s\n", name)
	}
	if _, err := fmt.Fprintf(a.w, "data: %s\n\n", b); err != nil {
		return err
	}
	return a.controller.Flush()
}

// end implements replyWriter.
func (a *answer) end() {
	if a.stream {
		a.startStream()
		fmt.Fprint(a.w, "data: [DONE]\n\n")
		_ = a.controller.Flush()
		return
	}
	u := &usage{PromptTokens: a.promptTokens, CompletionTokens: a.sent, TotalTokens: a.promptTokens + a.sent}
	writeJSON(a.w, http.StatusOK, completion{ID: a.id, Object: a.object(), Model: a.model, Choices: a.choices(a.text.String(), a.finish), Usage: u})
}

// fail implements replyWriter. A stream that has begun gets an error event and then a
// closed connection, so that no client takes it for complete.
func (a *answer) fail(err *result.Error) {
	if !a.opened {
		writeError(a.w, err)
		return
	}
	_ = a.event("error", errorBody(err))
	panic(http.ErrAbortHandler)
}

// times implements replyWriter.
func (a *answer) times(arrived time.Time) (ttft, tpot time.Duration) {
	return chunkTimes(arrived, a.first, a.last, a.sent)
}

// Problem is the body of every refusal and error.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail holds the numbered code, whether the request is known not to have run, and
// when to retry.
type ProblemDetail struct {
	Code        int    `json:"code"`
	Name        string `json:"name"`
	Message     string `json:"message"`
	NotRun      bool   `json:"not_run"`
	RetryMillis int64  `json:"retry_after_ms"`
}

func errorBody(e *result.Error) Problem {
	return Problem{ProblemDetail{Code: int(e.Code), Name: e.Code.String(), Message: e.Detail, NotRun: e.NotRun(),
		RetryMillis: e.RetryAfter.Milliseconds()}}
}

func writeError(w http.ResponseWriter, e *result.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	writeJSON(w, e.Code.Info().Status, errorBody(e))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
