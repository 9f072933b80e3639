package owner

import (
	"context"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
)

// TestPolled states whether an endpoint is asked for its report, by who owns it and
// when its book was last asked for.
func TestPolled(t *testing.T) {
	number := config.NameNumber("e")
	cases := []struct {
		name  string
		owned bool
		idle  time.Duration
		want  bool
	}{
		{"owned", true, 0, true},
		{"owned, and nobody asks", true, time.Hour, true},
		{"another's, and somebody asks", false, 0, true},
		{"another's, and nobody asks any more", false, 2 * standInFor, false},
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
			b := newBook(v, v.Endpoint("e"), 1, now)
			b.used = now.Add(-tc.idle)
			o.books[number] = b
			var work func(context.Context)
			work, _ = o.Poller().Next(now)
			if (work != nil) != tc.want {
				t.Errorf("polled %v, want %v", work != nil, tc.want)
			}
		})
	}
}
