// Package endpoint calls model runners and plain services.
//
// Engine is the interface that the router needs of a protocol. Client implements
// embercove's own: HTTP with JSON bodies and server-sent events, similar to the OpenAI API,
// with kv_transfer_params for the transfer of KV cache between prefill and decode. Nothing
// here makes decisions: callers choose the endpoint and whether to call again.
package endpoint

import (
	"github.com/cespare/xxhash/v2"
)

// Paths of an engine's HTTP interface.
const (
	PathCompletions = "/v1/completions"
	PathState       = "/state"
	PathRequests    = "/requests"
	PathAbort       = "/abort_request"
	PathCacheEvents = "/cache_events"
	PathOrders      = "/orders"
)

// Headers of calls to endpoints.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderVersion    = "X-Model-Version"
	HeaderRepeatable = "X-Repeatable"
	HeaderTeam       = "X-Team" // team of the request
)

// HeaderLimit is the header in which an overloaded endpoint names how many requests per
// second it takes, from all hosts together. The limit holds for as long as its answers name
// it.
const HeaderLimit = "X-Request-Limit"

// BytesPerToken is the router's estimate of prompt bytes per token. Engines count tokens
// themselves; the estimate only has to be close.
const BytesPerToken = 4

// Tokens returns the router's estimate of the tokens in n bytes of prompt.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// BlockBytes is the size of a prefix block in bytes of prompt.
const BlockBytes = 1024

// BlockTokens is the size of a prefix block in tokens.
const BlockTokens = BlockBytes / BytesPerToken

// Head returns the hash of the prompt's first block, which identifies its cache entries,
// and whether the prompt is long enough to have one.
func Head(prompt string) (uint32, bool) {
	if len(prompt) < BlockBytes {
		return 0, false
	}
	return uint32(xxhash.Sum64String(prompt[:BlockBytes])), true
}

// Blocks returns the chained hash of each complete block of the prompt.
func Blocks(prompt string) []uint64 {
	out := make([]uint64, 0, len(prompt)/BlockBytes)
	d := xxhash.New()
	for len(prompt) >= BlockBytes {
		d.WriteString(prompt[:BlockBytes])
		out = append(out, d.Sum64())
		prompt = prompt[BlockBytes:]
	}
	return out
}

// Completion is the body of a completion call, for prefill and for decode.
type Completion struct {
	Model      string    `json:"model"`
	Prompt     string    `json:"prompt"`
	MaxTokens  int       `json:"max_tokens"`
	Stream     bool      `json:"stream"`
	Priority   int       `json:"priority"`
	ResumeFrom int       `json:"resume_from,omitempty"` // tokens the caller already has
	Transfer   *Transfer `json:"kv_transfer_params,omitempty"`
}

// Transfer describes the transfer of a KV cache.
type Transfer struct {
	RemoteDecode  bool   `json:"do_remote_decode,omitempty"`
	RemotePrefill bool   `json:"do_remote_prefill,omitempty"`
	Address       string `json:"remote_address,omitempty"`
	Handle        string `json:"remote_handle,omitempty"`
	Bytes         int64  `json:"remote_bytes,omitempty"`
	KeptMillis    int    `json:"kept_ms,omitempty"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// PrefillAnswer is the answer of a prefill engine.
type PrefillAnswer struct {
	ID       string    `json:"id"`
	Usage    Usage     `json:"usage"`
	Transfer *Transfer `json:"kv_transfer_params"`
}

// Choice is one part of a streamed answer.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Chunk is one event of a decode stream. A chunk with Imported set reports the progress of
// a transfer and has no text.
type Chunk struct {
	ID       string   `json:"id"`
	Offset   int      `json:"offset"` // number of the first token of the chunk
	Choices  []Choice `json:"choices,omitempty"`
	Usage    *Usage   `json:"usage,omitempty"`
	Imported *int64   `json:"imported_bytes,omitempty"`

	// The chunk as it is sent to the caller, and its event id, in protocols whose chunks
	// are forwarded unchanged.
	Raw     []byte `json:"-"`
	EventID string `json:"-"`
}

// Problem is the body of an endpoint's error response.
type Problem struct {
	Error  string `json:"error"`
	NotRun bool   `json:"not_run"` // the endpoint vouches that nothing ran
}

// State is an endpoint's own report of its load. It lags behind the actual load.
type State struct {
	Engine       string   `json:"engine"`
	Incarnation  uint64   `json:"incarnation"`
	Role         string   `json:"role"`
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Adapters     []string `json:"adapters,omitempty"`
	Fence        uint64   `json:"fence"` // fence of the last order that it applied
	Leaving      bool     `json:"leaving"`
	MemoryUsed   int      `json:"memory_used"` // tokens
	Running      int      `json:"running"`
	QueuedTokens int      `json:"queued_tokens"`
	// The requests that the endpoint holds, and whether its reports include them, as those
	// of some protocols do.
	Held        []Running `json:"-"`
	ReportsHeld bool      `json:"-"`
	Notice      Notice    `json:"-"` // from the head of the report
}

// Running is one row of an endpoint's list of the requests it holds.
type Running struct {
	ID        string `json:"id"` // attempt, as sent in HeaderRequestID
	Tokens    int    `json:"tokens"`
	AgeMillis int    `json:"age_ms"`
	Written   int    `json:"written,omitempty"` // answer tokens so far, if the endpoint reports them
}

// RunningList is an endpoint's own list of requests that hold its memory.
type RunningList struct {
	Requests []Running `json:"requests"`
}

// Abort asks an endpoint to cancel a request, or all its attempts if the id has no attempt
// number.
type Abort struct {
	ID string `json:"rid"`
}

// CacheEvent reports that the head of a prompt was stored or evicted.
type CacheEvent struct {
	Head   uint32 `json:"head"`
	Tokens int    `json:"tokens"` // cached tokens from the start of the prompt; 0: evicted
}

// CacheEvents is a section of the event feed. If First is larger than the requested
// sequence number, events are missing.
type CacheEvents struct {
	// Epoch changes when the endpoint has restarted with an empty cache; 0: the protocol
	// doesn't report it.
	Epoch  uint64       `json:"epoch,omitempty"`
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// Order tells an endpoint which role, model, version and adapters to take. Repeating it is
// safe. An endpoint that checks fences refuses an order that is older than the last one it
// applied.
type Order struct {
	Fence    uint64   `json:"fence"`
	Role     string   `json:"role"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Holder   string   `json:"holder,omitempty"` // host that sends the order
}
