package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// soleHolder is the reachability of the only holder.
var soleHolder = Reachability{HostShare: 1, Settled: true}

// TestAccount checks what one holder's account admits in sequences of requests.
func TestAccount(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 200}
	cases := []struct {
		name  string
		reach Reachability
		play  func(a *Account, at func(s float64) time.Time) float64 // returns what is admitted
		want  float64
	}{
		{"the burst, and one request beyond it", soleHolder, func(a *Account, at func(float64) time.Time) float64 {
			return admit(a, at(0), 30, 90, soleHolder)
		}, 270},
		{"nothing more until the debt is paid", soleHolder, func(a *Account, at func(float64) time.Time) float64 {
			admit(a, at(0), 30, 90, soleHolder)
			return admit(a, at(0.6), 1, 90, soleHolder)
		}, 0},
		{"then as much as the rate", soleHolder, func(a *Account, at func(float64) time.Time) float64 {
			admit(a, at(0), 30, 90, soleHolder)
			return admit(a, at(0.8), 1, 90, soleHolder)
		}, 90},
		{"what didn't run is refunded", soleHolder, func(a *Account, at func(float64) time.Time) float64 {
			admit(a, at(0), 30, 90, soleHolder)
			a.Refund(at(0), 90, soleHolder)
			return admit(a, at(0), 1, 90, soleHolder)
		}, 90},
		{"a new account where others may have held the limit", Reachability{HostShare: 1}, func(a *Account, at func(float64) time.Time) float64 {
			return admit(a, at(0), 30, 10, Reachability{HostShare: 1})
		}, 50},
		{"what another domain reported as admitted", Reachability{HostShare: 1, Domains: []string{"b"}, Settled: true}, func(a *Account, at func(float64) time.Time) float64 {
			r := Reachability{HostShare: 1, Domains: []string{"b"}, Settled: true}
			a.Observe(at(0), "b", Report{Holder: 9}, r)
			a.Advance(at(2), r)
			a.Observe(at(2), "b", Report{Holder: 9, Used: 150}, r)
			return admit(a, at(2), 30, 10, r)
		}, 50},
		{"a tenth of the hosts reachable", Reachability{HostShare: 0.1}, func(a *Account, at func(float64) time.Time) float64 {
			r := Reachability{HostShare: 0.1}
			admit(a, at(0), 30, 10, r)
			sum := 0.0
			for i := range 100 {
				sum += admit(a, at(1+float64(i)/10), 1, 10, r)
			}
			return sum
		}, 110}, // 11 a second
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := OpenAccount(epoch, 1, limit, tc.reach)
			got := tc.play(a, func(s float64) time.Time { return epoch.Add(seconds(s)) })
			if got < tc.want-10 || got > tc.want+10 {
				t.Errorf("%v admitted, want %v", got, tc.want)
			}
		})
	}
}

// Advance brings the account up to date without a request.
func (a *Account) Advance(now time.Time, r Reachability) { a.advance(now, r) }

// admit makes k requests of n units each, and returns how many units were admitted.
func admit(a *Account, now time.Time, k int, n float64, r Reachability) (in float64) {
	for range k {
		if a.Admit(now, n, r).OK {
			in += n
		}
	}
	return in
}

// TestPromise checks that callers refused together get successive retry times, and that a request
// fits at each of them.
func TestPromise(t *testing.T) {
	a := OpenAccount(epoch, 1, Limit{Rate: 100, Burst: 100}, soleHolder)
	admit(a, epoch, 10, 50, soleHolder)
	var announced []time.Duration
	for i := range 5 {
		got := a.Admit(epoch, 50, soleHolder)
		if got.OK || i > 0 && got.After <= announced[i-1] {
			t.Fatalf("refusal %d: %+v, want a time after %v", i, got, announced)
		}
		announced = append(announced, got.After)
	}
	for _, after := range announced {
		if !a.Admit(epoch.Add(after+time.Millisecond), 50, soleHolder).OK {
			t.Errorf("after %v a request of the size doesn't fit", after)
		}
	}
}

