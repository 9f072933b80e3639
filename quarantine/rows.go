package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/embercove/embercove/request"
)

// Learn takes in what another host told, and returns what all are to be told in turn: that
// a request which is suspected elsewhere was answered whole here just now.
func (r *Registry) Learn(rows []Row, now time.Time) (answer []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if row.Stage >= stages || row.Request.IsZero() {
			continue // of a later version
		}
		k := cellKey{row.Request, row.Stage}
		at := now.Add(-time.Duration(max(0, row.AgeMillis)) * time.Millisecond)
		if !row.Mark.clean() && now.Sub(at) < eventKept {
			r.events.suspect(row.Process, k, suspect{row.Mark.Epoch, !row.Old}, at)
		}
		if !r.put(k, &cell{mark: row.Mark, at: at, team: row.Team, process: row.Process, old: row.Old, endpoint: row.Endpoint, host: row.Host}, now) {
			continue
		}
		if !row.Mark.clean() && r.recent.within(k, now) {
			answer = append(answer, r.clear(k, now)...)
		}
	}
	return append(answer, r.due(now)...)
}

// Rows returns all marks, the latest first, for a host that knows others.
func (r *Registry) Rows(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]Row, 0, len(r.cells))
	for k, c := range r.cells {
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

// rowsOf is RowsOf; the caller holds the lock.
func (r *Registry) rowsOf(f request.Fingerprint, now time.Time) (rows []Row) {
	for s := range stages {
		k := cellKey{f, s}
		if c := r.cells[k]; c != nil {
			rows = append(rows, c.row(k, now))
		}
	}
	return rows
}

// Sum returns a hash of all marks, which is the same on hosts that know the same; 0: none.
func (r *Registry) Sum() (sum uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, c := range r.cells {
		src := append(k.request[:], byte(k.stage))
		src = binary.LittleEndian.AppendUint32(src, c.mark.Epoch)
		src = binary.LittleEndian.AppendUint32(src, c.mark.Ends)
		if c.mark.Beside {
			src = append(src, 1)
		}
		sum ^= xxhash.Sum64(src)
	}
	return sum
}
