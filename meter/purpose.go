package meter

import "sync/atomic"

// Purpose is what calls between hosts are for. What a host spends is counted by it, so
// that what grows with the fleet can be told from what grows with the requests.
type Purpose int

// The purposes.
const (
	Exchange Purpose = iota // heartbeats and digests, with one host a round
	News                    // exchanges without digests: what must be in force soon, names
	Members                 // exchanges with every heartbeat
	Fetch                   // documents and rosters
	Owners                  // turns, reservations and releases at endpoints' owners
	Books                   // what owners tell and ask each other: books, claims, kept prompts
	Quotas                  // teams' quotas
	Keys                    // idempotency keys
	Pings                   // signs of life
	purposes
)

// String returns the name that metrics have.
func (p Purpose) String() string {
	return [purposes]string{"exchange", "news", "members", "fetch", "owners", "books", "quotas", "keys", "pings"}[p]
}

// Purposes returns all purposes.
func Purposes() []Purpose {
	out := make([]Purpose, purposes)
	for i := range out {
		out[i] = Purpose(i)
	}
	return out
}

// Spent is what a host has spent on one purpose: bytes of messages without packets, and
// calls that it made and that it answered.
type Spent struct {
	In, Out        atomic.Uint64
	Made, Answered atomic.Uint64
}

// Ledger counts by purpose. The zero value works.
type Ledger [purposes]Spent

// Of returns the counters of a purpose.
func (l *Ledger) Of(p Purpose) *Spent { return &l[p] }
