package owner

import (
	"time"

	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// The messages between an entry host and an owner. Times are durations in
// ms from the arrival of the message, because hosts' clocks differ; field
// names are short, because they cross the wire once for each connection.

// ReserveArgs asks for decode memory at a moment to come.
type ReserveArgs struct {
	Attempt   request.Attempt
	Endpoint  uint32 // route.Number
	Tokens    int    // of the prompt
	MaxAnswer int
	Expected  int    // tokens of the answer by the caller's own guess; 0: none
	Mark      uint64 // of the id by which the engine lists the request; 0: the attempt itself
	Forwarded bool   // by an owner that is leaving
	Abroad    bool   // for a request that left its region
	Bytes     int64  // to transfer
	InMillis  int    // when the prefill is expected to end
	Slack     int    // ms by which the start may come later
	Team      uint32
	Priority  int
	// Spare asks for room for a copy of an answer that another endpoint writes, beside
	// which so many tokens have to stay free; 0: the answer is written here.
	Spare int
}

// ReserveReply grants a reservation (Code is result.OK) or refuses it.
type ReserveReply struct {
	Code     result.Code
	InMillis int // when the transfer may start
	Retry    int // ms after which to come back
	Digest   route.Digest
}

// EnqueueArgs asks to be called when the prefill engine is free. The reply
// comes when it is, or when it is clear that it won't be in time.
type EnqueueArgs struct {
	Attempt  request.Attempt
	Endpoint uint32
	Tokens   int // of the prompt
	Head     uint32
	HasHead  bool
	Slack    int  // ms by which reading must have ended
	Expect   int  // ms that the wait is expected to take; 0: unknown
	NotYet   int  // ms before which reading should not end
	Abroad   bool // for a request that left its region
	Team     uint32
	Priority int
}

// EnqueueReply calls the request to the engine (Code is result.OK) or
// refuses it.
type EnqueueReply struct {
	Code   result.Code
	Retry  int
	Digest route.Digest
}

// KeptArgs asks whether decode endpoints keep a prompt.
type KeptArgs struct {
	Endpoints []uint32
	Head      uint32 // of the prompt
}

// KeptReply answers in the same order.
type KeptReply struct{ Tokens []uint32 }

// Release ends what an attempt holds at an owner and tells what was learned.
type Release struct {
	Attempt  request.Attempt
	Endpoint uint32
	Outcome  Outcome
	Answer   int  // decode: tokens written
	Max      int  // decode: tokens asked for
	Expected int  // decode: tokens that the caller guessed; 0: none
	Cached   int  // prefill: tokens that the engine had cached
	Waited   bool // decode: the engine was full when the request came
	Millis   int  // time at the engine; decode: from the first piece to the last
}

// Outcome is how an attempt at an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	Done     Outcome = iota
	GivenUp          // by the entry host, before it began
	Left             // by the caller
	Failed           // the endpoint broke it
	Rejected         // the endpoint refused it as not run
)

// Handover is what a leaving owner tells its successor of an endpoint.
type Handover struct {
	Endpoint uint32
	Known    bool // the teller's book stood on more than its own reservations
	Rows     []HandoverRow
}

// HandoverRow is one reservation that the endpoint can't know of yet.
type HandoverRow struct {
	Attempt   request.Attempt
	Team      uint32
	Tokens    int
	MaxAnswer int
	Expected  int
	Mark      uint64
	Start     int // ms from now; negative: past
	Moved     int
	Lease     int
	Seen      bool // the endpoint's list had it
}

// millis converts a duration for a message, rounding up.
func millis(d time.Duration) int {
	return int((d + time.Millisecond - 1) / time.Millisecond)
}

func duration(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
