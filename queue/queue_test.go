package queue

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// newItem returns an item of a team, with work and slack in ms.
func newItem(n int, team uint32, priority, now, work, slack int) *Item {
	return &Item{Attempt: request.Attempt{Number: uint32(n)}, Team: team, Priority: priority, Work: time.Duration(work) * time.Millisecond,
		LatestStart: at(now + slack - work), NotBefore: at(now), Result: make(chan *result.Error, 1)}
}

func evenWeights(uint32) float64 { return 1 }

// TestQueue checks sequences of admissions, each given as team, priority, work and slack. The
// expected text names the admitted items in the order in which they are sent ("called"), then the
// refused and the evicted ones.
func TestQueue(t *testing.T) {
	cases := []struct {
		name  string
		items [][4]int // team, priority, work, slack
		want  string
	}{
		{"capacity for all", [][4]int{{1, 3, 100, 1000}, {1, 3, 100, 1000}}, "called 1 2"},
		{"the third is too late", [][4]int{{1, 3, 400, 1000}, {1, 3, 400, 1000}, {1, 3, 400, 1000}}, "called 1 2 refused 3"},
		{"a short one still fits", [][4]int{{1, 3, 400, 1000}, {1, 3, 400, 1000}, {1, 3, 400, 1000}, {1, 3, 20, 1000}}, "called 1 2 4 refused 3"},
		{"the one with less slack goes first", [][4]int{{1, 3, 100, 2000}, {1, 3, 100, 500}}, "called 2 1"},
		{"higher priority goes first", [][4]int{{1, 3, 100, 1000}, {1, 1, 100, 1000}}, "called 2 1"},
		{"higher priority evicts", [][4]int{{1, 3, 400, 500}, {1, 1, 400, 500}}, "called 2 evicted 1"},
		{"equal priority doesn't evict", [][4]int{{1, 3, 400, 500}, {1, 3, 400, 500}}, "called 1 refused 2"},
		{"a team above its share is evicted", [][4]int{{1, 3, 300, 1000}, {1, 3, 300, 1000}, {1, 3, 300, 1000}, {2, 3, 300, 1000}}, "called 4 1 2 evicted 3"},
		{"but not for a team above its own share", [][4]int{{1, 3, 500, 1000}, {2, 3, 500, 1000}, {1, 3, 300, 1000}}, "called 1 2 refused 3"},
		{"never in time", [][4]int{{1, 3, 900, 500}}, "called refused 1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := New(evenWeights, config.DefaultTokensPerSecond)
			var refused, evicted []string
			for i, it := range tc.items {
				p, err := q.Admit(at(0), newItem(i+1, uint32(it[0]), it[1], 0, it[2], it[3]))
				if err != nil {
					refused = append(refused, fmt.Sprint(i+1))
					if err.RetryAfter <= 0 {
						t.Errorf("item %d: no retry time", i+1)
					}
				}
				for _, x := range p {
					evicted = append(evicted, fmt.Sprint(x.Attempt.Number))
				}
			}
			got := []string{"called"}
			for now := 0; len(q.waiting) > 0 && now < 10_000; now += 5 {
				send, late := q.Next(at(now))
				for _, it := range send {
					got = append(got, fmt.Sprint(it.Attempt.Number))
				}
				if len(late) > 0 {
					t.Errorf("%d admitted items came too late", len(late))
				}
			}
			if len(refused) > 0 {
				got = append(got, "refused "+strings.Join(refused, " "))
			}
			if len(evicted) > 0 {
				got = append(got, "evicted "+strings.Join(evicted, " "))
			}
			if s := strings.Join(got, " "); s != tc.want {
				t.Errorf("got %q, want %q", s, tc.want)
			}
		})
	}
}

