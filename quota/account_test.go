package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// alone is what a holder has in reach that is the only one.
var alone = Reach{Part: 1, Settled: true}

// TestAccount plays one holder's account by hand: what is asked of it, and what becomes
// of that.
func TestAccount(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 200}
	cases := []struct {
		name  string
		reach Reach
		play  func(a *Account, at func(s float64) time.Time) float64 // what is let in
		want  float64
	}{
		{"the burst, and one request beyond it", alone, func(a *Account, at func(float64) time.Time) float64 {
			return ask(a, at(0), 30, 90, alone)
		}, 270},
		{"nothing more until the debt is paid", alone, func(a *Account, at func(float64) time.Time) float64 {
			ask(a, at(0), 30, 90, alone)
			return ask(a, at(0.6), 1, 90, alone)
		}, 0},
		{"then as much as the rate", alone, func(a *Account, at func(float64) time.Time) float64 {
			ask(a, at(0), 30, 90, alone)
			return ask(a, at(0.8), 1, 90, alone)
		}, 90},
		{"what didn't run is given back", alone, func(a *Account, at func(float64) time.Time) float64 {
			ask(a, at(0), 30, 90, alone)
			a.Return(at(0), 90, alone)
			return ask(a, at(0), 1, 90, alone)
		}, 90},
		{"a new account where others may have held the limit", Reach{Part: 1}, func(a *Account, at func(float64) time.Time) float64 {
			return ask(a, at(0), 30, 10, Reach{Part: 1})
		}, 50},
		{"what another domain was told to have let in", Reach{Part: 1, Domains: []string{"b"}, Settled: true}, func(a *Account, at func(float64) time.Time) float64 {
			r := Reach{Part: 1, Domains: []string{"b"}, Settled: true}
			a.Hear(at(0), "b", Word{Holder: 9}, r)
			a.Advance(at(2), r)
			a.Hear(at(2), "b", Word{Holder: 9, Used: 150}, r)
			return ask(a, at(2), 30, 10, r)
		}, 50},
		{"a tenth of the hosts in reach", Reach{Part: 0.1}, func(a *Account, at func(float64) time.Time) float64 {
			r := Reach{Part: 0.1}
			ask(a, at(0), 30, 10, r)
			sum := 0.0
			for i := range 100 {
				sum += ask(a, at(1+float64(i)/10), 1, 10, r)
			}
			return sum
		}, 110}, // 11 a second
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := Open(epoch, 1, limit, tc.reach)
			got := tc.play(a, func(s float64) time.Time { return epoch.Add(seconds(s)) })
			if got < tc.want-10 || got > tc.want+10 {
				t.Errorf("%v let in, want %v", got, tc.want)
			}
		})
	}
}

// Advance brings the account up to date without asking for anything.
func (a *Account) Advance(now time.Time, r Reach) { a.advance(now, r) }

// ask asks k times for n, and returns what was let in.
func ask(a *Account, now time.Time, k int, n float64, r Reach) (in float64) {
	for range k {
		if a.Ask(now, n, r).OK {
			in += n
		}
	}
	return in
}

// TestPromise checks that callers that are refused together are told one time after
// the other, at each of which one of them fits.
func TestPromise(t *testing.T) {
	a := Open(epoch, 1, Limit{Rate: 100, Burst: 100}, alone)
	ask(a, epoch, 10, 50, alone)
	var told []time.Duration
	for i := range 5 {
		got := a.Ask(epoch, 50, alone)
		if got.OK || i > 0 && got.After <= told[i-1] {
			t.Fatalf("refusal %d: %+v, want a time after %v", i, got, told)
		}
		told = append(told, got.After)
	}
	for _, after := range told {
		if !a.Ask(epoch.Add(after+time.Millisecond), 50, alone).OK {
			t.Errorf("after %v a request of the size doesn't fit", after)
		}
	}
}

