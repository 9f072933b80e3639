package blackboard

import (
	"testing"
	"time"
)

// TestDomains applies sequences of answered and missed calls, and checks whether a domain counts
// as cut off at the end.
func TestDomains(t *testing.T) {
	const a, b = 1, 2 // hosts or endpoints
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	cases := []struct {
		name  string
		apply func(d *DomainTable)
		at    float64
		want  bool
	}{
		{"no calls", func(*DomainTable) {}, 0, false},
		{"one is silent repeatedly", func(d *DomainTable) {
			d.RecordMiss("x", a, second(0), second(0))
			d.RecordMiss("x", a, second(0.5), second(0.5))
		}, 0.6, false},
		{"two are silent", func(d *DomainTable) {
			d.RecordMiss("x", a, second(0), second(0))
			d.RecordMiss("x", b, second(0.5), second(0.5))
		}, 0.6, true},
		{"two are silent at different times", func(d *DomainTable) {
			d.RecordMiss("x", a, second(0), second(0))
			d.RecordMiss("x", b, second(1.5), second(1.5))
		}, 1.6, false},
		{"an answer in between", func(d *DomainTable) {
			d.RecordMiss("x", a, second(0), second(0))
			d.RecordAnswer("x", second(0))
			d.RecordMiss("x", b, second(0.5), second(0.5))
		}, 0.6, false},
		{"an answer afterwards", func(d *DomainTable) {
			d.RecordMiss("x", a, second(0), second(0))
			d.RecordMiss("x", b, second(0.5), second(0.5))
			d.RecordAnswer("x", second(0.5))
		}, 0.6, false},
		{"two of different domains", func(d *DomainTable) {
			d.RecordMiss("x", a, second(0), second(0))
			d.RecordMiss("y", b, second(0.5), second(0.5))
		}, 0.6, false},
		{"two are silent, but another answers meanwhile", func(d *DomainTable) {
			d.RecordAnswer("x", second(0.4))
			d.RecordMiss("x", a, second(0.3), second(0.5))
			d.RecordMiss("x", b, second(0.3), second(0.5))
		}, 0.6, false},
		{"the own domain", func(d *DomainTable) {
			d.RecordMiss("self", a, second(0), second(0))
			d.RecordMiss("self", b, second(0.5), second(0.5))
		}, 0.6, false},
		{"the cut expires", func(d *DomainTable) {
			d.RecordMiss("x", a, second(0), second(0))
			d.RecordMiss("x", b, second(0.5), second(0.5))
		}, 3, false},
		{"one more miss after it has expired", func(d *DomainTable) {
			d.RecordMiss("x", a, second(0), second(0))
			d.RecordMiss("x", b, second(0.5), second(0.5))
			d.RecordMiss("x", b, second(3), second(3))
		}, 3.1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newDomainTable("self")
			tc.apply(d)
			if lost := len(d.Lost()) > 0; tc.want && !lost {
				t.Error("a domain that is cut off is not listed as lost")
			}
			for _, domain := range []string{"x", "self"} {
				want := tc.want && domain == "x"
				if got := d.CutOff(domain, second(tc.at)); got != want {
					t.Errorf("%s cut off: %v, want %v", domain, got, want)
				}
			}
		})
	}
}
