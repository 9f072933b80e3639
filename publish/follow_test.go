package publish

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
)

// stubStore answers from a script: each call takes the next step. It blocks
// when the script is over.
type stubStore struct {
	steps []step
	calls []string
}

type step struct {
	list   []string // names of endpoints that a listing holds; nil: this is a watch
	come   []string
	gone   []string
	fail   error
	after  time.Duration
	others func(e *config.Endpoint)
}

var errDown = errors.New("down")

func (s *stubStore) next(ctx context.Context, what string) (step, error) {
	if len(s.steps) == 0 {
		<-ctx.Done()
		return step{}, ctx.Err()
	}
	at := s.steps[0]
	s.steps = s.steps[1:]
	s.calls = append(s.calls, what)
	time.Sleep(at.after)
	return at, at.fail
}

func rows(names []string, change func(e *config.Endpoint)) []config.Endpoint {
	var out []config.Endpoint
	for _, n := range names {
		e := config.Endpoint{Name: n, Address: "10.0.0.1:" + n[1:], Domain: "d", Pool: "p", Role: config.Decode}
		if change != nil {
			change(&e)
		}
		out = append(out, e)
	}
	return out
}

func (s *stubStore) List(ctx context.Context) (*State, error) {
	at, err := s.next(ctx, "list")
	return &State{At: config.Position(len(s.calls)), Endpoints: rows(at.list, at.others)}, err
}

func (s *stubStore) Watch(ctx context.Context, _ config.Position, _ time.Duration) (*Changes, error) {
	at, err := s.next(ctx, "watch")
	return &Changes{At: config.Position(len(s.calls)), Changed: rows(at.come, at.others), Gone: at.gone}, err
}

func (s *stubStore) Close() {}

// stubSink holds the newest roster.
type stubSink struct {
	roster *config.Roster
	lazy   bool
	relies bool
	age    time.Duration // of what is known; 0: nothing is
}

func (s *stubSink) Offer(uint64, []byte, string)           {}
func (s *stubSink) OfferRoster(r *config.Roster, _ string) { s.roster = r }
func (s *stubSink) Roster() *config.Roster                 { return s.roster }
func (s *stubSink) Eager() bool                            { return !s.lazy }
func (s *stubSink) Relies() bool                           { return s.relies }
func (s *stubSink) Heard(time.Time, time.Time)             {}
func (s *stubSink) HeardFor() (time.Duration, bool)        { return s.age, s.age > 0 }
func (s *stubSink) names() string {
	var out []string
	if s.roster != nil {
		for _, e := range s.roster.Endpoints.All() {
			out = append(out, e.Name)
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// TestFollow plays a store, one step a call, and states which endpoints are
// in force at the end.
func TestFollow(t *testing.T) {
	all := []string{"a1", "a2", "a3", "a4", "a5"}
	leaving := func(e *config.Endpoint) { e.Leaving = e.Name == "a2" }
	cases := []struct {
		name  string
		known []string // from a peer, before the first listing
		steps []step
		want  string
	}{
		{name: "listed", steps: []step{{list: all}}, want: "a1 a2 a3 a4 a5"},
		{name: "come and gone", steps: []step{{list: all}, {come: []string{"a6"}}, {gone: []string{"a1"}}}, want: "a2 a3 a4 a5 a6"},
		{name: "the store forgets", steps: []step{{list: all}, {fail: ErrForgotten}, {list: all[1:]}}, want: "a2 a3 a4 a5"},
		{name: "a watch's answer is longer than a listing", steps: []step{{list: all}, {fail: ErrLong}, {list: all[1:]}}, want: "a2 a3 a4 a5"},
		{name: "a watch's answer breaks off", steps: []step{{list: all}, {fail: ErrBroken}, {list: all[1:]}}, want: "a2 a3 a4 a5"},
		{name: "an outage lets registrations run out", steps: []step{{list: all}, {fail: errDown}, {fail: errDown, after: outageLeast}, {gone: all[:2]}},
			want: "a1 a2 a3 a4 a5"},
		{name: "a silent store lets registrations run out", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {gone: all[:2]}},
			want: "a1 a2 a3 a4 a5"},
		{name: "a watch is cut, and meanwhile one goes", steps: []step{{list: all}, {fail: errDown}, {fail: ErrForgotten}, {list: all[1:]}},
			want: "a2 a3 a4 a5"},
		{name: "an outage, and the store has forgotten", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {fail: ErrForgotten}, {list: all[2:]}},
			want: "a1 a2 a3 a4 a5"},
		{name: "one that was leaving goes in an outage", steps: []step{{list: all, others: leaving}, {fail: context.DeadlineExceeded}, {gone: all[:2]}},
			want: "a1 a3 a4 a5"},
		{name: "a watch is deaf, and meanwhile one goes", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {fail: ErrForgotten}, {list: all[1:]}},
			want: "a2 a3 a4 a5"},
		{name: "soon after an outage one goes", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {}, {gone: all[:1], after: shakyFor}}, want: "a2 a3 a4 a5"},
		{name: "most vanish at once", steps: []step{{list: all}, {gone: all[1:]}}, want: "a1 a2 a3 a4 a5"},
		{name: "vanished ones register again", steps: []step{{list: all}, {gone: all[1:]}, {come: all[1:]}, {gone: all[1:2]}}, want: "a1 a3 a4 a5"},
		{name: "the address of a vanished one is taken", steps: []step{{list: all}, {gone: all[1:]},
			{come: []string{"b2"}}, {}}, want: "a1 a3 a4 a5 b2"},
		{name: "vanished for long", steps: []step{{list: all}, {gone: all[1:]}, {come: []string{"a6"}, after: config.LapsedKept + time.Second}}, want: "a1 a6"},
		{name: "a vanished one's end is told later", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {fail: ErrForgotten}, {list: all[3:]},
			{gone: all[:1], after: shakyFor + time.Second}}, want: "a2 a3 a4 a5"},
		{name: "a peer knows more than the listing", known: all, steps: []step{{list: all[3:]}}, want: "a1 a2 a3 a4 a5"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, sink := &stubStore{steps: tc.steps}, new(stubSink)
				if tc.known != nil {
					sink.roster = (&config.RosterList{Endpoints: rows(tc.known, nil)}).Roster()
				}
				ctx, cancel := context.WithCancel(context.Background())
				go NewFollower(store, 0, zap.NewNop()).Follow(ctx, sink)
				time.Sleep(3 * time.Minute)
				cancel()
				synctest.Wait()
				if got := sink.names(); got != tc.want {
					t.Errorf("in force: %s, want %s (calls %v)", got, tc.want, store.calls)
				}
			})
		})
	}
}

