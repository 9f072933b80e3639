package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
)

// TestFed tells a host what another has in force, and states for how long it relies on
// that. With a bound of four seconds that is 1.8, and one for what it lacks.
func TestFed(t *testing.T) {
	const bound = 4 * time.Second
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	cases := []struct {
		name     string
		bound    time.Duration
		revision uint64
		roster   uint64
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
				r := standingRouter(t, tc.bound)
				r.learnStanding(ahead{revision: tc.revision, roster: tc.roster, from: Name{Name: "other"}}, tc.heard, time.Now())
				time.Sleep(tc.after)
				if got := r.Fed(time.Now()); got != tc.want {
					t.Errorf("fed: %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// standingRouter returns a router of a host that has revision 1 and roster 1.
func standingRouter(t *testing.T, bound time.Duration) *Router {
	s := &config.Settings{Host: "h", Domain: "d", Region: "r", ChangeMillis: float64(bound.Milliseconds())}
	s.SetDefaults()
	b := blackboard.New(s)
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	r := NewRouter(b, owner.New(b, endpoint.NewClient(nil), zap.NewNop()), refused, zap.NewNop())
	r.Offer(1, []byte(newsDocument), "test")
	r.OfferRoster(&config.Roster{Revision: 1}, "test")
	return r
}

// TestBehindNotFed has a host know of a later revision that it can't get, after it was
// told that it has all.
func TestBehindNotFed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 4 * time.Second
		r := standingRouter(t, bound)
		r.learnStanding(ahead{revision: 1, roster: 1, from: Name{Name: "other"}}, 1, time.Now())
		r.learnStanding(ahead{revision: 2, roster: 1, from: Name{Name: "third"}}, 1, time.Now())
		time.Sleep(900 * time.Millisecond)
		if !r.Fed(time.Now()) {
			t.Error("a fetch isn't waited for")
		}
		time.Sleep(200 * time.Millisecond)
		if r.Fed(time.Now()) {
			t.Error("it relies on others though it has lacked a revision for over a second")
		}
	})
}
