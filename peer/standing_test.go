package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/config"
)

// TestRely tells a host what another has in force, and states for how long it relies on
// that. With a bound of four seconds that is 1.8, and one for what it lacks.
func TestRely(t *testing.T) {
	const bound = 4 * time.Second
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	cases := []struct {
		name     string
		bound    time.Duration
		revision uint64
		roster   config.Position
		heard    uint32        // as it is told; 0: not at all
		after    time.Duration // that it is looked at
		want     bool
	}{
		{"nothing", bound, 1, 1, 0, 0, false},
		{"the same, fresh", bound, 1, 1, 1, 0, true},
		{"some time later", bound, 1, 1, 1, ms(1700), true},
		{"too late", bound, 1, 1, 1, ms(1900), false},
		{"word that is old", bound, 1, 1, 1301, ms(600), false},
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
				r.learnStanding(ahead{revision: tc.revision, roster: tc.roster, from: Name{Name: "other"}}, tc.heard, time.Now())
				time.Sleep(tc.after)
				if got := r.Relies(time.Now()); got != tc.want {
					t.Errorf("relies: %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestRelyBehind has a host know of a later revision that it can't get, after it was
// told that it has all.
func TestRelyBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 4 * time.Second
		r := informedRouter(t, bound)
		r.learnStanding(ahead{revision: 1, roster: 1, from: Name{Name: "other"}}, 1, time.Now())
		r.learnStanding(ahead{revision: 2, roster: 1, from: Name{Name: "third"}}, 1, time.Now())
		time.Sleep(900 * time.Millisecond)
		if !r.Relies(time.Now()) {
			t.Error("a fetch isn't waited for")
		}
		time.Sleep(200 * time.Millisecond)
		if r.Relies(time.Now()) {
			t.Error("it relies on others though it has lacked a revision for over a second")
		}
	})
}

// TestStandingGroups states how many hosts one tells of what it has in force, and that each
// is told once, by it or by one that it tells.
func TestStandingGroups(t *testing.T) {
	for hosts, want := range map[int]int{0: 0, 1: 1, standingFew: standingFew, standingFew + 1: 4, 150: 13} {
		var all []uint32
		for n := range hosts {
			all = append(all, uint32(n))
		}
		groups := standingGroups(all)
		if len(groups) != want {
			t.Errorf("%d hosts: %d told directly, want %d", hosts, len(groups), want)
		}
		told := map[uint32]bool{}
		for _, g := range groups {
			for _, n := range g {
				told[n] = true
			}
		}
		if len(told) != hosts {
			t.Errorf("%d hosts: %d told", hosts, len(told))
		}
	}
}
