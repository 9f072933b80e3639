package blackboard

import (
	"sync"
	"time"
)

// Criteria by which a failure domain counts as cut off.
const (
	missWindow = time.Second // maximum time between the missed calls
	minMissed  = 2           // minimum number of silent hosts or endpoints
	cutOffFor  = 2 * time.Second
)

// DomainTable detects failure domains from which this host is cut off, by unanswered calls
// to their hosts and endpoints. A single silent host or endpoint may be frozen; several at once,
// with no answer from others, mean a cut. The own domain never counts as cut off.
type DomainTable struct {
	own string

	mu       sync.Mutex
	rows     map[string]*reachability
	answered map[string]time.Time // by domain: when one of its hosts or endpoints last answered
}

// reachability holds the unanswered calls to one failure domain since its last answer.
type reachability struct {
	missed map[uint32]time.Time // by number of the host or endpoint
	until  time.Time            // until when the domain counts as cut off
}

func newDomainTable(own string) *DomainTable {
	return &DomainTable{own: own, rows: map[string]*reachability{}, answered: map[string]time.Time{}}
}

// RecordMiss records that a host or endpoint of a domain didn't answer a call that began at a given
// time. The miss doesn't count if another one of the domain answered meanwhile. It returns until
// when the domain counts as cut off, zero if it doesn't, and whether it didn't before.
func (t *DomainTable) RecordMiss(domain string, number uint32, began, now time.Time) (until time.Time, changed bool) {
	if domain == t.own {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answered[domain].After(began) {
		return time.Time{}, false
	}
	r := t.rows[domain]
	if r == nil {
		r = &reachability{missed: map[uint32]time.Time{}}
		t.rows[domain] = r
	}
	for n, at := range r.missed {
		if now.Sub(at) > missWindow {
			delete(r.missed, n)
		}
	}
	r.missed[number] = now
	// If nothing has answered since the last cut, one missed call is enough.
	if len(r.missed) >= minMissed || !r.until.IsZero() {
		changed = r.until.IsZero()
		r.until = now.Add(cutOffFor)
	}
	return r.until, changed
}

// RecordAnswer records that a host or endpoint of a domain answered, and reports whether the domain
// counted as cut off before.
func (t *DomainTable) RecordAnswer(domain string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered[domain] = now
	r := t.rows[domain]
	if r == nil {
		return false
	}
	delete(t.rows, domain)
	return !r.until.IsZero()
}

// CutOff reports whether a domain counts as cut off.
func (t *DomainTable) CutOff(domain string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[domain]
	return r != nil && now.Before(r.until)
}

// Lost returns the domains that were found cut off and have not answered since.
func (t *DomainTable) Lost() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, r := range t.rows {
		if !r.until.IsZero() {
			out = append(out, name)
		}
	}
	return out
}

// RecordMiss records that a host or endpoint of a failure domain didn't answer a call that began at a
// given time, and reports whether the domain counts as cut off from now on.
func (b *Board) RecordMiss(domain string, number uint32, began, now time.Time) (changed bool) {
	until, changed := b.Domains.RecordMiss(domain, number, began, now)
	if !until.IsZero() {
		b.Endpoints.SetCutOff(domain, until)
	}
	return changed
}

// RecordAnswer records that a host or endpoint of a failure domain answered a call, and reports
// whether the domain counted as cut off until now.
func (b *Board) RecordAnswer(domain string) (changed bool) {
	changed = b.Domains.RecordAnswer(domain, time.Now())
	if changed {
		b.Endpoints.SetCutOff(domain, time.Time{})
	}
	return changed
}
