package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// row is a reservation of decode memory, or a request that the engine holds.
type row struct {
	attempt      request.Attempt
	team         uint32
	tokens       int // prompt and requested answer
	prompt       int
	maxAnswer    int
	expected     int       // answer estimated by the caller; 0: none
	idHash       uint64    // hash of the id under which the engine lists it; 0: the attempt itself
	start        time.Time // when the engine's memory is taken: the transfer begins
	transferEnd  time.Time // when decoding begins
	listedTokens int       // tokens by the engine's last list
	listedAt     time.Time // when that list came
	lease        time.Time // when it expires unless the engine has shown it
	seen         bool      // the engine's own list has it
	replica      bool      // a replica of a request's KV cache: it takes memory and no slot
}

// span returns when the row's transfer begins and ends. A request that the engine hasn't shown yet
// can't have begun before now, whatever the forecast was.
func (r *row) span(now time.Time) (start, transferEnd time.Time) {
	if r.seen || r.start.After(now) {
		return r.start, r.transferEnd
	}
	return now, now.Add(r.transferEnd.Sub(r.start))
}

// expire drops reservations that were never used. What the engine holds stays, however long its
// holder has been silent.
func (l *Ledger) expire(now time.Time) {
	for a, r := range l.rows {
		if !r.seen && now.After(r.lease) {
			l.drop(a)
		}
	}
}

// drop removes a row.
func (l *Ledger) drop(a request.Attempt) {
	if r := l.rows[a]; r != nil && r.idHash != 0 {
		delete(l.byIDHash, r.idHash)
	}
	delete(l.rows, a)
}

// add enters a reservation.
func (l *Ledger) add(a Request, start, transferEnd, lease time.Time) {
	l.rows[a.Attempt] = &row{attempt: a.Attempt, team: a.Team, tokens: a.Tokens + a.MaxAnswer, prompt: a.Tokens,
		maxAnswer: a.MaxAnswer, expected: a.Expected, idHash: a.IDHash, start: start, transferEnd: transferEnd, lease: lease}
	if a.IDHash != 0 {
		l.byIDHash[a.IDHash] = a.Attempt
	}
}

// listedAttempt returns the attempt that stands for a request which the engine lists under another
// id than the attempt's.
func listedAttempt(idHash uint64) request.Attempt {
	return request.Attempt{ID: request.ID{Counter: idHash}}
}

// Row is a row in the form handed to another owner.
type Row struct {
	Request     Request
	Start       time.Time // when the engine's memory is taken
	TransferEnd time.Time // end of the transfer
	Lease       time.Time // when it expires unless the engine has shown it
	Seen        bool      // the engine's own list has it
}

// Rows returns the rows that a successor can't read from the engine's list; for an engine whose
// memory grows, all rows.
func (l *Ledger) Rows() []Row {
	var out []Row
	for _, r := range l.rows {
		if r.seen && !l.spec.GrowsMemory {
			continue
		}
		req := Request{Attempt: r.attempt, Team: r.team, Tokens: r.tokens - r.maxAnswer, MaxAnswer: r.maxAnswer, Expected: r.expected, IDHash: r.idHash}
		out = append(out, Row{Request: req, Start: r.start, TransferEnd: r.transferEnd, Lease: r.lease, Seen: r.seen})
	}
	return out
}

// Accept adds a row of another owner, unless the attempt has ended or is known.
func (l *Ledger) Accept(r Row) {
	if _, over := l.ended[r.Request.Attempt]; over || l.rows[r.Request.Attempt] != nil {
		return
	}
	l.add(r.Request, r.Start, r.TransferEnd, r.Lease)
	l.rows[r.Request.Attempt].seen = r.Seen
}

// ForeignAttempt returns a stand-in for an attempt that embercove didn't send, recognizable by host
// 0. It is never canceled.
func ForeignAttempt(id string) request.Attempt {
	return request.Attempt{ID: request.ID{Counter: xxhash.Sum64String(id)}}
}
