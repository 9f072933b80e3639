// Package entry is the callers' side of an entry host: it receives requests over HTTP,
// takes each through reservation, prefill, transfer and decode, and relays the answer.
//
// Package route chooses the endpoints and their owners grant capacity; this package decides
// what may be retried and what a caller receives. Two rules come first: a refusal marked as
// not run never follows a call that may have run, and a request that may not be repeated is
// started once.
package entry
