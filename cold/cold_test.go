package cold

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fullest returns the most of some moments, in order, that lie within one second.
func fullest(used []time.Duration) (most int) {
	for first, last := 0, 0; last < len(used); last++ {
		for used[last]-used[first] > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestBound names bounds of settings that are there and that are missing.
func TestBound(t *testing.T) {
	for _, tc := range []struct{ perSecond, overrun, tolerance, want float64 }{
		{21, 1.5, 5, 36.5}, {21, 0, 0, 21}, {0, 1.5, 5, 0}, {0.2, 0, 0, 1}, {-1, 1.5, 5, 0},
	} {
		if got := Bound(tc.perSecond, tc.overrun, tc.tolerance); got != tc.want {
			t.Errorf("%v: %v", tc, got)
		}
	}
}

// TestShare names what a host may give out by what it knows of the others.
func TestShare(t *testing.T) {
	long := Tenure{Part: 1, Alike: time.Hour, Up: time.Hour, Silence: 3 * time.Second}
	settled := long.Settled()
	if settled != 4250*time.Millisecond {
		t.Fatalf("settled after %s", settled)
	}
	for _, tc := range []struct {
		name   string
		change func(t *Tenure)
		want   float64
	}{
		{"alike for long", func(*Tenure) {}, 80},
		{"just long enough", func(t *Tenure) { t.Alike, t.Up = settled, settled }, 80},
		{"a host came or went", func(t *Tenure) { t.Alike = settled - 1 }, 20},
		{"a quarter of the hosts", func(t *Tenure) { t.Part = 0.25 }, 20},
		{"a quarter of the hosts, lately", func(t *Tenure) { t.Part, t.Alike = 0.25, 0 }, 5},
		{"just begun", func(t *Tenure) { t.Up = settled - 1 }, 0},
		{"no host of the domain", func(t *Tenure) { t.Part = 0 }, 0},
	} {
		ten := long
		tc.change(&ten)
		if got := Share(100, ten); got < tc.want-1e-9 || got > tc.want+1e-9 {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestBears checks that a host that has had the right for long gives out what the endpoint
// bears, and that one that asks for more is told the true time.
func TestBears(t *testing.T) {
	share := Share(Bound(21, 1.5, 5), Tenure{Part: 1, Alike: time.Hour, Up: time.Hour})
	var p Pace
	given := 0
	for at := time.Duration(0); at < 10*time.Second; at += time.Second / 21 {
		if _, ok := p.Ask(begin.Add(at), share, 0); ok {
			given++
		}
	}
	if given < 210 {
		t.Errorf("%d of 210 were given", given)
	}
	now := begin.Add(time.Minute)
	for range 10 {
		p.Ask(now, share, 0)
	}
	in, _ := p.Ask(now, share, 0)
	if _, ok := p.Ask(now.Add(in-time.Millisecond), share, 0); ok {
		t.Error("a start was given before the time that was told")
	}
	if _, ok := p.Ask(now.Add(in), share, 0); !ok {
		t.Errorf("no start after %s, which was told", in)
	}
}

// TestLate has starts used as late as they may be and, from some moment on, at once, so that
// most of them come together.
func TestLate(t *testing.T) {
	for _, share := range []float64{1, 2, 7.3, 29.2, 500} {
		var p Pace
		var used []time.Duration
		for at := time.Duration(0); at < 6*time.Second; at += time.Millisecond {
			if _, ok := p.Ask(begin.Add(at), share, 0); !ok {
				continue
			}
			if at < 3*time.Second {
				used = append(used, at+Lag)
			} else {
				used = append(used, at)
			}
		}
		slices.Sort(used)
		if n := fullest(used); float64(n) > share {
			t.Errorf("%d used in one second of a share of %v", n, share)
		}
	}
}

// TestSmallShares checks that a share of less than one start gives out none, and that a
// refused ask uses nothing up.
func TestSmallShares(t *testing.T) {
	var p Pace
	for _, share := range []float64{0, 0.99} {
		if in, ok := p.Ask(begin, share, time.Hour); ok || in != Never {
			t.Errorf("a share of %v: %s, %v", share, in, ok)
		}
	}
	var q Pace
	for range 1000 {
		q.Ask(begin, 1, 0)
	}
	if in, ok := q.Ask(begin, 1, time.Minute); ok || in != Never {
		t.Errorf("one start in all: %s, %v", in, ok)
	}
	if in, ok := q.Ask(begin, 1+1e-12, time.Minute); ok || in != Never {
		t.Errorf("hardly more than one start in all: %s, %v", in, ok)
	}
}

// TestNote checks that what was sent while an endpoint was warm counts when it turns cold.
func TestNote(t *testing.T) {
	share := 29.2
	var p Pace
	for i := range 100 {
		p.Note(begin.Add(time.Duration(i)*10*time.Millisecond), share)
	}
	now := begin.Add(time.Second)
	if in, ok := p.Ask(now, share, 0); ok || in > 1200*time.Millisecond {
		t.Errorf("after 100 in a second: %s, %v", in, ok)
	}
	if _, ok := p.Ask(now.Add(1200*time.Millisecond), share, 0); !ok {
		t.Error("what was noted is not forgotten")
	}
}

// giver is a host that gives out starts in TestAnySecond.
type giver struct {
	pace  Pace
	share func(now time.Time) float64
}

// TestAnySecond has up to two hosts give out the starts of one endpoint, one that had the
// right for long and one that follows, or two that see disjoint parts of the hosts, for any
// sequence of asks, waits and delays. Whatever is used within one second stays below the bound.
func TestAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound(rapid.Float64Range(1, 60).Draw(t, "bears"), rapid.Float64Range(0, 3).Draw(t, "overrun"),
			rapid.Float64Range(0, 20).Draw(t, "tolerance"))
		silence := 3 * time.Second
		part := rapid.Float64Range(0, 1).Draw(t, "part")
		cut := rapid.Bool().Draw(t, "cut")
		// The first has the right for long. From noticed on it sees its part alone, or
		// it has died. The other notices as early as at 0, and so earlier than the first.
		noticed := time.Duration(rapid.Int64Range(0, int64(silence)).Draw(t, "noticed"))
		first := giver{share: func(now time.Time) float64 {
			at := now.Sub(begin)
			switch {
			case at < noticed:
				return Share(bound, Tenure{Part: 1, Alike: time.Hour, Up: time.Hour, Silence: silence})
			case !cut:
				return 0
			}
			return Share(bound, Tenure{Part: part, Alike: at - noticed, Up: time.Hour, Silence: silence})
		}}
		second := giver{share: func(now time.Time) float64 {
			p := 1.0
			if cut {
				p -= part
			}
			return Share(bound, Tenure{Part: p, Alike: now.Sub(begin), Up: time.Hour, Silence: silence})
		}}
		var used []time.Duration
		at, longest := time.Duration(0), rapid.SampledFrom([]time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond}).Draw(t, "longest")
		for range rapid.IntRange(200, 1000).Draw(t, "asks") {
			at += time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "pause"))
			g := &first
			if rapid.Bool().Draw(t, "second") {
				g = &second
			}
			now := begin.Add(at)
			wait := time.Duration(rapid.Int64Range(0, int64(500*time.Millisecond)).Draw(t, "wait"))
			in, ok := g.pace.Ask(now, g.share(now), wait)
			if ok && in > wait {
				t.Fatalf("a start in %s for one that waits %s", in, wait)
			}
			if ok {
				used = append(used, at+in+time.Duration(rapid.Int64Range(0, int64(Lag)).Draw(t, "late")))
			}
		}
		slices.Sort(used)
		if n := fullest(used); float64(n) > bound {
			t.Fatalf("%d used in one second, %v allowed", n, bound)
		}
	})
}
