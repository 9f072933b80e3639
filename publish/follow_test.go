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

// stubStore answers from a script, one step per call. It blocks at the end of the script.
type stubStore struct {
	steps []step
	calls []string
}

type step struct {
	list    []string // names of the endpoints in a listing; nil: this is a watch
	added   []string
	removed []string
	fail    error
	after   time.Duration
	change  func(e *config.Endpoint)
}

var errUnavailable = errors.New("down")

func (s *stubStore) nextStep(ctx context.Context, what string) (step, error) {
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
	at, err := s.nextStep(ctx, "list")
	return &State{At: config.Position(len(s.calls)), Endpoints: rows(at.list, at.change)}, err
}

func (s *stubStore) Watch(ctx context.Context, _ config.Position, _ time.Duration) (*Changes, error) {
	at, err := s.nextStep(ctx, "watch")
	return &Changes{At: config.Position(len(s.calls)), Changed: rows(at.added, at.change), Gone: at.removed}, err
}

func (s *stubStore) Close() {}

// stubSink keeps the latest roster.
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
func (s *stubSink) ReliesOnPeers() bool                    { return s.relies }
func (s *stubSink) Confirmed(time.Time, time.Time)         {}
func (s *stubSink) ConfirmedAge() (time.Duration, bool)    { return s.age, s.age > 0 }
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

// TestFollow plays a script of store answers, one step per call, and checks which endpoints are
// in force at the end. It guards against dropping endpoints whose registrations expired only
// because the store was down, and against keeping endpoints that have left.
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
		{name: "come and gone", steps: []step{{list: all}, {added: []string{"a6"}}, {removed: []string{"a1"}}}, want: "a2 a3 a4 a5 a6"},
		{name: "the store drops its history", steps: []step{{list: all}, {fail: ErrCompacted}, {list: all[1:]}}, want: "a2 a3 a4 a5"},
		{name: "a watch's answer is longer than a listing", steps: []step{{list: all}, {fail: ErrTooLong}, {list: all[1:]}}, want: "a2 a3 a4 a5"},
		{name: "a watch's answer is incomplete", steps: []step{{list: all}, {fail: ErrIncomplete}, {list: all[1:]}}, want: "a2 a3 a4 a5"},
		{name: "registrations expire in an outage", steps: []step{{list: all}, {fail: errUnavailable}, {fail: errUnavailable, after: minOutage}, {removed: all[:2]}},
			want: "a1 a2 a3 a4 a5"},
		{name: "registrations expire while the store is silent", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {removed: all[:2]}},
			want: "a1 a2 a3 a4 a5"},
		{name: "a watch is cut and one leaves meanwhile", steps: []step{{list: all}, {fail: errUnavailable}, {fail: ErrCompacted}, {list: all[1:]}},
			want: "a2 a3 a4 a5"},
		{name: "an outage, and the store has dropped its history", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {fail: ErrCompacted}, {list: all[2:]}},
			want: "a1 a2 a3 a4 a5"},
		{name: "a leaving endpoint goes in an outage", steps: []step{{list: all, change: leaving}, {fail: context.DeadlineExceeded}, {removed: all[:2]}},
			want: "a1 a3 a4 a5"},
		{name: "a watch is silent and one leaves meanwhile", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {fail: ErrCompacted}, {list: all[1:]}},
			want: "a2 a3 a4 a5"},
		{name: "one leaves soon after an outage", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {}, {removed: all[:1], after: unreliableFor}}, want: "a2 a3 a4 a5"},
		{name: "most vanish at once", steps: []step{{list: all}, {removed: all[1:]}}, want: "a1 a2 a3 a4 a5"},
		{name: "vanished endpoints register again", steps: []step{{list: all}, {removed: all[1:]}, {added: all[1:]}, {removed: all[1:2]}}, want: "a1 a3 a4 a5"},
		{name: "the address of a vanished endpoint is taken", steps: []step{{list: all}, {removed: all[1:]},
			{added: []string{"b2"}}, {}}, want: "a1 a3 a4 a5 b2"},
		{name: "vanished for long", steps: []step{{list: all}, {removed: all[1:]}, {added: []string{"a6"}, after: config.ExpiryGrace + time.Second}}, want: "a1 a6"},
		{name: "the end of a vanished endpoint is reported later", steps: []step{{list: all}, {fail: context.DeadlineExceeded}, {fail: ErrCompacted}, {list: all[3:]},
			{removed: all[:1], after: unreliableFor + time.Second}}, want: "a2 a3 a4 a5"},
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

