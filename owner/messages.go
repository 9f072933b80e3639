package owner

import (
	"time"

	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// The messages between entry hosts and owners. Times are durations in ms from the arrival of
// the message, because the clocks of hosts differ. Field names are short, because gob sends
// them once per connection.

// ReserveArgs requests decode memory for a time in the future.
type ReserveArgs struct {
	Attempt   request.Attempt
	Endpoint  uint32 // route.Number
	Tokens    int    // of the prompt
	MaxAnswer int
	Expected  int    // tokens of the answer as estimated by the caller; 0: no estimate
	Mark      uint64 // hash of the id by which the engine lists the request; 0: the attempt itself
	Forwarded bool   // by an owner that is leaving
	Abroad    bool   // for a cross-region request
	Bytes     int64  // to transfer
	InMillis  int    // time until the prefill is expected to end
	Slack     int    // ms by which the start may be delayed
	Team      uint32
	Priority  int
	// Spare requests memory for a replica of an answer that another endpoint decodes. That
	// many tokens have to stay free besides. 0: the answer is decoded here.
	Spare int
}

// ReserveReply grants a reservation (Code is result.OK) or refuses it.
type ReserveReply struct {
	Code     result.Code
	InMillis int // time until the transfer may start
	Retry    int // ms after which to retry
	Digest   route.Digest
}

// EnqueueArgs requests a prefill slot. The reply is sent when the prefill engine is free for
// the request, or as soon as it is clear that it won't be in time.
type EnqueueArgs struct {
	Attempt  request.Attempt
	Endpoint uint32
	Tokens   int // of the prompt
	Head     uint32
	HasHead  bool
	Slack    int  // ms within which the prefill must end
	Expect   int  // ms that the wait is expected to take; 0: unknown
	NotYet   int  // ms before which the prefill should not end
	Abroad   bool // for a cross-region request
	Team     uint32
	Priority int
}

// EnqueueReply grants the prefill slot (Code is result.OK) or refuses the request.
type EnqueueReply struct {
	Code   result.Code
	Retry  int
	Digest route.Digest
}

// KeptArgs asks how much of a prompt decode endpoints have cached.
type KeptArgs struct {
	Endpoints []uint32
	Head      uint32 // of the prompt
}

// KeptReply holds the numbers of cached tokens, in the order of KeptArgs.Endpoints.
type KeptReply struct{ Tokens []uint32 }

// Release frees what an attempt holds at an owner and reports its outcome.
type Release struct {
	Attempt  request.Attempt
	Endpoint uint32
	Outcome  Outcome
	Answer   int  // decode: tokens of the answer
	Max      int  // decode: maximum answer length requested
	Expected int  // decode: tokens estimated by the caller; 0: no estimate
	Cached   int  // prefill: tokens that the engine had cached
	Waited   bool // decode: the engine was full when the request arrived
	Millis   int  // time at the engine; decode: from the first event to the last
}

// Outcome is how an attempt at an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	Done       Outcome = iota
	Abandoned          // abandoned by the entry host before it started
	CallerLeft         // the caller left
	Failed             // failed at the endpoint
	Rejected           // the endpoint refused it as not run
	Silent             // the endpoint sent nothing, or accepted no connection in time; unknown to hosts of earlier versions
)

// Handover carries an owner's reservations at an endpoint to its successor.
type Handover struct {
	Endpoint uint32
	Known    bool // the sender had loaded the endpoint's state, and not just made reservations
	Rows     []HandoverRow
}

// HandoverRow is one reservation, which the endpoint may not know of yet.
type HandoverRow struct {
	Attempt   request.Attempt
	Team      uint32
	Tokens    int
	MaxAnswer int
	Expected  int
	Mark      uint64
	Start     int  // ms from now; negative: past
	Moved     int  // the end of the transfer, likewise
	Lease     int  // the end of the lease, likewise
	Seen      bool // the endpoint's list has contained it
}

// millis converts a duration for a message, rounding up.
func millis(d time.Duration) int {
	return int((d + time.Millisecond - 1) / time.Millisecond)
}

// duration converts a time in ms, which may lie in the past.
func duration(ms int) time.Duration {
	limit := int(maxSpan.Milliseconds())
	return time.Duration(min(max(-limit, ms), limit)) * time.Millisecond
}
