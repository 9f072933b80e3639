package peer

import (
	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/request"
)

// Names of the remote methods.
const (
	methodReserve   = "P.Reserve"
	methodStart     = "P.Start"
	methodVote      = "P.Vote"
	methodLimit     = "P.Limit"
	methodEnqueue   = "P.Enqueue"
	methodRelease   = "P.Release"
	methodExchange  = "P.Exchange"
	methodFetch     = "P.FetchPacked"
	methodClaims    = "P.Claims"
	methodHandover  = "P.Handover"
	methodInherit   = "P.Inherit"
	methodKeyBegin  = "P.KeyBegin"
	methodKeyEnd    = "P.KeyEnd"
	methodPing      = "P.Ping"
	methodKept      = "P.Kept"
	methodDraw      = "P.Draw"
	methodSettle    = "P.Settle"
	methodStanding  = "P.Standing"
	methodMarks     = "P.Marks"
	methodTrial     = "P.Trial"
	methodTrialDone = "P.TrialDone"
)

// Beat is a heartbeat of a host, handed on.
type Beat struct {
	Number      uint32
	Incarnation uint64
	Beat        uint64
	Leaving     bool
}

// Name introduces a host whose number the other side doesn't know.
type Name struct {
	Name, Domain, Region, Peers string
}

// ExchangeArgs and ExchangeReply carry the same: what each side knows.
type ExchangeArgs struct {
	From     Name
	Revision uint64
	Roster   config.Position // of the endpoints that registered themselves
	Fence    uint64          // highest that an order is known to have carried
	Beats    []Beat
	Digests  []byte   // packed
	Gone     []Beat   // hosts that a watcher could not reach
	Names    []Name   // introductions that were asked for
	Want     []uint32 // hosts to introduce
	Heads    bool     // cached prompts are told of as well
	News     bool     // no digests are told of, either way
	Members  uint64   // hash of the hosts that are taken for members
	All      bool     // every heartbeat is asked for
	Regions  []byte   // packed summaries of regions
	Marks    uint64   // sum of what is known of requests under which endpoints ended; 0: nothing
	Heard    uint32   // ms since the platform answered what the sender knows, and 1; 0: it never did
}

// ExchangeReply is the answer to ExchangeArgs.
type ExchangeReply ExchangeArgs

// FetchArgs asks for what is newer than the asker's.
type FetchArgs struct {
	After  uint64          // revision that the asker has; 0: none
	Sum    uint64          // xxhash of its document
	Roster config.Position // of its roster
}

// FetchReply carries a document, revision 0: nothing newer; and a roster.
type FetchReply struct {
	Document PackedDocument
	Whole    []byte               // a packed roster; empty: none newer than FetchArgs.Roster, or Change tells it
	Change   *config.RosterChange // since the asker's roster
}

// ReleaseArgs carries several releases at once.
type ReleaseArgs struct{ Rows []owner.Release }

// InheritArgs asks for what a host has reserved of an endpoint.
type InheritArgs struct{ Endpoint uint32 }

// ClaimsArgs asks which attempts a host still holds.
type ClaimsArgs struct{ Attempts []request.Attempt }

// ClaimsReply answers in the same order.
type ClaimsReply struct{ Held []bool }

// KeyArgs looks an idempotency key up and takes it, or ends it.
type KeyArgs struct {
	Record blackboard.KeyRecord
	// AgeMillis is how long ago the caller first sent the key; 0: now.
	AgeMillis int64
	// Copy marks the second holder's copy; it asks nobody further.
	Copy bool
}

// KeyReply is the state found; KeyNew means that the asker now holds it.
type KeyReply struct {
	State  blackboard.KeyState
	Record blackboard.KeyRecord
	// TenureMillis is how long the answering host has seen every key that
	// it was asked about.
	TenureMillis int64
}

// Nothing is an empty reply.
type Nothing struct{}