// documentStore holds a changing document and one endpoint. It records the position of each
// watch.
type documentStore struct {
	at         config.Position
	changed    chan struct{}
	answerTime time.Duration // duration of an answer with a document
	watched    []config.Position
	askedAt    []time.Time
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
	s.watched, s.askedAt = append(s.watched, after), append(s.askedAt, time.Now())
	for s.at <= after {
		select {
		case <-s.changed:
		case <-time.After(wait):
			return &Changes{At: s.at}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	out := &Changes{At: s.at, Document: s.revision(), Took: s.answerTime}
	time.Sleep(s.answerTime)
	return out, nil
}

func (s *documentStore) Close() {}

// TestDocumentsKnown checks that a change of the document alone also advances the roster's
// revision, which peers report. Otherwise a host that got the document from a peer would request
// it from the store again.
func TestDocumentsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &documentStore{at: 1, changed: make(chan struct{})}
		reporter, listener := new(stubSink), &stubSink{lazy: true}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go NewFollower(store, 0, zap.NewNop()).Follow(ctx, reporter)
		time.Sleep(time.Second)
		store.change()
		time.Sleep(time.Second)
		if reporter.roster == nil || reporter.roster.Revision != store.at {
			t.Fatalf("roster %+v, want revision %d", reporter.roster, store.at)
		}
		other := &documentStore{at: 1, changed: make(chan struct{})}
		go NewFollower(other, 0, zap.NewNop()).Follow(ctx, listener)
		time.Sleep(time.Millisecond)
		other.change() // the host is pausing now
		time.Sleep(time.Millisecond)
		other.change()
		listener.roster = (&config.RosterList{Revision: other.at, Endpoints: rows([]string{"a1"}, nil)}).Roster()
		time.Sleep(5 * time.Second)
		if last := other.watched[len(other.watched)-1]; last != other.at {
			t.Errorf("watched after %v, want the last one after %d", other.watched, other.at)
		}
	})
}

// TestRestAfterSlowAnswer bounds how late a change that comes right after another is known, for
// stores whose answers take long. The pause after the first change must leave time for the next
// answer.
func TestRestAfterSlowAnswer(t *testing.T) {
	const bound = 3 * time.Second
	for _, took := range []time.Duration{0, time.Second, 2 * time.Second} {
		t.Run(took.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, sink := &documentStore{at: 1, changed: make(chan struct{}), answerTime: took}, &stubSink{lazy: true}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go NewFollower(store, bound, zap.NewNop()).Follow(ctx, sink)
				time.Sleep(time.Millisecond)
				for range 4 {
					store.change()
					time.Sleep(took + time.Millisecond) // it is known now, and the host pauses
					store.change()
					next := store.at
					time.Sleep(bound)
					if r := sink.roster; r.Revision < next {
						t.Errorf("revision %d is known %s after %d was published", r.Revision, bound, next)
					}
					time.Sleep(10 * time.Second)
				}
			})
		})
	}
}

// busyStore changes every 100 ms, when one more endpoint registers. It counts the calls.
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