// documentStore holds a document that changes, and no endpoint but one. It notes
// after which of its revisions it was watched.
type documentStore struct {
	at      config.Position
	changed chan struct{}
	took    time.Duration // that an answer with a document takes
	watched []config.Position
	asked   []time.Time
}

func (s *documentStore) change() {
	s.at++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *documentStore) revision() *Revision { return &Revision{Revision: uint64(s.at), Document: "d"} }

func (s *documentStore) List(context.Context) (*State, error) {
	return &State{At: s.at, Document: s.revision(), Endpoints: rows([]string{"a1"}, nil)}, nil
}

func (s *documentStore) Watch(ctx context.Context, after config.Position, wait time.Duration) (*Changes, error) {
	s.watched, s.asked = append(s.watched, after), append(s.asked, time.Now())
	for s.at <= after {
		select {
		case <-s.changed:
		case <-time.After(wait):
			return &Changes{At: s.at}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	out := &Changes{At: s.at, Document: s.revision(), Took: s.took}
	time.Sleep(s.took)
	return out, nil
}

func (s *documentStore) Close() {}

// TestDocumentsKnown checks that the roster's revision, which peers are told of,
// covers a change of the document alone: who hears of it from a peer doesn't ask
// the store for it again.
func TestDocumentsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &documentStore{at: 1, changed: make(chan struct{})}
		teller, hearer := new(stubSink), &stubSink{lazy: true}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go NewFollower(store, 0, zap.NewNop()).Follow(ctx, teller)
		time.Sleep(time.Second)
		store.change()
		time.Sleep(time.Second)
		if teller.roster == nil || teller.roster.Revision != store.at {
			t.Fatalf("roster %+v, want revision %d", teller.roster, store.at)
		}
		other := &documentStore{at: 1, changed: make(chan struct{})}
		go NewFollower(other, 0, zap.NewNop()).Follow(ctx, hearer)
		time.Sleep(time.Millisecond)
		other.change() // it rests now
		time.Sleep(time.Millisecond)
		other.change()
		hearer.roster = (&config.RosterList{Revision: other.at, Endpoints: rows([]string{"a1"}, nil)}).Roster()
		time.Sleep(5 * time.Second)
		if last := other.watched[len(other.watched)-1]; last != other.at {
			t.Errorf("watched after %v, want after %d at last", other.watched, other.at)
		}
	})
}

