package blackboard

import (
	"sync"
	"time"
)

// What makes a failure domain count as cut off.
const (
	missedWithin = time.Second // of each other
	missedLeast  = 2           // hosts or endpoints
	cutOffFor    = 2 * time.Second
)

// DomainTable judges which failure domains this host is cut off from, by the
// hosts and endpoints there that said nothing. One that is silent may be
// frozen; several at once and nobody who answers are a cut. The own domain is
// never judged.
type DomainTable struct {
	own string

	mu   sync.Mutex
	rows map[string]*reach
}

// reach is what was seen of one failure domain since somebody there answered.
type reach struct {
	missed map[uint32]time.Time // by number of the host or endpoint
	until  time.Time            // the domain counts as cut off
}

func newDomainTable(own string) *DomainTable {
	return &DomainTable{own: own, rows: map[string]*reach{}}
}

// Missed notes that a host or endpoint of a domain said nothing to a call. It
// returns until when the domain counts as cut off, zero if it doesn't, and
// whether that is news.
func (t *DomainTable) Missed(domain string, number uint32, now time.Time) (until time.Time, news bool) {
	if domain == t.own {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[domain]
	if r == nil {
		r = &reach{missed: map[uint32]time.Time{}}
		t.rows[domain] = r
	}
	for n, at := range r.missed {
		if now.Sub(at) > missedWithin {
			delete(r.missed, n)
		}
	}
	r.missed[number] = now
	// While nobody has answered since the last time, one miss is enough.
	if len(r.missed) >= missedLeast || !r.until.IsZero() {
		news = r.until.IsZero()
		r.until = now.Add(cutOffFor)
	}
	return r.until, news
}

// Heard notes that somebody of a domain answered, and reports whether that is
// news.
func (t *DomainTable) Heard(domain string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// Lost returns the domains that counted as cut off and of which nobody has
// answered since.
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

// Missed notes that a host or endpoint of a failure domain said nothing to a
// call, and reports whether the domain counts as cut off from now on.
func (b *Board) Missed(domain string, number uint32, now time.Time) (news bool) {
	until, news := b.Domains.Missed(domain, number, now)
	if !until.IsZero() {
		b.Endpoints.SetCutOff(domain, until)
	}
	return news
}

// Heard notes that a host or endpoint of a failure domain answered a call, and
// reports whether the domain counted as cut off until now.
func (b *Board) Heard(domain string) (news bool) {
	news = b.Domains.Heard(domain)
	if news {
		b.Endpoints.SetCutOff(domain, time.Time{})
	}
	return news
}