// TestAccountBound has one holder asked at random, for what runs, is given back or is
// never asked again, while a limit changes. In no window is more let in than the limit
// and the largest request allow.
func TestAccountBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(10, 1000).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0, 3).Draw(t, "burst")
		largest := limit.Rate * rapid.Float64Range(0.01, 2).Draw(t, "largest")
		a := Open(epoch, 1, limit, alone)
		type in struct {
			at time.Duration
			n  float64
		}
		var list []in
		at := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			n := largest * rapid.Float64Range(0.01, 1).Draw(t, "n")
			if !a.Ask(epoch.Add(at), n, alone).OK {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "returned") == 0 {
				a.Return(epoch.Add(at), n, alone)
				continue
			}
			list = append(list, in{at, n})
		}
		for i := range list {
			sum := 0.0
			for _, b := range list[i:] {
				sum += b.n
				span := (b.at - list[i].at).Seconds()
				if most := limit.Rate*span + max(limit.Burst, leastBurst*limit.Rate) + largest; sum > most*1.0001 {
					t.Fatalf("%.1f let in within %.3f s, at most %.1f may be", sum, span, most)
				}
			}
		}
	})
}

// TestLone checks what hosts let in together that reach no holder: about what they let
// in before, and the part of the limit that was free.
func TestLone(t *testing.T) {
	cases := []struct {
		use         float64 // of the limit, before
		before      float64 // a second on each of ten hosts
		least, most float64 // a second in all, of 1000
	}{{1, 100, 900, 1100}, {0.5, 50, 900, 1100}, {0.2, 20, 450, 1100}, {0, 0, 900, 1100}}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.use), func(t *testing.T) {
			limit, sum := Limit{Rate: 1000, Burst: 1000}, 0.0
			for range 10 {
				l := new(Lone)
				for i := range 1000 {
					l.Passed(epoch.Add(time.Duration(i)*10*time.Millisecond), tc.before/100, Answer{OK: true, Use: tc.use})
				}
				for i := range 1000 {
					if l.Ask(epoch.Add(10*time.Second+time.Duration(i)*10*time.Millisecond), 5, limit, 0.1).OK {
						sum += 5
					}
				}
			}
			if got := sum / 11; got < tc.least || got > tc.most { // ten seconds, and the burst
				t.Errorf("%.0f a second let in, want %.0f to %.0f", got, tc.least, tc.most)
			}
		})
	}
}

// TestCutOff states when a holder counts as cut off from all others, by whether another
// failure domain was heard of and how long ago another host of its own asked it.
func TestCutOff(t *testing.T) {
	r := Reach{Part: 1, Domains: []string{"b", "c"}}
	team := Team{Number: 7, Limit: Limit{Rate: 100, Burst: 100}}
	cases := []struct {
		name  string
		heard []string // other domains
		miss  []string // of them later
		asked float64  // s ago by another host; 0: never
		want  bool
	}{
		{"all is well", []string{"b", "c"}, nil, 0.1, false},
		{"none was ever heard", nil, nil, 0, false},
		{"one domain is cut off", []string{"b", "c"}, []string{"b"}, 0, false},
		{"all other domains are cut off", []string{"b", "c"}, []string{"b", "c"}, 0.1, false},
		{"nobody is in reach", []string{"b", "c"}, []string{"b", "c"}, 2, true},
		{"nobody ever asked", []string{"b", "c"}, []string{"b", "c"}, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, now := NewAccounts(1), epoch.Add(time.Minute)
			s.Ask(epoch, team, 1, r)
			for _, d := range tc.heard {
				s.Hear(epoch, team, d, Word{Holder: 9}, r)
			}
			if tc.asked > 0 {
				s.Asked(now.Add(-seconds(tc.asked)), team.Number)
			}
			for _, d := range tc.miss {
				s.Miss(now, team, d, r)
			}
			if got := s.CutOff(now, team.Number); got != tc.want {
				t.Errorf("cut off: %v, want %v", got, tc.want)
			}
		})
	}
}
