package pace

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var one, two = Holder{1, 1}, Holder{2, 1}

// TestVotes checks to whom a host gives its vote.
func TestVotes(t *testing.T) {
	v := NewVotes(epoch)
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	for _, tc := range []struct {
		name     string
		at       time.Duration
		endpoint uint32
		to       Holder
		want     bool
	}{
		{"just begun", BindingCold - 1, 7, one, false},
		{"the first that asks", BindingCold, 7, one, true},
		{"another one", BindingCold + 1, 7, two, false},
		{"another endpoint", BindingCold + 1, 8, two, true},
		{"the first again", BindingCold + time.Second, 7, one, true},
		{"the first, started anew", BindingCold + time.Second, 7, Holder{1, 2}, false},
		{"another one before it is free", 2*BindingCold + time.Second - 1, 7, two, false},
		{"another one once it is free", 2*BindingCold + time.Second, 7, two, true},
		{"the first, too late", 2*BindingCold + time.Second, 7, one, false},
	} {
		v.DropExpired(at(tc.at))
		if got := v.Grant(at(tc.at), tc.endpoint, true, tc.to); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

// TestRight checks a holder's share by its valid votes.
func TestRight(t *testing.T) {
	var r GrantedVotes
	r.BeginRound(4)
	if p := r.Share(epoch); p != 0 {
		t.Errorf("%v without a vote", p)
	}
	r.AddVote(1, epoch, 4)
	r.AddVote(2, epoch.Add(100*time.Millisecond), 4)
	if p := r.Share(epoch.Add(Lease - 1)); p != 0.5 {
		t.Errorf("%v with two votes of four", p)
	}
	if p := r.Share(epoch.Add(Lease)); p != 0.25 {
		t.Errorf("%v once a vote has expired", p)
	}
	r.AddVote(2, epoch.Add(100*time.Millisecond), 8)
	if p := r.Share(epoch.Add(Lease)); p != 0.125 {
		t.Errorf("%v where another knows of eight", p)
	}
	r.BeginRound(1)
	if p := r.Share(epoch.Add(Lease)); p != 0.125 {
		t.Errorf("%v in the next round, until the voter that knows of eight answers", p)
	}
	if p := r.Share(epoch.Add(Lease + 100*time.Millisecond)); p != 0 {
		t.Errorf("%v once all votes have expired", p)
	}
	r.AddVote(1, epoch.Add(Lease), 1)
	if p := r.Share(epoch.Add(Lease + 100*time.Millisecond)); p != 1 {
		t.Errorf("%v once the report of eight voters has expired", p)
	}
}

// holder is a host that grants permits in TestAnySecond.
type holder struct {
	Holder
	bucket Bucket
	votes  GrantedVotes
}

// TestAnySecond has several hosts request the votes of voters at random times, with any of them
// reachable or not, dying, restarting, and granting permits for random sequences of requests, waits
// and delays. The permits used within any one second must stay below the bound.
func TestAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := ColdBound(rapid.Float64Range(1, 60).Draw(t, "bears"), rapid.Float64Range(0, 3).Draw(t, "overrun"),
			rapid.Float64Range(0, 20).Draw(t, "tolerance"))
		voters := make([]*Votes, rapid.IntRange(1, 6).Draw(t, "voters"))
		for i := range voters {
			voters[i] = NewVotes(epoch.Add(-time.Hour))
		}
		holders := make([]*holder, rapid.IntRange(1, 4).Draw(t, "holders"))
		for i := range holders {
			holders[i] = &holder{Holder: Holder{Host: uint32(i), Incarnation: 1}}
		}
		var used []time.Duration
		for at, end := time.Duration(0), 8*time.Second; at < end; at += 10 * time.Millisecond {
			now := epoch.Add(at)
			h := rapid.SampledFrom(holders).Draw(t, "who")
			switch n := rapid.IntRange(0, 99).Draw(t, "what"); {
			case n < 20: // a round of votes; some answers are lost, some late
				h.votes.BeginRound(len(voters))
				for i, v := range voters {
					requestedAt := now.Add(-time.Duration(rapid.Int64Range(0, int64(150*time.Millisecond)).Draw(t, "under way")))
					if rapid.Bool().Draw(t, "reached") && v.Grant(now, 7, true, h.Holder) {
						h.votes.AddVote(uint32(i), requestedAt, len(voters))
					}
				}
			case n == 20: // a voter restarts
				voters[rapid.IntRange(0, len(voters)-1).Draw(t, "voter")] = NewVotes(now)
			case n == 21: // a holder restarts
				*h = holder{Holder: Holder{h.Host, h.Incarnation + 1}}
			default:
				for range rapid.IntRange(0, 8).Draw(t, "asks") {
					in, granted := h.bucket.Acquire(now, ColdParams(bound*h.votes.Share(now)), MaxWait)
					if granted {
						used = append(used, at+in+time.Duration(rapid.Int64Range(0, int64(Lag)).Draw(t, "late")))
					}
				}
			}
		}
		slices.Sort(used)
		if n := maxPerSecond(used); float64(n) > bound {
			t.Fatalf("%d used in one second, %v allowed", n, bound)
		}
	})
}
