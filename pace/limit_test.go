package pace

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// limitWindow is the time over which what an endpoint gets is counted against its limit.
const limitWindow = 4 * time.Second

// fullestIn returns the most of some moments, in order, that lie within a time.
func fullestIn(used []time.Duration, within time.Duration) (most int) {
	for first, last := 0, 0; last < len(used); last++ {
		for used[last]-used[first] >= within {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestLimitTerms checks that one host that has all votes gives out what is named and, however
// late starts are used, hardly more in any window; and what small parts give out.
func TestLimitTerms(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 5.7, 30, 200} {
		var p Pace
		var used []time.Duration
		for at := time.Duration(0); at < time.Minute; at += time.Millisecond {
			if _, ok := p.Ask(begin.Add(at), LimitTerms(limit, 1), 0); !ok {
				continue
			}
			late := time.Duration(0)
			if at < 30*time.Second {
				late = Lag
			}
			used = append(used, at+late)
		}
		slices.Sort(used)
		allowed := 1.1*limit*limitWindow.Seconds() + 1
		if n := fullestIn(used, limitWindow); float64(n) > allowed {
			t.Errorf("%v a second: %d in %v, want %.1f at the most", limit, n, limitWindow, allowed)
		}
		if least := 0.9 * 60 * limit; float64(len(used)) < least {
			t.Errorf("%v a second: %d in a minute, want %.0f at the least", limit, len(used), least)
		}
	}
	var p Pace
	given := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		if _, ok := p.Ask(begin.Add(at), LimitTerms(0, 1), 0); ok {
			given++
		}
	}
	if given < 11 || given > 13 {
		t.Errorf("%d given in a minute of a limit of 0, want one in 5 s", given)
	}
	for _, tc := range []struct {
		limit, part float64
		none        bool
	}{{5.7, 1, false}, {5.7, 0.25, false}, {5.7, 0.2, true}, {200, 0.01, false}, {200, 0.009, true}, {0, 1, false}, {0, 0, true}} {
		if got := LimitTerms(tc.limit, tc.part) == (Terms{}); got != tc.none {
			t.Errorf("%v of %v: none %v", tc.part, tc.limit, got)
		}
	}
}

// TestLimitChanges has an endpoint name another limit at any moment: what was given out under
// the one before delays nothing for long, and is not given out again.
func TestLimitChanges(t *testing.T) {
	var p Pace
	for at := time.Duration(0); at < time.Second; at += time.Millisecond {
		p.Ask(begin.Add(at), LimitTerms(200, 1), MostWait)
	}
	if in, _ := p.Ask(begin.Add(time.Second), LimitTerms(0.5, 1), 0); in > 3*time.Second {
		t.Errorf("the next start in %v, want that of a second's starts", in)
	}
	p, given := Pace{}, 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		limit := 5.7
		if at/(100*time.Millisecond)%2 == 0 {
			limit = 5.6
		}
		if _, ok := p.Ask(begin.Add(at), LimitTerms(limit, 1), 0); ok {
			given++
		}
	}
	if given < 52 || given > 58 {
		t.Errorf("%d given in 10 s by a limit that changes each 100 ms between 5.6 and 5.7", given)
	}
}

