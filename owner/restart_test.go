package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/embercove/embercove/endpoint"
)

// reportEngine answers state polls with a fixed report.
type reportEngine struct {
	endpoint.Engine
	state endpoint.State
}

func (e *reportEngine) State(context.Context, string) (*endpoint.State, error) {
	st := e.state
	return &st, nil
}

func (e *reportEngine) Traits() endpoint.Traits { return endpoint.Traits{} }

// TestRestart restarts an engine under its name. The owner learns this from the registration or
// from a state report, whichever comes first, and must drop what the previous process held.
// Reservations that have not arrived at the engine stay.
func TestRestart(t *testing.T) {
	const first, second = 1_796_251_000_000, 1_796_251_000_050
	held := []endpoint.Running{{ID: "a-1", Tokens: 3000, Written: 5}, {ID: "a-2", Tokens: 2000, Written: 1}}
	report := func(born uint64, held []endpoint.Running) endpoint.State {
		return endpoint.State{Incarnation: born, ReportsHeld: true, Held: held}
	}
	registered := func(o *Owner, revision uint64, born int64) {
		r := rosterOf(revision, "ddd")
		r.Endpoints[0].Born = born
		if _, err := o.board.Config.OfferRoster(r.Roster(), time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		name         string
		then         func(o *Owner, sched *Scheduler, e *reportEngine)
		rows         int // of the ledger: one is reserved
		polledAtOnce bool
	}{
		{"nothing happens", func(*Owner, *Scheduler, *reportEngine) {}, 3, false},
		{"it registers again", func(o *Owner, sched *Scheduler, _ *reportEngine) { registered(o, 20, second) }, 1, true},
		{"its report shows the restart", func(o *Owner, sched *Scheduler, e *reportEngine) {
			e.state = report(second, nil)
			o.pollState(t.Context(), sched)
		}, 1, false},
		{"its report shows the restart, and then its registration", func(o *Owner, sched *Scheduler, e *reportEngine) {
			e.state = report(second, held[:1])
			o.pollState(t.Context(), sched)
			registered(o, 20, second)
		}, 2, false},
		{"a report of the previous process arrives late", func(o *Owner, sched *Scheduler, e *reportEngine) {
			registered(o, 20, second)
			sched.applyView(o.board.Config.View(), 1)
			o.pollState(t.Context(), sched)
		}, 1, true},
		{"a registration of the previous process arrives late", func(o *Owner, sched *Scheduler, e *reportEngine) {
			e.state = report(second, held[:1])
			o.pollState(t.Context(), sched)
			registered(o, 20, first)
		}, 2, false},
		{"a report without a start time", func(o *Owner, sched *Scheduler, e *reportEngine) {
			e.state = report(0, held[:1])
			o.pollState(t.Context(), sched)
		}, 2, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o, _, _ := evacuationOwner(t, "ddd")
			e := &reportEngine{state: report(first, held)}
			o.engine = e
			registered(o, 10, first)
			v := o.board.Config.View()
			sched := newScheduler(v, v.Endpoint("r00"), 1, time.Now())
			o.pollState(t.Context(), sched)
			if _, err := sched.reserve(time.Now(), growingArgs(7, 4_000, 500, 0)); err != nil {
				t.Fatal(err)
			}
			sched.cachedHeads[5], sched.feedNext = 900, 77
			sched.nextState = time.Now().Add(time.Hour)
			tc.then(o, sched, e)
			sched.applyView(o.board.Config.View(), 1)
			if n := sched.ledger.Len(); n != tc.rows {
				t.Errorf("%d rows, want %d", n, tc.rows)
			}
			if soon := !sched.nextState.After(time.Now()); soon != tc.polledAtOnce {
				t.Errorf("polled at once: %v, want %v", soon, tc.polledAtOnce)
			}
			if again := tc.name != "nothing happens" && tc.name != "a report without a start time"; again != (len(sched.cachedHeads) == 0) {
				t.Errorf("%d cached prompts are known", len(sched.cachedHeads))
			}
		})
	}
}

// TestRosterStarts offers rosters of other hosts, some of which carry an earlier start time in a
// later revision, and checks that the start time in force never goes back to an earlier one.
func TestRosterStarts(t *testing.T) {
	o, _, _ := evacuationOwner(t, "d")
	for i, c := range []struct{ born, want int64 }{{0, 0}, {50, 50}, {40, 50}, {0, 0}, {60, 60}, {59, 60}, {70, 70}} {
		r := rosterOf(uint64(10+i), "d")
		r.Endpoints[0].Born = c.born
		if _, err := o.board.Config.OfferRoster(r.Roster(), time.Now()); err != nil {
			t.Fatal(err)
		}
		if got := o.board.Config.View().Endpoint("r00").Born; got != c.want {
			t.Errorf("offered start time %d: %d is in force, want %d", c.born, got, c.want)
		}
	}
}

// TestStartsWithPolls restarts an engine any number of times, while reports and registrations
// announce its starts in any order, some of them late. The owner's ledger must always match the
// last report of the newest process that it has learned of.
func TestStartsWithPolls(t *testing.T) {
	const first = 1_796_251_000_000
	rapid.Check(t, func(rt *rapid.T) {
		o, _, _ := evacuationOwner(t, "ddd")
		e := new(reportEngine)
		o.engine = e
		revision := uint64(10)
		register := func(born int64) {
			revision++
			r := rosterOf(revision, "ddd")
			r.Endpoints[0].Born = born
			if _, err := o.board.Config.OfferRoster(r.Roster(), time.Now()); err != nil {
				rt.Fatal(err)
			}
		}
		register(first)
		v := o.board.Config.View()
		sched := newScheduler(v, v.Endpoint("r00"), 1, time.Now())
		newest, known, want := int64(first), int64(first), 0
		for event := range rapid.IntRange(1, 16).Draw(rt, "events") {
			if rapid.Bool().Draw(rt, "starts again") {
				newest++
			}
			born := rapid.Int64Range(first, newest).Draw(rt, "start time")
			if rapid.Bool().Draw(rt, "by its registration") {
				register(born)
				sched.applyView(o.board.Config.View(), 1)
				if born > known {
					known, want = born, 0
				}
			} else {
				var held []endpoint.Running
				for k := range rapid.IntRange(0, 3).Draw(rt, "held") {
					held = append(held, endpoint.Running{ID: fmt.Sprintf("a-%d-%d", event, k), Tokens: 100, Written: 1})
				}
				e.state = endpoint.State{Incarnation: uint64(born), ReportsHeld: true, Held: held}
				o.pollState(t.Context(), sched)
				if born >= known {
					known, want = born, len(held)
				}
			}
			if n := sched.ledger.Len(); n != want {
				rt.Fatalf("%d rows, want %d, of start %d (event %d, of start %d)", n, want, known-first, event, born-first)
			}
		}
	})
}
