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
	methodPingFor   = "P.PingFor"
	methodKept      = "P.Kept"
	methodDraw      = "P.Draw"
	methodSettle    = "P.Settle"
	methodStanding  = "P.Standing"
	methodMarks     = "P.Marks"
	methodTrial     = "P.Trial"
	methodTrialDone = "P.TrialDone"
	methodTunnel    = "P.Tunnel"
	methodVersions  = "P.Versions"
	methodVersion   = "P.Version"
	methodRecords   = "P.VersionsSince"
)

// Heartbeat is a host's heartbeat, as hosts forward it.
type Heartbeat struct {
	Number      uint32
	Incarnation uint64
	Beat        uint64
	Leaving     bool
}

// PingForArgs asks a host to ping another one.
type PingForArgs struct{ Number uint32 }

// PingForReply answers PingForArgs.
type PingForReply struct {
	Reached   bool
	Heartbeat Heartbeat // of the host that was pinged, if it was reached
}

// HostIdentity introduces a host that the receiver knows only by number, or not at all.
type HostIdentity struct {
	Name, Domain, Region, Peers string
}

// ExchangeArgs carries what the sender knows. ExchangeReply has the same fields.
type ExchangeArgs struct {
	From     HostIdentity
	Revision uint64
	Roster   config.Position // revision of the registered endpoints
	Fence    uint64          // highest fence that any order is known to have carried
	Beats    []Heartbeat
	Digests  []byte         // packed
	Gone     []Heartbeat    // hosts that a watcher could not reach
	Names    []HostIdentity // the hosts that were requested by Want
	Want     []uint32       // hosts whose identity is requested
	Heads    bool           // cached prompts are included
	News     bool           // a change notice: no digests in either direction
	Members  uint64         // hash of the hosts that the sender considers members
	All      bool           // all heartbeats are requested
	Regions  []byte         // packed region summaries
	Marks    uint64         // checksum of the failure marks; 0: none
	Learning bool           // the sender has just started, and knows less than others
	Heard    uint32         // 1 + ms since the platform confirmed what the sender knows; 0: it never did
	Sent     SentAt
}

// ExchangeReply is the answer to ExchangeArgs.
type ExchangeReply ExchangeArgs

// FetchArgs requests whatever is newer than the sender's revisions.
type FetchArgs struct {
	After  uint64          // revision that the sender has; 0: none
	Sum    uint64          // xxhash of its document
	Roster config.Position // of its roster
}

// FetchReply carries a document and a roster. Revision 0 of the document means that nothing newer
// exists.
type FetchReply struct {
	Document PackedDocument
	Whole    []byte               // packed roster; empty: none newer than FetchArgs.Roster, or Change has it
	Change   *config.RosterChange // since the roster of FetchArgs
	Software bool                 // endpoints state their software; hosts of earlier versions leave it out
}

// ReleaseArgs carries a batch of releases.
type ReleaseArgs struct{ Rows []owner.Release }

// InheritArgs requests a host's reservations at an endpoint.
type InheritArgs struct{ Endpoint uint32 }

// ClaimsArgs asks which of the attempts a host still holds.
type ClaimsArgs struct{ Attempts []request.Attempt }

// ClaimsReply answers in the order of ClaimsArgs.
type ClaimsReply struct{ Held []bool }

// KeyArgs looks up and takes an idempotency key, or ends its use.
type KeyArgs struct {
	Record blackboard.KeyRecord
	// AgeMillis is how long ago the client first sent the key; 0: just now.
	AgeMillis int64
	// Copy marks a call to the second holder, which forwards it to nobody.
	Copy bool
}

// KeyReply is the state found. KeyNew means that the caller now holds the key.
type KeyReply struct {
	State  blackboard.KeyState
	Record blackboard.KeyRecord
	// TenureMillis is for how long the answering host has seen all uses of its keys.
	TenureMillis int64
}

// Nothing is an empty message.
type Nothing struct{}
