package tunnel

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Hosts of one failure domain may lose their links together. So what they say of an endpoint counts as
// that of one witness, and "nobody reaches it" takes the word of several failure domains.

const (
	// maxWitnessDomains is how many failure domains are heard before nobody counts as reaching an endpoint.
	maxWitnessDomains = 4
	// maxMuteHosts is how many hosts of a failure domain are asked before it counts as having nothing to say.
	maxMuteHosts = 3
	// muteAfter is how long a host may take to answer until it counts as having nothing to say.
	muteAfter = 100 * time.Millisecond
)

// evidence is what the hosts that were asked for a tunnel to an endpoint say of it, by failure domain.
type evidence struct {
	domains map[string]*domainEvidence
}

// domainEvidence counts the hosts of one failure domain by their answers.
type domainEvidence struct {
	asked     int
	pending   int       // of them, those that haven't answered yet
	confirmed int       // they reach other endpoints and not this one
	cutOff    int       // they may have lost their links to endpoints themselves
	silent    int       // they didn't answer
	askedAt   time.Time // when the latest one was asked
}

func newEvidence() *evidence { return &evidence{domains: map[string]*domainEvidence{}} }

// domain returns the row of a failure domain.
func (e *evidence) domain(name string) *domainEvidence {
	d := e.domains[name]
	if d == nil {
		d = new(domainEvidence)
		e.domains[name] = d
	}
	return d
}

// asked returns how many hosts of a failure domain were asked.
func (e *evidence) asked(domain string) int {
	if d := e.domains[domain]; d != nil {
		return d.asked
	}
	return 0
}

// hasConfirmed reports whether a host of a failure domain has confirmed that the endpoint is out of reach.
func (e *evidence) hasConfirmed(domain string) bool {
	d := e.domains[domain]
	return d != nil && d.confirmed > 0
}

// recordAsked records that a host was asked.
func (e *evidence) recordAsked(domain string, now time.Time) {
	d := e.domain(domain)
	d.asked++
	d.pending++
	d.askedAt = now
}

// record records the outcome of a request for a tunnel that failed.
func (e *evidence) record(o *outcome) {
	d := e.domain(o.host.Domain)
	d.pending--
	switch {
	case o.err != nil:
		d.silent++
	case o.confirms():
		d.confirmed++
	case o.reply.LostPaths:
		d.cutOff++
	}
}

// cutOff returns how many hosts may have lost their links themselves.
func (e *evidence) cutOff() (n int) {
	for _, d := range e.domains {
		n += d.cutOff
	}
	return n
}

// unable returns how many hosts are cut off themselves, or out of reach.
func (e *evidence) unable() (n int) {
	for _, d := range e.domains {
		n += d.cutOff + d.silent
	}
	return n
}

// pending returns how many hosts haven't answered yet.
func (e *evidence) pending() (n int) {
	for _, d := range e.domains {
		n += d.pending
	}
	return n
}

// isMute reports whether hosts that haven't answered were all asked some time ago.
func (e *evidence) isMute(now time.Time) bool {
	for _, d := range e.domains {
		if d.pending > 0 && now.Sub(d.askedAt) < muteAfter {
			return false
		}
	}
	return true
}

// isConclusive reports whether nobody reaches the endpoint as far as hosts that don't fail together can tell:
// one that reaches others confirms it, and no failure domain has more to say, of up to maxWitnessDomains. askable are
// the failure domains with hosts that haven't been asked.
func (e *evidence) isConclusive(askable map[string]bool, now time.Time) bool {
	heard, unheard, confirmed := 0, 0, 0
	for name := range askable {
		if e.domains[name] == nil {
			unheard++
		}
	}
	for name, d := range e.domains {
		confirmed += d.confirmed
		if d.isHeard(askable[name], now) {
			heard++
		} else {
			unheard++
		}
	}
	return confirmed > 0 && (unheard == 0 || heard >= maxWitnessDomains)
}

// isHeard reports whether the failure domain has confirmed that the endpoint is out of reach, or has nothing to
// say of it. more tells that it has hosts that haven't been asked.
func (d *domainEvidence) isHeard(more bool, now time.Time) bool {
	switch {
	case d.confirmed > 0:
		return true
	case more && d.asked < maxMuteHosts:
		return false
	}
	return d.pending == 0 || now.Sub(d.askedAt) >= muteAfter
}

// String implements fmt.Stringer.
func (e *evidence) String() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(e.domains)) {
		d := e.domains[name]
		parts = append(parts, fmt.Sprintf("%s: %d asked, %d confirmed, %d cut off, %d silent", name, d.asked, d.confirmed, d.cutOff, d.silent))
	}
	return strings.Join(parts, "; ")
}