// TestBusyStore bounds the number of calls that a host makes to a constantly changing store, and
// how late it learns of a change.
func TestBusyStore(t *testing.T) {
	cases := []struct {
		name   string
		lazy   bool
		peers  bool // report every change at once
		bound  time.Duration
		calls  int // maximum in ten seconds
		behind config.Position
	}{
		{"an eager host", false, false, 0, 100, 2},
		{"a host that learns of changes from others", true, true, 0, 12, 0},
		{"a host without reports", true, false, 0, 12, 12},
		{"a host without reports, with a bound of three seconds", true, false, 3 * time.Second, 6, 22},
		{"an eager host, whatever the bound", false, false, 3 * time.Second, 100, 2},
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

// freshStore has scripted answers, to test how fresh a follower says that a host is. It records
// how long each watch may wait.
type freshStore struct {
	answers []Changes
	holds   []time.Duration
}

func (s *freshStore) List(context.Context) (*State, error) {
	return &State{At: 1, Document: &Revision{Revision: 1, Document: "d"}}, nil
}

func (s *freshStore) Watch(ctx context.Context, _ config.Position, held time.Duration) (*Changes, error) {
	s.holds = append(s.holds, held)
	if len(s.answers) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c := s.answers[0]
	s.answers = s.answers[1:]
	if c.isEmpty() && c.Document == nil {
		time.Sleep(held)
	}
	return &c, nil
}

func (s *freshStore) Close() {}

// freshSink records what is in force whenever a follower reports freshness.
type freshSink struct {
	stubSink
	began    time.Time
	revision uint64
	reports  []string
}

func (s *freshSink) Offer(revision uint64, _ []byte, _ string) {
	time.Sleep(300 * time.Millisecond) // a large document
	s.revision = revision
}

func (s *freshSink) Confirmed(_, at time.Time) {
	roster := config.Position(0)
	if s.roster != nil {
		roster = s.roster.Revision
	}
	s.reports = append(s.reports, fmt.Sprintf("%d/%d as of %s", s.revision, roster, at.Sub(s.began)))
}

// TestFreshness plays a script of store answers, and checks which revisions the host reports as
// of when. It must not report freshness before it has applied an answer, because other hosts rely
// on that.
func TestFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &freshStore{answers: []Changes{{At: 1}, {At: 5, Document: &Revision{Revision: 5, Document: "e"}, Changed: rows([]string{"a1"}, nil)}, {At: 5}}}
		sink := &freshSink{began: time.Now()}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go NewFollower(store, 3*time.Second, zap.NewNop()).Follow(ctx, sink)
		time.Sleep(10 * time.Second)
		want := []string{"1/1 as of 0s", "1/1 as of 1.3s", "5/5 as of 1.3s", "5/5 as of 2.72s"}
		if !slices.Equal(sink.reports, want) {
			t.Errorf("reported %q, want %q", sink.reports, want)
		}
	})
}

// TestHold checks how long a watch may wait, by the role of the host and the age of what it
// knows.
func TestHold(t *testing.T) {
	const bound = 3 * time.Second
	cases := []struct {
		name        string
		bound, age  time.Duration
		eager, lost bool
		want        time.Duration
	}{
		{"just updated", bound, time.Millisecond, false, false, 2699 * time.Millisecond},
		{"nothing known yet", bound, 0, false, false, 2700 * time.Millisecond},
		{"after a pause", bound, 1500 * time.Millisecond, false, false, 1200 * time.Millisecond},
		{"long without an answer", bound, 9 * time.Second, false, false, 900 * time.Millisecond},
		{"an eager host", bound, time.Millisecond, true, false, time.Second},
		{"an eager host, without the store", bound, time.Second, true, true, 200 * time.Millisecond},
		{"a tight bound", 2 * time.Second, time.Millisecond, true, false, 2 * time.Second / 3},
		{"no bound", 0, time.Millisecond, false, false, 7999 * time.Millisecond},
	}
	for _, tc := range cases {
		f := NewFollower(&freshStore{}, tc.bound, zap.NewNop())
		f.storeLost = tc.lost
		if got := f.holdTime(&stubSink{age: tc.age}, tc.eager); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
	}
}

// TestLostWhileRelying checks that a lost store counts as regained only after an answer from it,
// and not because other hosts keep this one up to date.
func TestLostWhileRelying(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steps := append([]step{{list: []string{"a1"}}}, slices.Repeat([]step{{fail: errUnavailable}}, 20)...)
		f, sink := NewFollower(&stubStore{steps: steps}, 0, zap.NewNop()), &stubSink{lazy: true}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.Follow(ctx, sink)
		time.Sleep(time.Second)
		sink.relies = true
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if !f.storeLost {
			t.Error("the store counts as regained although it wasn't called")
		}
	})
}

// TestFollowStarts registers an endpoint with several start times, one after the other, and
// checks which is in force. An earlier start must never replace a later one.
func TestFollowStarts(t *testing.T) {
	started := func(at int64) func(e *config.Endpoint) { return func(e *config.Endpoint) { e.Born = at } }
	one := []string{"a1"}
	cases := []struct {
		name  string
		steps []step
		want  int64
	}{
		{"a later start", []step{{list: one, change: started(5)}, {added: one, change: started(6)}}, 6},
		{"an earlier start in a watch", []step{{list: one, change: started(5)}, {added: one, change: started(4)}}, 5},
		{"an earlier start in a listing", []step{{list: one, change: started(5)}, {fail: ErrCompacted}, {list: one, change: started(4)}}, 5},
		{"an earlier start after the endpoint had gone", []step{{list: one, change: started(5)}, {removed: one}, {added: one, change: started(4)}}, 4},
		{"no start time", []step{{list: one, change: started(5)}, {added: one}}, 0},
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