// TestTighter checks terms of an endpoint that is cold and names a limit.
func TestTighter(t *testing.T) {
	if got, want := (Terms{2, 30}).Tighter(Terms{1, 40}), (Terms{1, 30}); got != want {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestPromise checks that callers that are refused together are told times one after the other,
// that no time is before there is a start, and that none is further than callers wait.
func TestPromise(t *testing.T) {
	terms := LimitTerms(5, 1)
	var p Pace
	p.Ask(begin, terms, 0)
	last := time.Duration(0)
	for i := range 100 {
		in, given := p.Ask(begin, terms, 0)
		if given {
			t.Fatal("given")
		}
		back := p.Promise(begin, terms)
		if back < in || back > longestPromise || i > 0 && back < longestPromise && back-last < 199*time.Millisecond {
			t.Fatalf("caller %d is told %v after %v, with a start in %v", i, back, last, in)
		}
		last = back
	}
	if back := p.Promise(begin, Terms{}); back != longestPromise {
		t.Errorf("told %v where nothing is given out", back)
	}
}

// TestLone has many hosts that reach no owner send to an endpoint for hours: together they stay
// below the part that they may have, whenever they began.
func TestLone(t *testing.T) {
	for _, hosts := range []int{1, 8, 300} {
		const limit = 5.7
		var used []time.Duration
		lones := make([]Lone, hosts)
		for i := range lones {
			lones[i].Phase = float64(i) / float64(hosts)
		}
		for at := time.Duration(0); at < 10*time.Minute; at += 20 * time.Millisecond {
			for i := range lones {
				if at > 2*time.Minute && at < 5*time.Minute {
					continue // nobody asks
				}
				if _, ok := lones[i].Ask(begin.Add(at), limit, 1/float64(hosts)); ok {
					used = append(used, at)
				}
			}
		}
		allowed := 0.5*limit*(limitWindow+loneKept).Seconds() + 2
		if n := fullestIn(used, limitWindow); float64(n) > allowed {
			t.Errorf("%d hosts: %d in %v, want %.1f at the most", hosts, n, limitWindow, allowed)
		}
		if least := 0.8 * 0.5 * limit * 7 * 60; float64(len(used)) < least {
			t.Errorf("%d hosts: %d in 7 minutes, want %.0f at the least", hosts, len(used), least)
		}
	}
	var l Lone
	if in, given := l.Ask(begin, 5, 0); given || in != Never {
		t.Errorf("%v, %v with no part", in, given)
	}
}

// TestOrder has two askers ask for more than there is, beside each other: who goes first, and
// that nobody is shut out.
func TestOrder(t *testing.T) {
	type asks struct {
		Asker
		perSecond float64
	}
	for _, tc := range []struct {
		name        string
		limit       float64
		a, b        asks
		least, most float64 // of a's starts to b's
	}{
		{"alike", 20, asks{Asker{1, 1}, 40}, asks{Asker{2, 1}, 40}, 0.8, 1.25},
		{"one is more urgent", 20, asks{Asker{1, 0}, 10}, asks{Asker{1, 2}, 40}, 0.9, 1.6},
		{"a team asks for much more", 20, asks{Asker{1, 1}, 12.5}, asks{Asker{2, 1}, 200}, 0.5, 2},
		{"very little", 0.5, asks{Asker{1, 0}, 10}, asks{Asker{2, 3}, 9.1}, 0.3, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p Pace
			var o Order
			got := map[Asker]int{}
			rng := rand.New(rand.NewPCG(1, 2))
			const step = 2 * time.Millisecond
			for at := time.Duration(0); at < 5*time.Minute; at += step {
				for _, who := range []asks{tc.a, tc.b} {
					if rng.Float64() > who.perSecond*step.Seconds() {
						continue
					}
					now := begin.Add(at)
					if _, ok := p.Ask(now, LimitTerms(tc.limit, 1), o.Ahead(now, who.Asker, MostWait)); ok {
						o.Had(now, who.Asker)
						got[who.Asker]++
					}
				}
			}
			part := float64(got[tc.a.Asker]) / float64(got[tc.b.Asker])
			t.Logf("%v of %v a second in 5 minutes", got, tc.limit)
			if part < tc.least || part > tc.most {
				t.Errorf("%.2f to one, want %v to %v", part, tc.least, tc.most)
			}
		})
	}
	var o Order
	for n := range uint32(2 * mostTeams) {
		o.Had(begin, Asker{Team: n})
	}
	if len(o.had) > mostTeams {
		t.Errorf("%d teams remembered", len(o.had))
	}
	if o.fade(begin.Add(time.Hour)); len(o.had) != 0 {
		t.Errorf("%d teams remembered after an hour", len(o.had))
	}
}

// TestWords has an endpoint's answers come in any order at two hosts that tell each other in any
// order: both believe the newest word in the end, of the newest process.
func TestWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []Word
		for range rapid.IntRange(1, 8).Draw(t, "words") {
			words = append(words, Word{Named: rapid.Bool().Draw(t, "named"), PerSecond: float64(rapid.IntRange(0, 3).Draw(t, "limit")),
				At: begin.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "at")) * time.Millisecond), Born: int64(rapid.IntRange(1, 2).Draw(t, "born"))})
		}
		newest := words[0]
		for _, w := range words[1:] {
			if w.Born > newest.Born || w.Born == newest.Born && w.At.After(newest.At) {
				newest = w
			}
		}
		var hosts [2]Belief
		now := begin.Add(time.Minute)
		for i := range hosts {
			for _, w := range rapid.Permutation(words).Draw(t, "order") {
				hosts[i].Hear(now, w)
				other := hosts[i].Word().Tell(now).Word(now)
				if rapid.Bool().Draw(t, "told") {
					hosts[1-i].Hear(now, other)
				}
			}
		}
		for i := range hosts {
			// Of words of one moment the one that came first holds.
			if w := hosts[i].Word(); w.Born != newest.Born || !w.At.Equal(newest.At) {
				t.Fatalf("host %d believes %+v, want %+v", i, w, newest)
			}
		}
	})
}

