package blackboard

import (
	"sync"
	"time"

	"github.com/embercove/embercove/request"
)

// KeyState is the state of a request with an idempotency key.
type KeyState uint8

// The states of a key.
const (
	KeyNew      KeyState = iota // not seen before; the caller now holds the key
	KeyRunning                  // its request is in progress
	KeyAnswered                 // its request was answered
	KeyUnknown                  // its request may have run
	KeyMismatch                 // used before with another body
)

// KeyRecord is a key owner's record of an idempotency key.
type KeyRecord struct {
	Key   uint64 // hash of team and key
	Body  uint64 // hash of the body
	ID    request.ID
	State KeyState
	At    time.Time
}

// KeyTable remembers idempotency keys for a limited time. A missing key proves only that it has
// not been used since the table's tenure began.
type KeyTable struct {
	mu    sync.Mutex
	rows  map[uint64]KeyRecord
	since time.Time
}

func newKeyTable() *KeyTable { return &KeyTable{rows: map[uint64]KeyRecord{}, since: time.Now()} }

// Begin looks a key up and, if it is new, records it as running for the caller. It returns the
// key's state and its resulting record.
func (t *KeyTable) Begin(r KeyRecord, now time.Time) (KeyState, KeyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, ok := t.rows[r.Key]
	if !ok || cur.ID == r.ID {
		r.State, r.At = KeyRunning, now
		t.rows[r.Key] = r
		return KeyNew, r
	}
	if cur.Body != r.Body {
		return KeyMismatch, cur
	}
	return cur.State, cur
}

// Adopt stores a record received from the other holder of the key.
func (t *KeyTable) Adopt(r KeyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[r.Key] = r
}

// End records the final state of a key's request. KeyNew drops the key, because the request
// didn't run.
func (t *KeyTable) End(key uint64, id request.ID, s KeyState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cur, ok := t.rows[key]
	if !ok || cur.ID != id {
		return
	}
	if s == KeyNew {
		delete(t.rows, key)
		return
	}
	cur.State, cur.At = s, now
	t.rows[key] = cur
}

// Sweep drops old records and marks running ones whose holder is gone as unknown.
func (t *KeyTable) Sweep(now time.Time, keep time.Duration, gone func(id request.ID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.rows {
		switch {
		case r.State == KeyRunning && gone(r.ID):
			r.State, r.At = KeyUnknown, now
			t.rows[k] = r
		case r.State != KeyRunning && now.Sub(r.At) > keep:
			delete(t.rows, k)
		}
	}
}

// Tenure returns for how long the table has seen every use of the keys that it is responsible for.
func (t *KeyTable) Tenure(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.since)
}

// Restart begins a new tenure, after a pause in which another owner may have taken keys. Existing
// records stay valid.
func (t *KeyTable) Restart(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since = now
}

// Len returns the number of recorded keys.
func (t *KeyTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}
