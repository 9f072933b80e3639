package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
)

var noticed = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func noticedAt(seconds float64) time.Time {
	return noticed.Add(time.Duration(seconds * float64(time.Second)))
}

// TestNoticesRest plays what answers say, in order, and checks when calls may be made.
func TestNoticesRest(t *testing.T) {
	type step struct {
		at    float64 // s
		sent  float64 // s, when the call was made; of an answer
		rest  float64 // s, that an answer asks for; -1: the step is a call, not an answer
		admit bool    // of a call
	}
	call := func(at float64, admit bool) step { return step{at: at, rest: -1, admit: admit} }
	answer := func(sent, at, rest float64) step { return step{at: at, sent: sent, rest: rest} }
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"a rest", []step{answer(0, 0, 3), call(0, false), call(2.9, false), call(3, true)}},
		{"a longer rest holds", []step{answer(0, 0, 3), answer(0, 0.1, 1), call(1.5, false), call(3, true)}},
		{"a later rest adds to the first", []step{answer(0, 0, 3), answer(0, 0.1, 3), call(3, false), call(3.1, true)}},
		{"an answer under way takes nothing back", []step{answer(0, 0, 3), answer(-1, 1, 0), call(2, false)}},
		{"one call after the rest", []step{answer(0, 0, 3), call(3, true), call(3.1, false)}},
		{"its answer lets all through", []step{answer(0, 0, 3), call(3, true), answer(3, 3.1, 0), call(3.1, true), call(3.1, true)}},
		{"its answer asks for rest again", []step{answer(0, 0, 3), call(3, true), answer(3, 3.1, 3), call(5, false), call(6.1, true), call(6.2, false)}},
		{"it has no answer", []step{answer(0, 0, 3), call(3, true), call(3.9, false), call(4, true), call(4.1, false)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := new(Notices)
			for i, s := range tc.steps {
				now := noticedAt(s.at)
				if s.rest >= 0 {
					n.hear(Notice{Rest: time.Duration(s.rest * float64(time.Second)), Sent: noticedAt(s.sent), Heard: now})
					continue
				}
				if got := n.Admit(now); got != s.admit {
					t.Errorf("step %d: admitted %v, want %v", i, got, s.admit)
				}
			}
		})
	}
	if !(*Notices)(nil).Admit(noticed) || (*Notices)(nil).isResting(noticed) {
		t.Error("an endpoint that said nothing rests")
	}
}

// noticedView returns a view of endpoints that registered themselves with some start.
func noticedView(t *testing.T, born int64, names ...string) *config.View {
	t.Helper()
	v, err := config.NewView(1, []byte(fleetDocument(1, false)))
	if err != nil {
		t.Fatal(err)
	}
	var list []*config.Endpoint
	for i, name := range names {
		list = append(list, &config.Endpoint{Name: name, Address: fmt.Sprintf("10.0.0.%d:80", i%250+1), Domain: "a", Pool: "p", Role: config.Service, Registered: true, Born: born})
	}
	return v.WithRoster(&config.Roster{Revision: 1, Endpoints: config.EndpointsOf(list)})
}

// TestNoticesOutliveRegistrations has an endpoint that said that it leaves go and come back: only a
// later start of it takes that back, or a long time without a registration.
func TestNoticesOutliveRegistrations(t *testing.T) {
	for _, tc := range []struct {
		name        string
		heard, back int64 // starts; 0: not told
		leaving     bool
	}{
		{"the same start", 5, 5, true},
		{"no start is told", 0, 0, true},
		{"a start is told since", 0, 5, true},
		{"an earlier start", 5, 4, true},
		{"a later start", 5, 6, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewFleet(noticedView(t, tc.heard, "e"))
			number := Number("e")
			if c := f.Hear(number, Notice{Leaving: true, Born: tc.heard, Heard: noticed}); !c.Leaves {
				t.Fatalf("%+v", c)
			}
			if c := f.Hear(number, Notice{Leaving: true, Born: tc.heard, Heard: noticed}); c.Leaves {
				t.Error("told twice")
			}
			f.Fit(noticedView(t, 1, "other"), noticed)
			f.Fit(noticedView(t, tc.back, "e"), noticedAt(5))
			if got := f.Find(number).IsLeaving(); got != tc.leaving {
				t.Errorf("leaving %v, want %v", got, tc.leaving)
			}
			if tc.back < tc.heard {
				return
			}
			f.Fit(noticedView(t, tc.back+1, "e"), noticedAt(6))
			f.Hear(number, Notice{Leaving: true, Born: tc.back, Heard: noticedAt(6)})
			if tc.back > 0 && f.Find(number).IsLeaving() {
				t.Error("a word of an earlier start is believed of a later one")
			}
		})
	}
}

// TestNoticeWithoutRegistration has an endpoint say something once its registration has gone, and
// come back.
func TestNoticeWithoutRegistration(t *testing.T) {
	for _, tc := range []struct {
		name      string
		born      int64 // of the call
		back      int64
		leaving   bool
		registers bool // another start, before the answer comes
	}{
		{"the same start", 5, 5, true, false},
		{"no start is told", 0, 0, true, false},
		{"a later start", 5, 6, false, false},
		{"a later start is registered already", 5, 6, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewFleet(noticedView(t, tc.born, "e"))
			f.Fit(noticedView(t, tc.born, "other"), noticed)
			if tc.registers {
				f.Fit(noticedView(t, tc.back, "e"), noticed)
			}
			f.Hear(Number("e"), Notice{Leaving: true, Rest: time.Second, Born: tc.born, Heard: noticed})
			f.Fit(noticedView(t, tc.back, "e"), noticedAt(0.5))
			s := f.Find(Number("e"))
			if s.IsLeaving() != tc.leaving || s.IsResting(noticedAt(0.5)) != tc.leaving {
				t.Errorf("leaving %v, resting %v; want %v", s.IsLeaving(), s.IsResting(noticedAt(0.5)), tc.leaving)
			}
		})
	}
}

// TestNoticesAreForgotten has many endpoints say that they leave, go and be replaced, for hours.
func TestNoticesAreForgotten(t *testing.T) {
	f := NewFleet(noticedView(t, 1, "e"))
	now := noticed
	const each = 20
	for i := range 400 {
		names := make([]string, each)
		for k := range names {
			names[k] = fmt.Sprintf("e%d-%d", i, k)
		}
		now = now.Add(time.Minute)
		f.Fit(noticedView(t, 1, names...), now)
		for _, name := range names {
			f.Hear(Number(name), Notice{Leaving: true, Born: 1, Heard: now})
		}
	}
	if most := 3 * each * int(noticesKept/time.Minute); len(f.notices) > most {
		t.Errorf("%d notices are kept, want %d at the most", len(f.notices), most)
	}
	for number, s := range f.states {
		if s.Spec.Registered && !s.IsLeaving() {
			t.Errorf("%d is forgotten while it is registered", number)
		}
	}
}
