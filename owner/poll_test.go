package owner

import (
	"context"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
)

// TestPolled checks that owned endpoints are always polled, and endpoints of other hosts only
// while they are in use here.
func TestPolled(t *testing.T) {
	number := config.NameNumber("e")
	cases := []struct {
		name  string
		owned bool
		idle  time.Duration
		want  bool
	}{
		{"owned", true, 0, true},
		{"owned, unused", true, time.Hour, true},
		{"not owned, in use", false, 0, true},
		{"not owned, no longer used", false, 2 * pollNotOwnedFor, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o, other := testOwner(t, "a", "b"), testOwner(t, "b", "a")
			v := o.board.Config.View()
			if h, ok := Of(o.board, v, v.Endpoint("e"), time.Now()); !ok || (h.Number == o.board.Number) != tc.owned {
				o = other
			}
			now := time.Now()
			o.adopt(v, now)
			if o.owned[number] != tc.owned {
				t.Fatalf("owned %v", o.owned[number])
			}
			sched := newScheduler(v, v.Endpoint("e"), 1, now)
			sched.lastUsed = now.Add(-tc.idle)
			o.schedulers[number] = sched
			var work func(context.Context)
			work, _ = o.Poller().Next(now)
			if (work != nil) != tc.want {
				t.Errorf("polled %v, want %v", work != nil, tc.want)
			}
		})
	}
}
