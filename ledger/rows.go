package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// row is a reservation of decode memory, or a request that the engine holds.
type row struct {
	attempt   request.Attempt
	team      uint32
	tokens    int // prompt and the answer asked for
	prompt    int
	maxAnswer int
	expected  int       // answer by the caller's guess; 0: none
	mark      uint64    // of the id by which the engine lists it; 0: the attempt itself
	start     time.Time // when the engine's memory is taken: the transfer begins
	moved     time.Time // end of the transfer
	held      int       // tokens that the engine's last list told of
	listed    time.Time // when that came
	lease     time.Time // until when it stands without being seen at the engine
	seen      bool      // the engine's own list has it
	copied    bool      // a copy of an answer that another engine writes: it takes memory and no slot
}

// span returns when the row's transfer begins and ends. A request that the
// engine hasn't shown yet can't have begun before now, whatever was forecast.
func (r *row) span(now time.Time) (start, moved time.Time) {
	if r.seen || r.start.After(now) {
		return r.start, r.moved
	}
	return now, now.Add(r.moved.Sub(r.start))
}

// expire drops reservations that were never taken up. What the engine holds
// stays, however long its holder has been silent.
func (l *Ledger) expire(now time.Time) {
	for a, r := range l.rows {
		if !r.seen && now.After(r.lease) {
			l.drop(a)
		}
	}
}

// drop forgets a row.
func (l *Ledger) drop(a request.Attempt) {
	if r := l.rows[a]; r != nil && r.mark != 0 {
		delete(l.marked, r.mark)
	}
	delete(l.rows, a)
}

// add enters a reservation.
func (l *Ledger) add(a Ask, start, moved, lease time.Time) {
	l.rows[a.Attempt] = &row{attempt: a.Attempt, team: a.Team, tokens: a.Tokens + a.MaxAnswer, prompt: a.Tokens,
		maxAnswer: a.MaxAnswer, expected: a.Expected, mark: a.Mark, start: start, moved: moved, lease: lease}
	if a.Mark != 0 {
		l.marked[a.Mark] = a.Attempt
	}
}

// listedAs is the attempt that stands for a request which the engine lists
// under another id than the attempt's.
func listedAs(mark uint64) request.Attempt {
	return request.Attempt{ID: request.ID{Counter: mark}}
}

// Row is a row as another owner is told of it.
type Row struct {
	Ask   Ask
	Start time.Time // when the engine's memory is taken
	Moved time.Time // end of the transfer
	Lease time.Time // until when it stands without being seen at the engine
	Seen  bool      // the engine's own list has it
}

// Rows returns the rows that a successor can't read from the engine's list, and of an
// engine whose memory grows all of them.
func (l *Ledger) Rows() []Row {
	var out []Row
	for _, r := range l.rows {
		if r.seen && !l.spec.GrowsMemory {
			continue
		}
		ask := Ask{Attempt: r.attempt, Team: r.team, Tokens: r.tokens - r.maxAnswer, MaxAnswer: r.maxAnswer, Expected: r.expected, Mark: r.mark}
		out = append(out, Row{Ask: ask, Start: r.start, Moved: r.moved, Lease: r.lease, Seen: r.seen})
	}
	return out
}

// Accept takes in a row of another owner, unless the attempt has ended or is known.
func (l *Ledger) Accept(r Row) {
	if _, over := l.ended[r.Ask.Attempt]; over || l.rows[r.Ask.Attempt] != nil {
		return
	}
	l.add(r.Ask, r.Start, r.Moved, r.Lease)
	l.rows[r.Ask.Attempt].seen = r.Seen
}

// Foreign returns a stand-in for an attempt that embercove didn't send. Host 0 marks
// it; it is never cancelled.
func Foreign(id string) request.Attempt {
	return request.Attempt{ID: request.ID{Counter: xxhash.Sum64String(id)}}
}
