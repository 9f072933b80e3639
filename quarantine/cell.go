package quarantine

import (
	"time"

	"github.com/embercove/embercove/request"
)

// Bounds of the records that are kept.
const (
	// suspectTTL is how long a record is kept after a crash without another one: a request that
	// comes once an hour or less often crashes fewer endpoints than fail by themselves.
	suspectTTL = time.Hour
	// blamedTTL is how long a blamed request is kept after its last crash.
	blamedTTL = 24 * time.Hour
	// maxRecords is how many records are kept: about 0.6 MB. A crash of an endpoint marks all that
	// it had in progress, some tens of requests.
	maxRecords = 4096
)

// recordKey identifies a request in one stage.
type recordKey struct {
	request request.Fingerprint
	stage   Stage
}

// record is what is known of a request in one stage.
type record struct {
	mark     Mark
	at       time.Time // when the mark was made
	team     uint32
	process  Process // that crashed last
	old      bool    // it was an old run there
	endpoint string
	host     string // that observed the crash
	history  history
}

// put stores a record, merged with the present one of the same epoch, and reports whether that changed anything. The
// caller holds the lock.
func (r *Registry) put(k recordKey, c *record, now time.Time) bool {
	r.knownCauses = nil
	old := r.records[k]
	switch {
	case old == nil && c.expired(now):
		return false
	case old == nil && len(r.records) >= maxRecords && !r.evictFor(c):
		return false
	case old == nil, old.mark.Epoch < c.mark.Epoch:
		r.records[k] = c
		return true
	case old.mark.Epoch > c.mark.Epoch, !old.mark.Less(c.mark) && old.history.contains(c.history):
		return false
	}
	if !old.mark.Less(c.mark) {
		old.at = later(old.at, c.at)
		old.history.merge(c.history)
		return true
	}
	c.at = later(old.at, c.at)
	c.history.merge(old.history)
	r.records[k] = c
	return true
}

// evictFor evicts a record for a new one, from the team with the most records: a caller that sends
// many different crashing requests evicts only marks of its own team. Of these the one with the
// fewest crashes goes first, and among equals the oldest. It reports whether the new record can be
// stored: if it is itself the one to go, none is evicted.
func (r *Registry) evictFor(c *record) bool {
	perTeam := map[uint32]int{c.team: 1}
	for _, other := range r.records {
		perTeam[other.team]++
	}
	largest := c.team
	for team, n := range perTeam {
		if n > perTeam[largest] || n == perTeam[largest] && team < largest {
			largest = team
		}
	}
	worst, key := c, recordKey{}
	for k, other := range r.records {
		if other.team == largest && (worst.team != largest || other.evictBefore(worst)) {
			worst, key = other, k
		}
	}
	r.counts.Evicted++
	if worst == c {
		return false
	}
	delete(r.records, key)
	return true
}

// evictBefore reports whether a record is evicted before another.
func (c *record) evictBefore(o *record) bool {
	if c.mark.Ends != o.mark.Ends || c.mark.Beside != o.mark.Beside {
		return Mark{Ends: c.mark.Ends, Beside: c.mark.Beside}.Less(Mark{Ends: o.mark.Ends, Beside: o.mark.Beside})
	}
	return c.at.Before(o.at)
}

// expired reports whether the record has been kept long enough.
func (c *record) expired(now time.Time) bool {
	kept := suspectTTL
	if c.mark.Ends >= blameAt || len(c.history.crashes) >= blameAt {
		kept = blamedTTL
	}
	return now.Sub(c.at) >= kept
}

func (c *record) row(k recordKey, now time.Time) Row {
	row := Row{Request: k.request, Stage: k.stage, Mark: c.mark, Team: c.team, AgeMillis: max(0, now.Sub(c.at).Milliseconds()),
		Process: c.process, Old: c.old, Endpoint: c.endpoint, Host: c.host}
	row.Crashes, row.Retries = c.history.rows(now)
	return row
}

// Sweep drops what has been kept long enough. It returns rows to send to all hosts.
func (r *Registry) Sweep(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, c := range r.records {
		if c.expired(now) {
			delete(r.records, k)
			r.knownCauses = nil
		}
		c.history.sweep(now)
	}
	r.events.sweep(now)
	return r.sweepProbes(now)
}