// TestBelief follows an endpoint that names a limit, another, and none, and one that starts again.
func TestBelief(t *testing.T) {
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	var b Belief
	for _, tc := range []struct {
		name    string
		now     int
		word    Word
		want    Change
		limit   float64
		bounded bool
	}{
		{"nothing named", 0, Word{At: at(-50), Born: 1}, ChangeNone, 0, false},
		{"named", 100, Word{Named: true, PerSecond: 5, At: at(100), Born: 1}, ChangeBegan, 5, true},
		{"an answer that was under way", 120, Word{At: at(90), Born: 1}, ChangeNone, 5, true},
		{"an older name", 130, Word{Named: true, PerSecond: 9, At: at(95), Born: 1}, ChangeNone, 5, true},
		{"the same", 200, Word{Named: true, PerSecond: 5, At: at(200), Born: 1}, ChangeNone, 5, true},
		{"another one", 300, Word{Named: true, PerSecond: 2, At: at(300), Born: 1}, ChangeValue, 2, true},
		{"none, sent before", 340, Word{At: at(290), Born: 1}, ChangeNone, 2, true},
		{"none, sent since", 400, Word{At: at(310), Born: 1}, ChangeEnded, rampLeast, true},
		{"a name that came before", 410, Word{Named: true, PerSecond: 3, At: at(305), Born: 1}, ChangeNone, math.NaN(), true},
		{"none again", 1300, Word{At: at(1250), Born: 1}, ChangeNone, 0, false},
		{"named again", 1400, Word{Named: true, PerSecond: 1, At: at(1400), Born: 1}, ChangeBegan, 1, true},
		{"a process whose start isn't told", 1500, Word{At: at(1450)}, ChangeEnded, rampLeast, true},
		{"named by the same", 1550, Word{Named: true, PerSecond: 1, At: at(1550)}, ChangeBegan, 1, true},
		{"a process of a start", 1560, Word{Named: true, PerSecond: 1, At: at(1560), Born: 1}, ChangeNone, 1, true},
		{"a later process", 1600, Word{At: at(1550), Born: 2}, ChangeNone, 0, false},
		{"the process before", 1700, Word{Named: true, PerSecond: 1, At: at(1700), Born: 1}, ChangeNone, 0, false},
	} {
		if got := b.Hear(at(tc.now), tc.word); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
		limit, bounded := b.Limit(at(tc.now))
		if bounded != tc.bounded || !math.IsNaN(tc.limit) && math.Abs(limit-tc.limit) > 0.01 {
			t.Errorf("%s: %v, %v, want %v, %v", tc.name, limit, bounded, tc.limit, tc.bounded)
		}
	}
	b = Belief{}
	b.Hear(at(0), Word{Named: true, PerSecond: 5, At: at(0)})
	if f := b.Fresh(at(500)); f != freshFor-500*time.Millisecond {
		t.Errorf("the dearer choice for %v", f)
	}
	if f := b.Fresh(at(60_000)); f != 0 {
		t.Errorf("the dearer choice for %v a minute later", f)
	}
	if b.Restarted(7); b.Word().Named != true {
		t.Error("forgotten for a process whose start was not known before")
	}
}

// TestRamp checks that what an endpoint is sent after its limit is over rises without a jump
// and is unbounded within a second.
func TestRamp(t *testing.T) {
	var b Belief
	b.Hear(begin, Word{Named: true, PerSecond: 5.7, At: begin})
	b.Hear(begin.Add(time.Second), Word{At: begin.Add(900 * time.Millisecond)})
	before, p, used := 5.7, Pace{}, 0
	for at := time.Second; at < time.Second+rampFor; at += time.Millisecond {
		now := begin.Add(at)
		limit, bounded := b.Limit(now)
		if !bounded || limit < before || limit > 1.02*before {
			t.Fatalf("%v, %v %v after the end, %v just before", limit, bounded, at-time.Second, before)
		}
		before = limit
		if _, ok := p.Ask(now, LimitTerms(limit, 1), 0); ok {
			used++
		}
	}
	if used < 20 || used > 120 {
		t.Errorf("%d used as it rose", used)
	}
	if _, bounded := b.Limit(begin.Add(2 * time.Second)); bounded {
		t.Error("bounded a second after the end")
	}
}
