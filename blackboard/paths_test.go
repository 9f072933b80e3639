package blackboard

import (
	"testing"
	"time"
)

// TestPathTable records what a host learns of the path to one endpoint and checks its state after a time.
func TestPathTable(t *testing.T) {
	const address = "10.0.0.1:80"
	start := time.Unix(1_800_000_000, 0)
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	cases := []struct {
		name   string
		record func(p *PathTable)
		at     float64
		want   PathState
		probes int // that are due then
	}{
		{"nothing", func(*PathTable) {}, 0, PathDirect, 0},
		{"lost", func(p *PathTable) { p.RecordFailure(address, second(0), PathLost, false) }, 0.1, PathLost, 0},
		{"lost, and a probe is due", func(p *PathTable) { p.RecordFailure(address, second(0), PathLost, false) }, 0.3, PathLost, 1},
		{"lost and no longer used, still probed", func(p *PathTable) { p.RecordFailure(address, second(0), PathLost, false) }, 5, PathLost, 1},
		{"lost, probed and not used meanwhile, probed again", func(p *PathTable) {
			p.RecordFailure(address, second(0), PathLost, false)
			p.RecordFailure(address, second(3), PathLost, false)
		}, 4.5, PathLost, 1},
		{"lost, probed and not used for long", func(p *PathTable) {
			p.RecordFailure(address, second(0), PathLost, false)
			p.RecordFailure(address, second(9), PathLost, false)
		}, 10.5, PathDirect, 0},
		{"lost, probed and used", func(p *PathTable) {
			p.RecordFailure(address, second(0), PathLost, false)
			p.RecordFailure(address, second(3), PathLost, false)
			p.Use(address, second(4))
		}, 4.5, PathLost, 1},
		{"lost long ago", func(p *PathTable) { p.RecordFailure(address, second(0), PathLost, false) }, 11, PathDirect, 0},
		{"lost and restored", func(p *PathTable) {
			p.RecordFailure(address, second(0), PathLost, false)
			p.RecordDirect(address, second(0.2), time.Millisecond)
		}, 0.3, PathDirect, 0},
		{"out of reach", func(p *PathTable) { p.RecordFailure(address, second(0), PathNone, true) }, 0.3, PathNone, 1},
		{"out of reach and unused", func(p *PathTable) { p.RecordFailure(address, second(0), PathNone, true) }, 2.9, PathNone, 1},
		{"out of reach, and not probed for long", func(p *PathTable) { p.RecordFailure(address, second(0), PathNone, true) }, 3.1, PathDirect, 0},
		{"out of reach, then over a tunnel", func(p *PathTable) {
			p.RecordFailure(address, second(0), PathNone, true)
			p.RecordTunnel(address, second(0.1))
		}, 0.2, PathLost, 0},
		{"out of reach for long, probed less often", func(p *PathTable) {
			p.RecordFailure(address, second(0), PathNone, true)
			p.RecordFailure(address, second(2.1), PathNone, true)
		}, 2.5, PathNone, 0},
		{"forgotten", func(p *PathTable) {
			p.RecordFailure(address, second(0), PathNone, true)
			p.Forget(address)
		}, 0.3, PathDirect, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPathTable()
			tc.record(p)
			if got := p.State(address, second(tc.at)); got != tc.want {
				t.Errorf("state %v, want %v", got, tc.want)
			}
			if due, _ := p.DueProbes(second(tc.at), 8); len(due) != tc.probes {
				t.Errorf("%d probes are due, want %d", len(due), tc.probes)
			}
			for _, s := range []PathState{PathLost, PathNone} {
				if got, want := p.Count(s) == 1, s == tc.want; got != want {
					t.Errorf("%d paths in state %v", p.Count(s), s)
				}
			}
		})
	}
}

// TestSilenceConclusive checks what makes the silence of an endpoint say something of it.
func TestSilenceConclusive(t *testing.T) {
	const silent, other = "10.0.0.1:80", "10.0.0.2:80"
	start := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name   string
		record func(p *PathTable)
		want   bool
	}{
		{"nothing is known", func(*PathTable) {}, false},
		{"another endpoint was reached before", func(p *PathTable) { p.RecordDirect(other, start.Add(-time.Millisecond), 0) }, false},
		{"another endpoint was reached", func(p *PathTable) { p.RecordDirect(other, start, 0) }, true},
		{"another endpoint was reached over a tunnel", func(p *PathTable) { p.RecordTunnel(other, start) }, true},
		{"another host confirmed it", func(p *PathTable) { p.RecordConfirmed(silent, start) }, true},
		{"another host confirmed that of another endpoint", func(p *PathTable) { p.RecordConfirmed(other, start) }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPathTable()
			tc.record(p)
			if got := p.SilenceConclusive(silent, start); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