// TestQueueKeepsEngineBusy checks that work is sent ahead by the lookahead and no more, and that
// the engine's actual pace shifts the forecast.
func TestQueueKeepsEngineBusy(t *testing.T) {
	q := New(evenWeights, config.DefaultTokensPerSecond)
	for i := range 3 {
		if _, err := q.Admit(at(0), newItem(i, 1, 3, 0, 200, 5000)); err != nil {
			t.Fatal(err)
		}
	}
	if send, _ := q.Next(at(0)); len(send) != 1 {
		t.Fatalf("%d sent at once, want 1", len(send))
	}
	if due := q.Due(at(0)); !due.Equal(at(200).Add(-Lookahead)) {
		t.Errorf("due at %s, want the lookahead before 200 ms", due.Sub(epoch))
	}
	q.Done(at(120), request.Attempt{Number: 0}, true, 0) // faster than forecast
	if send, _ := q.Next(at(120)); len(send) != 1 {
		t.Errorf("%d sent when the engine is free, want 1", len(send))
	}
}

// TestQueueNotYet checks that a request that waits for decode memory lets others pass and is sent
// at its own time.
func TestQueueNotYet(t *testing.T) {
	q := New(evenWeights, config.DefaultTokensPerSecond)
	later := newItem(1, 1, 3, 0, 50, 2000)
	later.NotBefore = at(500)
	for _, it := range []*Item{later, newItem(2, 1, 3, 0, 100, 3000)} {
		if _, err := q.Admit(at(0), it); err != nil {
			t.Fatal(err)
		}
	}
	send, _ := q.Next(at(0))
	if len(send) != 1 || send[0] == later {
		t.Fatalf("sent %v, want the other one", send)
	}
	if due := q.Due(at(110)); !due.Equal(at(450)) {
		t.Errorf("due at %s, want 450ms", due.Sub(epoch))
	}
	if send, _ = q.Next(at(450)); len(send) != 1 || send[0] != later {
		t.Errorf("sent %v at its time", send)
	}
}

// TestShares checks that a team at ten times its share doesn't make another miss its targets: all
// requests of the light team are admitted.
func TestShares(t *testing.T) {
	q := New(evenWeights, config.DefaultTokensPerSecond)
	heavy, light, lost := 0, 0, 0
	for now := 0; now < 20_000; now += 20 {
		q.Next(at(now))
		for i := range 2 { // the heavy team requests 5 times the engine's capacity
			n := now*10 + i
			if _, err := q.Admit(at(now), newItem(n, 1, 3, now, 50, 1000)); err == nil {
				heavy++
			}
		}
		if now%200 != 0 { // the light team requests a quarter of it
			continue
		}
		if _, err := q.Admit(at(now), newItem(now*10+9, 2, 3, now, 50, 1000)); err != nil {
			lost++
		} else {
			light++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests of the light team were refused", lost, light+lost)
	}
	if heavy == 0 {
		t.Error("the heavy team got nothing of what was left")
	}
}

func BenchmarkQueue(b *testing.B) {
	q := New(evenWeights, config.DefaultTokensPerSecond)
	for i := range b.N {
		now := i * 10
		q.Admit(at(now), newItem(i, uint32(i%20), 3, now, 12, 1200))
		send, _ := q.Next(at(now))
		for _, it := range send {
			q.Done(at(now), it.Attempt, false, 0)
		}
	}
}

// TestClear checks that work cleared off a queue no longer counts as its team's use. Otherwise a
// newcomer of another team would evict the team's later requests.
func TestClear(t *testing.T) {
	q := New(evenWeights, config.DefaultTokensPerSecond)
	for n := range 4 {
		if _, err := q.Admit(at(0), newItem(n+1, 1, 3, 0, 300, 1500)); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(q.Clear()); n != 4 || q.Len() != 0 || q.Backlog(at(0)) != 0 {
		t.Fatalf("%d cleared, %d left", n, q.Len())
	}
	if use := q.shares.use(at(0), 1); use > 1e-9 {
		t.Errorf("a team with nothing waiting and nothing sent has used %g s", use)
	}
	for n, team := range []uint32{1, 2} {
		if _, err := q.Admit(at(0), newItem(n+5, team, 3, 0, 200, 400)); err != nil {
			t.Fatal(err)
		}
	}
	if evicted, err := q.Admit(at(0), newItem(7, 2, 3, 0, 200, 400)); len(evicted) != 0 || err == nil {
		t.Errorf("a team with as much waiting work evicts %d (%v)", len(evicted), err)
	}
}
