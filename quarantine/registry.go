package quarantine

import (
	"sync"
	"time"

	"github.com/embercove/embercove/request"
)

// Registry holds what is known of requests under which endpoints crashed. It is safe for concurrent
// use and calls nothing else while it holds its lock.
type Registry struct {
	host string // name of this host

	mu      sync.Mutex
	records map[recordKey]*record
	recent  recent
	events  events
	probes  probes
	counts  Counts
	// partCauses are the crashes that are attributed to parts of prompts (setPartCauses).
	partCauses []cause
	// knownCauses is derived from records and partCauses; nil: they have changed.
	knownCauses []cause
}

// Counts are statistics for operators.
type Counts struct {
	Crashes uint64 // crashes of endpoints that this host counted against a request
	Cleared uint64 // requests that this host cleared
	Refused uint64 // blamed requests that this host refused
	Probes  uint64 // probes that this host granted
	Evicted uint64 // records evicted for lack of space
}

// New returns an empty registry of a host.
func New(host string) *Registry {
	return &Registry{host: host, records: map[recordKey]*record{}, events: newEvents(), probes: newProbes()}
}

// Empty reports whether there are no records, so that no request needs to be evaluated.
func (r *Registry) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records) == 0
}

// IsSuspectedIn reports whether crashes in one stage speak against a request.
func (r *Registry) IsSuspectedIn(f request.Fingerprint, s Stage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.records[recordKey{f, s}]
	return c != nil && !c.mark.isClear()
}

// CountRefused counts a refusal of a blamed request.
func (r *Registry) CountRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Refused++
}

// Begin returns the run of a call that is about to be made.
func (r *Registry) Begin(f request.Fingerprint, s Stage, team uint32) Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := Run{Request: f, Stage: s, Team: team}
	if c := r.records[recordKey{f, s}]; c != nil {
		run.startMark = c.mark
	}
	return run
}

// RecordCrash records that a process of an endpoint crashed while it ran requests, and returns rows
// to send to all hosts. Young runs are suspected at once; rows of the others come later from
// DueRows.
func (r *Registry) RecordCrash(runs []Run, p Process, endpoint string, now time.Time) (rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		mark := run.crashed()
		if run.explainable() {
			r.events.withhold(p, endpoint, run, now)
			mark = run.bystander()
		}
		rows = append(rows, r.addMark(run, mark, p, endpoint, now, now)...)
	}
	return rows
}

// DueRows returns rows to send to all hosts for old runs whose crash no young run explains any
// more. It is to be called ExplainWait after each crash.
func (r *Registry) DueRows(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.due(now)
}

// due is like DueRows. The caller holds the lock.
func (r *Registry) due(now time.Time) (rows []Row) {
	for p, e := range r.events.byProcess {
		if len(e.withheld) == 0 || now.Sub(e.at) < ExplainWait || r.explained(e) {
			continue
		}
		for _, run := range e.withheld {
			rows = append(rows, r.addMark(run, run.crashed(), p, e.endpoint, e.at, now)...)
		}
		e.withheld = nil
	}
	return rows
}

// causedByOther reports whether a request other than f had just begun where a process crashed and crashes are
// attributed to it.
func (r *Registry) causedByOther(p Process, f request.Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.events.byProcess[p]
	if e == nil {
		return false
	}
	for k, s := range e.suspects {
		if v, _ := r.evaluate(k.request, 0, now); s.young && k.request != f && v >= BackingOff {
			return true
		}
	}
	return false
}

// explained reports whether a young run of a crash is still suspected. The caller holds the lock.
func (r *Registry) explained(e *event) bool {
	for k, who := range e.suspects {
		if c := r.records[k]; who.young && c != nil && c.mark.Epoch == who.epoch && c.mark.Ends > 0 {
			return true
		}
	}
	return false
}

// addMark sets a request's mark after a crash at a time, unless the request was recently answered completely. The caller holds the lock.
func (r *Registry) addMark(run Run, mark Mark, p Process, endpoint string, at, now time.Time) []Row {
	k := recordKey{run.Request, run.Stage}
	if r.recent.contains(k, now) {
		return nil
	}
	c := &record{mark: mark, at: at, team: run.Team, process: p, old: run.Old, endpoint: endpoint, host: r.host}
	c.history.addCrash(p, pastCrash{at, !run.Old, endpointKey(endpoint)})
	r.counts.Crashes++
	r.events.addSuspect(p, k, suspect{mark.Epoch, !run.Old}, at)
	r.put(k, c, now)
	row := c.row(k, now) // sent even if nothing is new: other hosts may not know that the request was there
	if known := r.records[k]; known != nil && known.mark.Epoch == c.mark.Epoch {
		row.Crashes, row.Retries = known.history.rows(now)
	}
	return []Row{row}
}

// RecordUnresolved records that nobody could tell what became of a process under a run of a suspected request: it may
// have crashed. It returns rows to send to all hosts.
func (r *Registry) RecordUnresolved(run Run, p Process, endpoint string, now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addUnresolved(recordKey{run.Request, run.Stage}, p, endpoint, !run.Old, now)
}

// addUnresolved is like RecordUnresolved. The caller holds the lock.
func (r *Registry) addUnresolved(k recordKey, p Process, endpoint string, young bool, now time.Time) []Row {
	c := r.records[k]
	if c == nil || c.mark.isClear() || r.recent.contains(k, now) {
		return nil
	}
	c.at, c.endpoint = now, endpoint
	c.history.addCrash(p, pastCrash{now, young, endpointKey(endpoint)})
	r.knownCauses = nil
	return []Row{c.row(k, now)}
}

// RecordSuccess records that a run came to a complete answer, which clears its request, and returns
// rows to send to all hosts: none for a request that isn't suspected.
func (r *Registry) RecordSuccess(run Run, now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := recordKey{run.Request, run.Stage}
	r.recent.add(k, now)
	rows := r.clear(k, now)
	if len(rows) > 0 {
		rows = append(rows, r.due(now)...)
	}
	return rows
}

// Clear clears a request in all stages on an operator's order, and returns rows to send to all
// hosts.
func (r *Registry) Clear(f request.Fingerprint, now time.Time) (rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range stages {
		rows = append(rows, r.clear(recordKey{f, s}, now)...)
	}
	return append(rows, r.due(now)...)
}

// clear clears a request in one stage. The caller holds the lock.
func (r *Registry) clear(k recordKey, now time.Time) []Row {
	c := r.records[k]
	if c == nil || c.mark.isClear() {
		return nil
	}
	r.counts.Cleared++
	now = later(now, c.at)
	*c = record{mark: c.mark.nextEpoch(), at: now, team: c.team, host: r.host}
	r.knownCauses = nil
	return []Row{c.row(k, now)}
}

// Len returns the number of records.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Counts returns the statistics.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
