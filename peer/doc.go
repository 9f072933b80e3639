// Package peer is how entry hosts talk to each other, by net/rpc.
//
// It carries calls to owners, the exchange of heartbeats, digests and
// revisions, claims on attempts, hand-overs and idempotency keys. net/rpc has
// neither deadlines nor cancellation, so each call is bounded by a timer, a
// connection that hangs is closed, and a host that didn't answer is passed
// over until its heartbeat is seen again.
//
// Nothing here is shared state: each host keeps its own tables, and what it
// learns from others ages.
package peer