// TestRestAfterSlowAnswer bounds how late a change is known that comes just after
// another, by how long the store's answers take.
func TestRestAfterSlowAnswer(t *testing.T) {
	const bound = 3 * time.Second
	for _, took := range []time.Duration{0, time.Second, 2 * time.Second} {
		t.Run(took.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, sink := &documentStore{at: 1, changed: make(chan struct{}), took: took}, &stubSink{lazy: true}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go NewFollower(store, bound, zap.NewNop()).Follow(ctx, sink)
				time.Sleep(time.Millisecond)
				for range 4 {
					store.change()
					time.Sleep(took + time.Millisecond) // it is known now, and the host rests
					store.change()
					next := store.at
					time.Sleep(bound)
					if r := sink.roster; r.Revision < next {
						t.Errorf("revision %d is known %s after %d came", r.Revision, bound, next)
					}
					time.Sleep(10 * time.Second)
				}
			})
		})
	}
}

// busyStore changes every hundred milliseconds: each time one more endpoint
// registers. It counts the calls.
type busyStore struct {
	began time.Time
	calls int
}

const busyEvery = 100 * time.Millisecond

func (s *busyStore) at() config.Position { return 1 + config.Position(time.Since(s.began)/busyEvery) }

func (s *busyStore) between(after, at config.Position) []config.Endpoint {
	var names []string
	for i := after + 1; i <= at; i++ {
		names = append(names, fmt.Sprintf("a%d", i))
	}
	return rows(names, nil)
}

func (s *busyStore) List(context.Context) (*State, error) {
	s.calls++
	return &State{At: s.at(), Endpoints: s.between(0, s.at())}, nil
}

func (s *busyStore) Watch(ctx context.Context, after config.Position, _ time.Duration) (*Changes, error) {
	s.calls++
	for s.at() <= after && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return &Changes{At: s.at(), Changed: s.between(after, s.at())}, ctx.Err()
}

func (s *busyStore) Close() {}

// TestBusyStore bounds the calls of a host while a store changes all the time,
// and how late it hears of a change.
func TestBusyStore(t *testing.T) {
	cases := []struct {
		name   string
		lazy   bool
		peers  bool // tell of every change at once
		bound  time.Duration
		calls  int // at most, in ten seconds
		behind config.Position
	}{
		{"one that finds out soon", false, false, 0, 100, 2},
		{"one that hears of it from others", true, true, 0, 12, 0},
		{"one whom nobody tells", true, false, 0, 12, 12},
		{"one whom nobody tells, with a bound of three seconds", true, false, 3 * time.Second, 6, 22},
		{"one that finds out soon, whatever the bound", false, false, 3 * time.Second, 100, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, sink := &busyStore{began: time.Now()}, &stubSink{lazy: tc.lazy}
				ctx, cancel := context.WithCancel(context.Background())
				go NewFollower(store, tc.bound, zap.NewNop()).Follow(ctx, sink)
				for range 100 {
					time.Sleep(busyEvery)
					synctest.Wait()
					if tc.peers {
						sink.roster = (&config.RosterList{Revision: store.at(), Endpoints: store.between(0, store.at())}).Roster()
					}
					if r := sink.roster; r != nil && store.at()-r.Revision > tc.behind {
						t.Fatalf("revision %d is known at %d, want at most %d behind", r.Revision, store.at(), tc.behind)
					}
					if r := sink.roster; r != nil && config.Position(r.Endpoints.Len()) != r.Revision {
						t.Fatalf("%d endpoints in revision %d", r.Endpoints.Len(), r.Revision)
					}
				}
				cancel()
				synctest.Wait()
				if store.calls > tc.calls {
					t.Errorf("%d calls in ten seconds, want at most %d", store.calls, tc.calls)
				}
			})
		})
	}
}

// freshStore is a store whose answers are scripted, for what a follower says of how fresh
// a host is. It notes how long each watch may wait.
type freshStore struct {
	answers []Changes
	held    []time.Duration
}

func (s *freshStore) List(context.Context) (*State, error) {
	return &State{At: 1, Document: &Revision{Revision: 1, Document: "d"}}, nil
}

func (s *freshStore) Watch(ctx context.Context, _ config.Position, held time.Duration) (*Changes, error) {
	s.held = append(s.held, held)
	if len(s.answers) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c := s.answers[0]
	s.answers = s.answers[1:]
	if c.empty() && c.Document == nil {
		time.Sleep(held)
	}
	return &c, nil
}

func (s *freshStore) Close() {}

// freshSink notes what is in force when a follower says how fresh that is.
type freshSink struct {
	stubSink
	began    time.Time
	revision uint64
	said     []string
}

