package quarantine

import (
	"sync"
	"time"

	"github.com/embercove/embercove/request"
)

// Registry holds what is known of requests under which endpoints ended. It is safe for
// concurrent use; it holds its lock while nothing else is called.
type Registry struct {
	host string // this one's name

	mu     sync.Mutex
	cells  map[cellKey]*cell
	recent recent
	events events
	trials trials
	counts Counts
}

// Counts are what a registry counts for operators.
type Counts struct {
	Ends    uint64 // ends of endpoints that this host noted against a request
	Cleared uint64 // requests that it cleared
	Refused uint64 // requests that it refused as blamed
	Trials  uint64 // trials that it gave out
	Evicted uint64 // marks that it forgot for want of room
}

// New returns an empty registry of a host.
func New(host string) *Registry {
	return &Registry{host: host, cells: map[cellKey]*cell{}, events: newEvents(), trials: newTrials()}
}

// Quiet reports whether nothing at all is known, so that no request need be judged.
func (r *Registry) Quiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cells) == 0
}

// NoteRefused counts a request that was refused as blamed.
func (r *Registry) NoteRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Refused++
}

// Begin returns the run of a call that is about to be made.
func (r *Registry) Begin(f request.Fingerprint, s Stage, team uint32) Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := Run{Request: f, Stage: s, Team: team}
	if c := r.cells[cellKey{f, s}]; c != nil {
		run.known = c.mark
	}
	return run
}

// Ended notes that a process of an endpoint ended while it ran requests, and returns what all
// hosts are to be told. Those that had just begun are suspected at once; of the others Due
// tells later.
func (r *Registry) Ended(runs []Run, p Process, endpoint string, now time.Time) (rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		mark := run.after()
		if run.forgiven() {
			r.events.withhold(p, endpoint, run, now)
			mark = run.beside()
		}
		rows = append(rows, r.note(run, mark, p, endpoint, now)...)
	}
	return rows
}

// Due returns what all hosts are to be told of requests that had not just begun when their
// endpoints ended, as nobody is left there who had; to be called ExplainWait after each end.
func (r *Registry) Due(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.due(now)
}

// due is Due; the caller holds the lock.
func (r *Registry) due(now time.Time) (rows []Row) {
	for p, e := range r.events.of {
		if len(e.old) == 0 || now.Sub(e.at) < ExplainWait || r.explained(e) {
			continue
		}
		for _, run := range e.old {
			rows = append(rows, r.note(run, run.after(), p, e.endpoint, now)...)
		}
		e.old = nil
	}
	return rows
}

// explained reports whether a request that had just begun where an event was is still
// suspected; the caller holds the lock.
func (r *Registry) explained(e *event) bool {
	for k, who := range e.suspects {
		if c := r.cells[k]; who.young && c != nil && c.mark.Epoch == who.epoch && c.mark.Ends > 0 {
			return true
		}
	}
	return false
}

// note gives a request the mark of an end, unless it was answered whole lately; the caller
// holds the lock.
func (r *Registry) note(run Run, mark Mark, p Process, endpoint string, now time.Time) []Row {
	k := cellKey{run.Request, run.Stage}
	if r.recent.within(k, now) {
		return nil
	}
	c := &cell{mark: mark, at: now, team: run.Team, process: p, old: run.Old, endpoint: endpoint, host: r.host}
	r.counts.Ends++
	r.events.suspect(p, k, suspect{mark.Epoch, !run.Old}, now)
	r.put(k, c, now)
	return []Row{c.row(k, now)} // though the mark is no higher: it was there at that end too
}

// Whole notes that a run came to a whole answer, which clears its request, and returns what
// all hosts are to be told: nothing for a request that nobody suspects.
func (r *Registry) Whole(run Run, now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := cellKey{run.Request, run.Stage}
	r.recent.note(k, now)
	rows := r.clear(k, now)
	if len(rows) > 0 {
		rows = append(rows, r.due(now)...)
	}
	return rows
}

// Clear clears a request in all stages, as an operator orders, and returns what all hosts
// are to be told.
func (r *Registry) Clear(f request.Fingerprint, now time.Time) (rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range stages {
		rows = append(rows, r.clear(cellKey{f, s}, now)...)
	}
	return append(rows, r.due(now)...)
}

// clear clears a request in one stage; the caller holds the lock.
func (r *Registry) clear(k cellKey, now time.Time) []Row {
	c := r.cells[k]
	if c == nil || c.mark.clean() {
		return nil
	}
	r.counts.Cleared++
	now = later(now, c.at)
	*c = cell{mark: c.mark.cleared(), at: now, team: c.team, host: r.host}
	return []Row{c.row(k, now)}
}

// Len returns how many marks are known.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cells)
}

// Counts returns what was counted.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
