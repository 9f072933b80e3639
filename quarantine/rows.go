package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// Apply applies rows from another host, and returns rows to send to all hosts in turn: those that
// clear a request that is suspected elsewhere but was just answered completely here.
func (r *Registry) Apply(rows []Row, now time.Time) (answer []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if row.Stage >= stages || row.Request.IsZero() {
			continue // from a later version
		}
		k := recordKey{row.Request, row.Stage}
		at := now.Add(-time.Duration(max(0, row.AgeMillis)) * time.Millisecond)
		if !row.Mark.isClear() && now.Sub(at) < crashTTL {
			r.events.addSuspect(row.Process, k, suspect{row.Mark.Epoch, !row.Old}, at)
		}
		learned := &record{mark: row.Mark, at: at, team: row.Team, process: row.Process, old: row.Old, endpoint: row.Endpoint, host: row.Host, history: row.history(now)}
		if !r.put(k, learned, now) {
			continue
		}
		if !row.Mark.isClear() && r.recent.contains(k, now) {
			answer = append(answer, r.clear(k, now)...)
		}
	}
	return append(answer, r.due(now)...)
}

// Rows returns all marks, the latest first, for a host with a different set.
func (r *Registry) Rows(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]Row, 0, len(r.records))
	for k, c := range r.records {
		rows = append(rows, c.row(k, now))
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(a.AgeMillis - b.AgeMillis) })
	return rows
}

// RowsOf returns the marks of one request.
func (r *Registry) RowsOf(f request.Fingerprint, now time.Time) (rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rowsOf(f, now)
}

// rowsOf is like RowsOf. The caller holds the lock.
func (r *Registry) rowsOf(f request.Fingerprint, now time.Time) (rows []Row) {
	for s := range stages {
		k := recordKey{f, s}
		if c := r.records[k]; c != nil {
			rows = append(rows, c.row(k, now))
		}
	}
	return rows
}

// Hash returns a hash of all marks, which is equal on hosts with the same marks; 0: none.
func (r *Registry) Hash() (sum uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, c := range r.records {
		src := append(k.request[:], byte(k.stage))
		src = binary.LittleEndian.AppendUint32(src, c.mark.Epoch)
		src = binary.LittleEndian.AppendUint32(src, c.mark.Ends)
		if c.mark.Beside {
			src = append(src, 1)
		}
		src = c.history.appendTo(src)
		sum ^= xxhash.Sum64(src)
	}
	return sum
}