func (s *freshSink) Offer(revision uint64, _ []byte, _ string) {
	time.Sleep(300 * time.Millisecond) // a large document
	s.revision = revision
}

func (s *freshSink) Heard(_, at time.Time) {
	roster := config.Position(0)
	if s.roster != nil {
		roster = s.roster.Revision
	}
	s.said = append(s.said, fmt.Sprintf("%d/%d as of %s", s.revision, roster, at.Sub(s.began)))
}

// TestFreshness plays answers of a store, and states what the host says to have as of when.
// It must not call itself fresh before it has taken over what it heard: other hosts go by it.
func TestFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &freshStore{answers: []Changes{{At: 1}, {At: 5, Document: &Revision{Revision: 5, Document: "e"}, Changed: rows([]string{"a1"}, nil)}, {At: 5}}}
		sink := &freshSink{began: time.Now()}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go NewFollower(store, 3*time.Second, zap.NewNop()).Follow(ctx, sink)
		time.Sleep(10 * time.Second)
		want := []string{"1/1 as of 0s", "1/1 as of 1.3s", "5/5 as of 1.3s", "5/5 as of 2.72s"}
		if !slices.Equal(sink.said, want) {
			t.Errorf("said %q, want %q", sink.said, want)
		}
	})
}

// TestHold states how long a watch may wait, by what the host is and how old what it knows is.
func TestHold(t *testing.T) {
	const bound = 3 * time.Second
	cases := []struct {
		name        string
		bound, age  time.Duration
		eager, lost bool
		want        time.Duration
	}{
		{"one that is just informed", bound, time.Millisecond, false, false, 2699 * time.Millisecond},
		{"one that knows nothing yet", bound, 0, false, false, 2700 * time.Millisecond},
		{"after a rest", bound, 1500 * time.Millisecond, false, false, 1200 * time.Millisecond},
		{"long without word", bound, 9 * time.Second, false, false, 900 * time.Millisecond},
		{"one that finds out soon", bound, time.Millisecond, true, false, time.Second},
		{"one that finds out soon, without the store", bound, time.Second, true, true, 200 * time.Millisecond},
		{"a tight bound", 2 * time.Second, time.Millisecond, true, false, 2 * time.Second / 3},
		{"no bound", 0, time.Millisecond, false, false, 7999 * time.Millisecond},
	}
	for _, tc := range cases {
		f := NewFollower(&freshStore{}, tc.bound, zap.NewNop())
		f.lost = tc.lost
		if got := f.hold(&stubSink{age: tc.age}, tc.eager); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
}

// TestLostWhileRelying checks that only an answer of the store counts as its return, not that
// other hosts keep this one up to date.
func TestLostWhileRelying(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steps := append([]step{{list: []string{"a1"}}}, slices.Repeat([]step{{fail: errDown}}, 20)...)
		f, sink := NewFollower(&stubStore{steps: steps}, 0, zap.NewNop()), &stubSink{lazy: true}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Follow(ctx, sink)
		time.Sleep(time.Second)
		sink.relies = true
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if !f.lost {
			t.Error("the store counts as regained though nobody asked it")
		}
	})
}

// TestFollowStarts has an endpoint register with several starts, one after the other, and
// states which is in force: an earlier one is never believed after a later one.
func TestFollowStarts(t *testing.T) {
	born := func(at int64) func(e *config.Endpoint) { return func(e *config.Endpoint) { e.Born = at } }
	one := []string{"a1"}
	cases := []struct {
		name  string
		steps []step
		want  int64
	}{
		{"a later one", []step{{list: one, others: born(5)}, {come: one, others: born(6)}}, 6},
		{"an earlier one in a watch", []step{{list: one, others: born(5)}, {come: one, others: born(4)}}, 5},
		{"an earlier one in a listing", []step{{list: one, others: born(5)}, {fail: ErrForgotten}, {list: one, others: born(4)}}, 5},
		{"an earlier one once it had gone", []step{{list: one, others: born(5)}, {gone: one}, {come: one, others: born(4)}}, 4},
		{"one that isn't told", []step{{list: one, others: born(5)}, {come: one}}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sink := new(stubSink)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go NewFollower(&stubStore{steps: tc.steps}, 0, zap.NewNop()).Follow(ctx, sink)
				time.Sleep(5 * time.Second)
				if got := sink.roster.Endpoints.Get(config.NameNumber(one[0])).Born; got != tc.want {
					t.Errorf("start %d, want %d", got, tc.want)
				}
			})
		})
	}
}
