package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/ledger"
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

// stateEngine answers polls, and counts them.
type stateEngine struct {
	endpoint.Engine
	polls   int
	running int
}

func (e *stateEngine) State(context.Context, string) (*endpoint.State, error) {
	e.polls++
	return &endpoint.State{Incarnation: 1, Running: e.running, Lists: true}, nil
}

func (e *stateEngine) Traits() endpoint.Traits { return endpoint.Traits{} }

func (e *stateEngine) Requests(context.Context, string) ([]endpoint.Running, error) { return nil, nil }

// TestIdlePolls counts the polls of an endpoint in twelve seconds. Thousands of endpoints that
// run nothing were each asked for their report every 1.5 s, thousands of calls a second that
// told nothing; but one that has work, or whose registration nobody can read, is asked as ever.
func TestIdlePolls(t *testing.T) {
	const span, usual = 12 * time.Second, 1500 * time.Millisecond
	const many = int(span / usual)
	cases := []struct {
		name        string
		change      func(o *Owner, e *stateEngine, b *Book)
		least, most int
	}{
		{"idle", func(*Owner, *stateEngine, *Book) {}, 2, 3},
		{"it runs something", func(_ *Owner, e *stateEngine, _ *Book) { e.running = 1 }, many, many + 1},
		{"memory is reserved there after a while", func(o *Owner, _ *stateEngine, b *Book) {
			time.AfterFunc(7*time.Second, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.ledger.Reserve(time.Now(), ledger.Ask{Attempt: attempt(1), Tokens: 10, MaxAnswer: 10}, b.teamWeight)
			})
		}, 4, 2 + int(5*time.Second/listSoon)}, // its steps are still to be learned
		{"the store is out of reach", func(o *Owner, _ *stateEngine, _ *Book) { o.board.Config.Older(time.Hour) }, many, many + 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := testOwner(t, "a", "b")
				e := new(stateEngine)
				o.engine, o.log = e, zap.NewNop()
				o.board.Settings.PollMillis = int(usual.Milliseconds())
				o.board.Config.Heard(time.Now())
				v := o.board.Config.View()
				b := newBook(v, v.Endpoint("e"), 1, time.Now())
				b.ready = true
				o.books[b.number], o.owned = b, map[uint32]bool{b.number: true}
				tc.change(o, e, b)
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					b.mu.Lock()
					due := b.due(time.Now())
					b.mu.Unlock()
					if !due.After(time.Now()) {
						o.poll(context.Background(), b)
					}
				}
				if e.polls < tc.least || e.polls > tc.most {
					t.Errorf("%d polls in %s, want %d to %d", e.polls, span, tc.least, tc.most)
				}
			})
		})
	}
}
