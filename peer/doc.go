// Package peer implements the communication between entry hosts, over net/rpc.
//
// It carries calls to owners, the exchange of heartbeats, digests and revisions, claims on
// attempts, handovers and idempotency keys. net/rpc has neither deadlines nor cancellation, so
// each call is bounded by a timer, a connection that hangs is closed, and a host that didn't
// answer is skipped until its next heartbeat arrives.
//
// Hosts share no state: each keeps its own tables, and what it learned from others ages.
package peer
