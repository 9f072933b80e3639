// Package versions remembers which software version began each answer.
//
// What two software versions of a service write doesn't fit together, and endpoints don't check it. So an
// answer that has begun goes on only at endpoints of the version that wrote its first piece. The host that
// passes that piece on knows the version; it tells some other hosts before the caller has the piece, as
// a caller may take its answer up at any of them. An answer without a record goes on nowhere.
//
// A Table holds the records of one host. It does no I/O and takes the time.
package versions

import (
	"sync"
	"time"

	"github.com/embercove/embercove/request"
)

// Record says which software version began an answer.
type Record struct {
	// Answer is the fingerprint of the attempt that brought the answer's first piece.
	Answer    request.Fingerprint
	Software  string
	Endpoint  string // its name
	AgeMillis int64  // since the first piece; set in messages
}

// Bounds of the records that are kept.
const (
	// keepFor is how long a record is kept: longer than callers wait for an answer, attempts to take it up included.
	keepFor = 3 * time.Minute
	// maxRecords is how many records are kept, some 3 MB. Beyond that the oldest is dropped, whoever its
	// caller is.
	maxRecords = 16384
)

// Table holds the records of one host.
type Table struct {
	mu      sync.Mutex
	records map[request.Fingerprint]*entry
	order   []request.Fingerprint // in the order in which they were added
	counts  Counts
}

// entry is a record in a table.
type entry struct {
	record    Record
	at        time.Time // of the answer's first piece
	ambiguous bool      // several versions are said to have begun it
}

// Counts holds the statistics of a table.
type Counts struct {
	Added     uint64 // records
	Evicted   uint64 // records that were dropped for lack of room
	Ambiguous uint64 // answers that several versions were said to have begun
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[request.Fingerprint]*entry{}} }

// Add adds a record. If another version is known to have begun the same answer, neither is believed.
func (t *Table) Add(r Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-time.Duration(max(0, r.AgeMillis)) * time.Millisecond)
	if known := t.records[r.Answer]; known != nil {
		if known.record.Software != r.Software && !known.ambiguous {
			known.ambiguous = true
			t.counts.Ambiguous++
		}
		return
	}
	t.dropOld(now)
	t.records[r.Answer] = &entry{record: r, at: at}
	t.order = append(t.order, r.Answer)
	t.counts.Added++
}

// dropOld drops the records that were kept long enough, and the oldest one if the table is full. The
// caller holds the lock.
func (t *Table) dropOld(now time.Time) {
	n := 0
	for n < len(t.order) {
		full := len(t.order)-n >= maxRecords
		if !full && now.Sub(t.records[t.order[n]].at) < keepFor {
			break
		}
		if full {
			t.counts.Evicted++
		}
		delete(t.records, t.order[n])
		n++
	}
	t.order = t.order[n:]
}

// Find returns the record of an answer. It returns false if there is none, or none that can be believed.
func (t *Table) Find(answer request.Fingerprint, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[answer]
	if e == nil || e.ambiguous || now.Sub(e.at) >= keepFor {
		return Record{}, false
	}
	return e.record, true
}

// Since returns the records of answers that began less than d ago, the latest first, at most n.
func (t *Table) Since(d time.Duration, n int, now time.Time) (out []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.order) - 1; i >= 0 && len(out) < n; i-- {
		e := t.records[t.order[i]]
		if e.ambiguous || now.Sub(e.at) >= d {
			continue
		}
		r := e.record
		r.AgeMillis = max(0, now.Sub(e.at).Milliseconds())
		out = append(out, r)
	}
	return out
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Counts returns the statistics.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}
