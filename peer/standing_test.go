package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
)

// TestRely reports another host's revisions to a host, and checks for how long it relies on that
// report: with a bound of four seconds, 1.8 s, and 1 s while it lacks a revision.
func TestRely(t *testing.T) {
	const bound = 4 * time.Second
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	cases := []struct {
		name     string
		bound    time.Duration
		revision uint64
		roster   config.Position
		age      uint32        // age as sent; 0: none
		after    time.Duration // when the result is checked
		want     bool
	}{
		{"nothing", bound, 1, 1, 0, 0, false},
		{"the same, fresh", bound, 1, 1, 1, 0, true},
		{"some time later", bound, 1, 1, 1, ms(1700), true},
		{"too late", bound, 1, 1, 1, ms(1900), false},
		{"an old report", bound, 1, 1, 1301, ms(600), false},
		{"a later revision", bound, 2, 1, 1, ms(100), false},
		{"a later roster", bound, 1, 2, 1, ms(100), false},
		{"an earlier one", bound, 0, 0, 1, 0, true},
		{"no bound", 0, 1, 1, 1, ms(5900), true},
		{"no bound, too late", 0, 1, 1, 1, ms(6100), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := informedRouter(t, tc.bound)
				r.applyStanding(aheadPeer{revision: tc.revision, roster: tc.roster, from: HostIdentity{Name: "other"}}, tc.age, time.Now())
				time.Sleep(tc.after)
				if got := r.ReliesOnPeers(time.Now()); got != tc.want {
					t.Errorf("relies: %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestRelyBehind has a host learn of a later revision that it can't fetch, after another host's
// report showed that it was up to date.
func TestRelyBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 4 * time.Second
		r := informedRouter(t, bound)
		r.applyStanding(aheadPeer{revision: 1, roster: 1, from: HostIdentity{Name: "other"}}, 1, time.Now())
		r.applyStanding(aheadPeer{revision: 2, roster: 1, from: HostIdentity{Name: "third"}}, 1, time.Now())
		time.Sleep(900 * time.Millisecond)
		if !r.ReliesOnPeers(time.Now()) {
			t.Error("doesn't wait for a fetch")
		}
		time.Sleep(200 * time.Millisecond)
		if r.ReliesOnPeers(time.Now()) {
			t.Error("relies on others although a revision has been missing for over a second")
		}
	})
}

// TestStandingGroups checks how many hosts are sent a report directly, and that each host is in
// exactly one group.
func TestStandingGroups(t *testing.T) {
	for hosts, want := range map[int]int{0: 0, 1: 1, maxDirectHosts: maxDirectHosts, maxDirectHosts + 1: 4, 150: 13} {
		var all []uint32
		for n := range hosts {
			all = append(all, uint32(n))
		}
		groups := relayGroups(all)
		if len(groups) != want {
			t.Errorf("%d hosts: %d sent directly, want %d", hosts, len(groups), want)
		}
		reached := map[uint32]bool{}
		for _, g := range groups {
			for _, n := range g {
				reached[n] = true
			}
		}
		if len(reached) != hosts {
			t.Errorf("%d hosts: %d reached", hosts, len(reached))
		}
	}
}
