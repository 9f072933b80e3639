// Package endpoint talks to model runners and plain services.
//
// Engine is what the router asks of a protocol. Client is the project's own:
// HTTP with JSON bodies and server-sent events, in the manner of the OpenAI
// API with kv_transfer_params for the hand-over between prefill and decode.
// Nothing here decides: which endpoint is called, and whether again, is its
// callers' business.
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

// Headers that endpoints are given.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderVersion    = "X-Model-Version"
	HeaderRepeatable = "X-Repeatable"
	HeaderTeam       = "X-Team" // that the request belongs to
)

// HeaderLimit is how an endpoint in need names in its answers how many requests a second it
// takes, from all hosts together and for as long as it says so.
const HeaderLimit = "X-Request-Limit"

// BytesPerToken is how many bytes of prompt the router counts as one token.
// Engines count for themselves; the router's figure only has to be close.
const BytesPerToken = 4

// Tokens returns the router's count of tokens in n bytes of prompt.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// BlockBytes is the size of a prefix block in bytes of prompt.
const BlockBytes = 1024

// BlockTokens is the size of a prefix block in tokens.
const BlockTokens = BlockBytes / BytesPerToken

// Head returns the number of the prompt's first block, by which caches are
// told apart, and whether the prompt is long enough to have one.
func Head(prompt string) (uint32, bool) {
	if len(prompt) < BlockBytes {
		return 0, false
	}
	return uint32(xxhash.Sum64String(prompt[:BlockBytes])), true
}

// Blocks returns the chained hash of each whole block of the prompt.
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

// Completion is the body of a completion call, to prefill and decode alike.
type Completion struct {
	Model      string    `json:"model"`
	Prompt     string    `json:"prompt"`
	MaxTokens  int       `json:"max_tokens"`
	Stream     bool      `json:"stream"`
	Priority   int       `json:"priority"`
	ResumeFrom int       `json:"resume_from,omitempty"` // tokens the caller already has
	Transfer   *Transfer `json:"kv_transfer_params,omitempty"`
}

// Transfer says how KV cache is handed over.
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

// PrefillAnswer is what a prefill engine answers.
type PrefillAnswer struct {
	ID       string    `json:"id"`
	Usage    Usage     `json:"usage"`
	Transfer *Transfer `json:"kv_transfer_params"`
}

// Choice is one piece of a streamed answer.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Chunk is one event of a decode stream. A chunk with Imported set reports
// the progress of a transfer and carries no text.
type Chunk struct {
	ID       string   `json:"id"`
	Offset   int      `json:"offset"` // number of the first token of the chunk
	Choices  []Choice `json:"choices,omitempty"`
	Usage    *Usage   `json:"usage,omitempty"`
	Imported *int64   `json:"imported_bytes,omitempty"`

	// Raw is the piece as it goes to the caller, and Mark names it, in
	// protocols whose pieces are passed on as they came.
	Raw  []byte `json:"-"`
	Mark string `json:"-"`
}

// Problem is the body of an endpoint's error answer.
type Problem struct {
	Error  string `json:"error"`
	NotRun bool   `json:"not_run"` // the endpoint vouches that nothing ran
}

// State is an endpoint's own report of its load. It lags.
type State struct {
	Engine       string   `json:"engine"`
	Incarnation  uint64   `json:"incarnation"`
	Role         string   `json:"role"`
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Adapters     []string `json:"adapters,omitempty"`
	Fence        uint64   `json:"fence"` // revision of the last order taken
	Leaving      bool     `json:"leaving"`
	MemoryUsed   int      `json:"memory_used"` // tokens
	Running      int      `json:"running"`
	QueuedTokens int      `json:"queued_tokens"`
	// Held is the list of what the endpoint holds, in protocols whose
	// reports carry it; Lists says so.
	Held   []Running `json:"-"`
	Lists  bool      `json:"-"`
	Notice Notice    `json:"-"` // by the report's head
}

// Running is one row of an endpoint's list of what it holds.
type Running struct {
	ID        string `json:"id"` // attempt, as given by HeaderRequestID
	Tokens    int    `json:"tokens"`
	AgeMillis int    `json:"age_ms"`
	Written   int    `json:"written,omitempty"` // tokens of the answer so far, where the endpoint tells
}

// RunningList is an endpoint's own list of requests that hold its memory.
type RunningList struct {
	Requests []Running `json:"requests"`
}

// Abort asks an endpoint to give up a request, every attempt of it if the
// id carries no attempt number.
type Abort struct {
	ID string `json:"rid"`
}

// CacheEvent tells that a prompt's head was stored or evicted.
type CacheEvent struct {
	Head   uint32 `json:"head"`
	Tokens int    `json:"tokens"` // cached from the start; 0: evicted
}

// CacheEvents is a stretch of the event feed. A gap shows as First being
// larger than the sequence number asked for.
type CacheEvents struct {
	// Epoch changes when the endpoint has restarted and forgotten all; 0 where
	// the protocol doesn't tell.
	Epoch  uint64       `json:"epoch,omitempty"`
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// Order brings an endpoint to a state. It is safe to repeat; an endpoint
// that checks fences refuses one that is older than what it took.
type Order struct {
	Fence    uint64   `json:"fence"`
	Role     string   `json:"role"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Holder   string   `json:"holder,omitempty"` // host that gives the order
}
