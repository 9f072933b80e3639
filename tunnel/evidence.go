package tunnel

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// evidence is what the hosts that were asked for a tunnel to an endpoint say of it, by failure domain.
type evidence struct {
	domains map[string]*domainEvidence
}

// domainEvidence counts the hosts of one failure domain by their answers.
type domainEvidence struct {
	asked     int
	confirmed int // they reach other endpoints and not this one
	cutOff    int // they may have lost their links to endpoints themselves
	silent    int // they didn't answer
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

// recordAsked records that a host was asked.
func (e *evidence) recordAsked(domain string) { e.domain(domain).asked++ }

// record records the outcome of a request for a tunnel that failed.
func (e *evidence) record(o *outcome) {
	d := e.domain(o.host.Domain)
	switch {
	case o.err != nil:
		d.silent++
	case o.confirms():
		d.confirmed++
	case o.reply.LostPaths:
		d.cutOff++
	}
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
