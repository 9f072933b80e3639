package blackboard

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/embercove/embercove/invariant"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
)

// Phase is a stage of a request's processing.
type Phase string

// The phases of a request.
const (
	PhaseReserve  Phase = "reserve"
	PhaseQueue    Phase = "queue"
	PhasePrefill  Phase = "prefill"
	PhaseTransfer Phase = "transfer"
	PhaseDecode   Phase = "decode"
	PhaseService  Phase = "service"
)

// Request is a row of the requests in progress on this host.
type Request struct {
	ID         request.ID
	Team       string
	Model      string
	Phase      Phase
	Since      time.Time // start of the request
	PhaseSince time.Time
	Prefill    string // endpoint
	Decode     string
	Attempt    uint32   // number of the latest attempt
	Open       []uint32 // attempts for which an endpoint may hold memory
	Tokens     int
}

// RequestTable holds the requests in progress. An attempt at an endpoint is claimed by its
// entry in the request's row; without it the endpoint's owner cancels the attempt.
type RequestTable struct {
	inv   *invariant.Set
	mu    sync.Mutex
	rows  map[request.ID]*Request
	teams map[string]int
	ended map[result.Code]uint64
}

func newRequestTable(inv *invariant.Set) *RequestTable {
	return &RequestTable{inv: inv, rows: map[request.ID]*Request{}, teams: map[string]int{}, ended: map[result.Code]uint64{}}
}

// Begin adds a request unless the team or the host is at its limit; 0 means no limit.
func (t *RequestTable) Begin(r Request, teamLimit, hostLimit int) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if teamLimit > 0 && t.teams[r.Team] >= teamLimit {
		return result.Errorf(result.TeamLimit, "team %s has %d requests in progress on this host", r.Team, teamLimit).After(time.Second)
	}
	if hostLimit > 0 && len(t.rows) >= hostLimit {
		return result.Errorf(result.TeamLimit, "this host has %d requests in progress", hostLimit).After(time.Second)
	}
	t.rows[r.ID] = &r
	t.teams[r.Team]++
	return nil
}

// Update changes a row under the lock.
func (t *RequestTable) Update(id request.ID, f func(r *Request)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[id]; r != nil {
		f(r)
	}
}

// End removes a request and counts its outcome.
func (t *RequestTable) End(id request.ID, code result.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	if !t.inv.Check(r != nil, invariant.AnswerOnce, "request %s ended twice, now with %s", id, code) {
		return
	}
	delete(t.rows, id)
	if t.teams[r.Team]--; t.teams[r.Team] == 0 {
		delete(t.teams, r.Team)
	}
	t.ended[code]++
}

// CountRefused counts a request that was refused before it had a row.
func (t *RequestTable) CountRefused(code result.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended[code]++
}

// Open records an attempt before it is sent and returns it. Attempts that aren't recorded as
// open are cancelled by the endpoint's owner.
func (t *RequestTable) Open(id request.ID) request.Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[id]
	if r == nil {
		return request.Attempt{ID: id}
	}
	r.Attempt++
	r.Open = append(r.Open, r.Attempt)
	return request.Attempt{ID: id, Number: r.Attempt}
}

// Close records that an attempt has ended.
func (t *RequestTable) Close(a request.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[a.ID]; r != nil {
		r.Open = slices.DeleteFunc(r.Open, func(n uint32) bool { return n == a.Number })
	}
}

// IsOpen reports whether an attempt is open here.
func (t *RequestTable) IsOpen(a request.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[a.ID]
	return r != nil && slices.Contains(r.Open, a.Number)
}

// Len returns the number of requests in progress.
func (t *RequestTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// List returns the requests in progress, oldest first.
func (t *RequestTable) List() []Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Request, 0, len(t.rows))
	for _, r := range t.rows {
		row := *r
		row.Open = slices.Clone(r.Open)
		out = append(out, row)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Since.Before(out[j].Since) })
	return out
}

// Ended returns how many requests ended with each code.
func (t *RequestTable) Ended() map[result.Code]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[result.Code]uint64, len(t.ended))
	for k, v := range t.ended {
		out[k] = v
	}
	return out
}
