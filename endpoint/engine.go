package endpoint

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/embercove/embercove/request"
)

// Engine speaks one protocol to model runners and plain services. Client implements
// embercove's own; package platform implements another. An Engine makes no decisions: its
// callers choose the endpoint and whether to call again. Errors are *CallError wherever
// it matters whether a request may have run.
type Engine interface {
	// Traits returns what the protocol guarantees.
	Traits() Traits
	// Prefill has a prompt prefilled and its KV cache exported.
	Prefill(ctx context.Context, call Call, work *Work) (*PrefillAnswer, error)
	// Decode starts an answer, from work.Transfer if that is set.
	Decode(ctx context.Context, call Call, work *Work) (Stream, error)
	// Service forwards a call to a plain service.
	Service(ctx context.Context, call Call, work *Work) (*Answer, error)
	// State returns the endpoint's own report, which lags.
	State(ctx context.Context, addr string) (*State, error)
	// Requests returns the endpoint's own list of the requests it holds.
	Requests(ctx context.Context, addr string) ([]Running, error)
	// Abort cancels a request, or one attempt of it.
	Abort(ctx context.Context, addr, id string) error
	// Discard frees an exported result that won't be used.
	Discard(ctx context.Context, kv *Transfer) error
	// CacheEvents reads the event feed from a sequence number on.
	CacheEvents(ctx context.Context, addr string, after uint64) (*CacheEvents, error)
	// Order tells the endpoint which state to take.
	Order(ctx context.Context, addr string, o Order) error
	// CloseIdle closes idle connections.
	CloseIdle()
}

// Traits are what a protocol guarantees about its endpoints.
type Traits struct {
	// A prefill counts as a run of its request. A request that may not be repeated is then
	// prefilled only once.
	PrefillRuns bool
	// Closing the connection cancels its request, so no Abort is needed.
	DisconnectAborts bool
	// A decode endpoint prefills a prompt itself if it receives no exported result.
	DecodePrefills bool
	// A decode endpoint caches the prompts it has held while it has free memory, reports
	// them in its cache feed, and doesn't prefill them again.
	DecodeCaches bool
	// Endpoints keep replicas of the KV cache of each other's runs, if their pool is
	// configured so, and a run can resume from a replica.
	Replicas bool
}

// Work is one request as engines receive it.
type Work struct {
	Completion
	// The caller's own request, for protocols that forward it unchanged. Always set for
	// plain services.
	Origin *request.Origin
	// The time at which the caller stops waiting, by package clock; zero: never.
	Deadline time.Time
	// The id of the last event that the caller received.
	LastEventID string
	// The address of the endpoint that should keep a replica of the run's KV cache as it
	// grows; empty: none.
	ReplicaAddress string
	// The replica that the answer resumes from, as the same run; nil: it is a new run.
	Replica *Replica
}

// Replica is a replica of a run's KV cache at another endpoint than the one that runs it.
type Replica struct {
	Address string // of the endpoint that keeps it
	Handle  string // by which that endpoint finds it
}

// AnswerHead is the head of an endpoint's answer.
type AnswerHead struct {
	Status int
	Header http.Header
}

// Answer is an answer that isn't streamed. Body must be closed; a read error before its end
// means that the answer broke off.
type Answer struct {
	AnswerHead
	Length int64 // -1: unknown
	// EndsByClose tells that the body ends where the endpoint closes its connection, as it does too if the endpoint breaks off.
	EndsByClose bool
	Streams     bool // each piece is forwarded as it comes
	Body        io.ReadCloser
}

// EndsByClose reports whether a response states neither a length nor chunks.
func EndsByClose(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// NewAnswer returns the answer in a response.
func NewAnswer(res *http.Response) *Answer {
	return &Answer{AnswerHead: AnswerHead{Status: res.StatusCode, Header: res.Header}, Length: res.ContentLength,
		EndsByClose: EndsByClose(res), Body: BoundBody(res.Body, res.ContentLength)}
}

// Stream is a streamed answer.
type Stream interface {
	// Head returns the head to send to the caller; nil if the front end makes its own.
	Head() *AnswerHead
	// Next returns the next chunk. It returns io.EOF only after a complete answer; for a
	// stream that just ends it returns io.ErrUnexpectedEOF.
	Next() (*Chunk, error)
	// Close ends the stream. To an engine that is still writing, its caller has
	// disconnected.
	Close() error
}
