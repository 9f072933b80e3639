// Package entry is the callers' side of an entry host: it takes requests over
// HTTP, carries each through reservation, prefill, transfer and decode, and
// relays the answer.
//
// It asks route where to go and owners for room; it decides itself what may
// be tried again, and what a caller is told. Two rules come before all else:
// a refusal marked as not run follows no call that may have run, and a
// request that may not be repeated starts once.
package entry