// TestAccountBound makes random requests to one holder, some of which are refunded. In no window
// may more be admitted than the limit and the largest request allow.
func TestAccountBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(10, 1000).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0, 3).Draw(t, "burst")
		largest := limit.Rate * rapid.Float64Range(0.01, 2).Draw(t, "largest")
		a := OpenAccount(epoch, 1, limit, soleHolder)
		type in struct {
			at time.Duration
			n  float64
		}
		var admittedList []in
		at := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			n := largest * rapid.Float64Range(0.01, 1).Draw(t, "n")
			if !a.Admit(epoch.Add(at), n, soleHolder).OK {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "returned") == 0 {
				a.Refund(epoch.Add(at), n, soleHolder)
				continue
			}
			admittedList = append(admittedList, in{at, n})
		}
		for i := range admittedList {
			sum := 0.0
			for _, b := range admittedList[i:] {
				sum += b.n
				span := (b.at - admittedList[i].at).Seconds()
				if allowed := limit.Rate*span + max(limit.Burst, minBurstSeconds*limit.Rate) + largest; sum > allowed*1.0001 {
					t.Fatalf("%.1f admitted within %.3f s, want at most %.1f", sum, span, allowed)
				}
			}
		}
	})
}

// TestLone checks how much hosts without a reachable holder admit together: about what they
// admitted before, plus the part of the limit that was free.
func TestLone(t *testing.T) {
	cases := []struct {
		use              float64 // of the limit, before
		before           float64 // a second on each of ten hosts
		minRate, maxRate float64 // a second in all, of 1000
	}{{1, 100, 900, 1100}, {0.5, 50, 900, 1100}, {0.2, 20, 450, 1100}, {0, 0, 900, 1100}}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.use), func(t *testing.T) {
			limit, sum := Limit{Rate: 1000, Burst: 1000}, 0.0
			for range 10 {
				l := new(IsolatedLimiter)
				for i := range 1000 {
					l.ObserveAnswer(epoch.Add(time.Duration(i)*10*time.Millisecond), tc.before/100, Answer{OK: true, Use: tc.use})
				}
				for i := range 1000 {
					if l.Admit(epoch.Add(10*time.Second+time.Duration(i)*10*time.Millisecond), 5, limit, 0.1).OK {
						sum += 5
					}
				}
			}
			if got := sum / 11; got < tc.minRate || got > tc.maxRate { // ten seconds, and the burst
				t.Errorf("%.0f a second admitted, want %.0f to %.0f", got, tc.minRate, tc.maxRate)
			}
		})
	}
}

// TestCutOff checks when a holder counts as cut off from all others: it depends on whether another
// failure domain has reported, and on how long ago another host of its own domain made a request.
func TestCutOff(t *testing.T) {
	r := Reachability{HostShare: 1, Domains: []string{"b", "c"}}
	team := Team{Number: 7, Limit: Limit{Rate: 100, Burst: 100}}
	cases := []struct {
		name           string
		reported       []string // other domains that reported
		unreachable    []string // of these, unreachable later
		peerRequestAge float64  // seconds since another host's request; 0: none
		want           bool
	}{
		{"all is well", []string{"b", "c"}, nil, 0.1, false},
		{"none ever reported", nil, nil, 0, false},
		{"one domain is cut off", []string{"b", "c"}, []string{"b"}, 0, false},
		{"all other domains are cut off", []string{"b", "c"}, []string{"b", "c"}, 0.1, false},
		{"nobody is reachable", []string{"b", "c"}, []string{"b", "c"}, 2, true},
		{"nobody ever made a request", []string{"b", "c"}, []string{"b", "c"}, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, now := NewAccounts(1), epoch.Add(time.Minute)
			s.Admit(epoch, team, 1, r)
			for _, d := range tc.reported {
				s.Observe(epoch, team, d, Report{Holder: 9}, r)
			}
			if tc.peerRequestAge > 0 {
				s.NotePeerRequest(now.Add(-seconds(tc.peerRequestAge)), team.Number)
			}
			for _, d := range tc.unreachable {
				s.NoteUnreachable(now, team, d, r)
			}
			if got := s.CutOff(now, team.Number); got != tc.want {
				t.Errorf("cut off: %v, want %v", got, tc.want)
			}
		})
	}
}
