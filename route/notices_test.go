package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
)

var noticeTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func noticeTimeAt(seconds float64) time.Time {
	return noticeTime.Add(time.Duration(seconds * float64(time.Second)))
}

// TestNoticesRest applies responses and calls in order, and checks when a call is admitted after
// an endpoint asked for backoff.
func TestNoticesRest(t *testing.T) {
	type step struct {
		at    float64 // s
		sent  float64 // s, when the answered call was made
		rest  float64 // s of backoff that a response asks for; -1: the step is a call
		admit bool    // whether the call is admitted
	}
	call := func(at float64, admit bool) step { return step{at: at, rest: -1, admit: admit} }
	answer := func(sent, at, rest float64) step { return step{at: at, sent: sent, rest: rest} }
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"a backoff", []step{answer(0, 0, 3), call(0, false), call(2.9, false), call(3, true)}},
		{"a longer backoff holds", []step{answer(0, 0, 3), answer(0, 0.1, 1), call(1.5, false), call(3, true)}},
		{"a later backoff extends the first", []step{answer(0, 0, 3), answer(0, 0.1, 3), call(3, false), call(3.1, true)}},
		{"a response to an earlier call changes nothing", []step{answer(0, 0, 3), answer(-1, 1, 0), call(2, false)}},
		{"one call after the backoff", []step{answer(0, 0, 3), call(3, true), call(3.1, false)}},
		{"its response admits all", []step{answer(0, 0, 3), call(3, true), answer(3, 3.1, 0), call(3.1, true), call(3.1, true)}},
		{"its response asks for backoff again", []step{answer(0, 0, 3), call(3, true), answer(3, 3.1, 3), call(5, false), call(6.1, true), call(6.2, false)}},
		{"it gets no response", []step{answer(0, 0, 3), call(3, true), call(3.9, false), call(4, true), call(4.1, false)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := new(Notices)
			for i, s := range tc.steps {
				now := noticeTimeAt(s.at)
				if s.rest >= 0 {
					n.observe(Notice{Backoff: time.Duration(s.rest * float64(time.Second)), CalledAt: noticeTimeAt(s.sent), ReceivedAt: now})
					continue
				}
				if got := n.Admit(now); got != s.admit {
					t.Errorf("step %d: admitted %v, want %v", i, got, s.admit)
				}
			}
		})
	}
	if !(*Notices)(nil).Admit(noticeTime) || (*Notices)(nil).isBackingOff(noticeTime) {
		t.Error("an endpoint without notices backs off")
	}
}

// viewOfServices returns a view of services that registered themselves with a start time.
func viewOfServices(t *testing.T, born int64, names ...string) *config.View {
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

// TestNoticesOutliveRegistrations has an endpoint announce that it is leaving, lose its registration
// and register again. Only a later start or a long time without a registration may clear the
// announcement; else requests go to an endpoint that is about to stop.
func TestNoticesOutliveRegistrations(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		noticed, reregistered int64 // start times; 0: unknown
		leaving               bool
	}{
		{"the same start", 5, 5, true},
		{"no start time is known", 0, 0, true},
		{"a start time is known since", 0, 5, true},
		{"an earlier start", 5, 4, true},
		{"a later start", 5, 6, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewFleet(viewOfServices(t, tc.noticed, "e"))
			number := Number("e")
			if c := f.ObserveNotice(number, Notice{Leaving: true, Started: tc.noticed, ReceivedAt: noticeTime}); !c.NewlyLeaving {
				t.Fatalf("%+v", c)
			}
			if c := f.ObserveNotice(number, Notice{Leaving: true, Started: tc.noticed, ReceivedAt: noticeTime}); c.NewlyLeaving {
				t.Error("reported twice")
			}
			f.SetView(viewOfServices(t, 1, "other"), noticeTime)
			f.SetView(viewOfServices(t, tc.reregistered, "e"), noticeTimeAt(5))
			if got := f.Find(number).IsLeaving(); got != tc.leaving {
				t.Errorf("leaving %v, want %v", got, tc.leaving)
			}
			if tc.reregistered < tc.noticed {
				return
			}
			f.SetView(viewOfServices(t, tc.reregistered+1, "e"), noticeTimeAt(6))
			f.ObserveNotice(number, Notice{Leaving: true, Started: tc.reregistered, ReceivedAt: noticeTimeAt(6)})
			if tc.reregistered > 0 && f.Find(number).IsLeaving() {
				t.Error("a notice of an earlier start is applied to a later one")
			}
		})
	}
}

// TestNoticeWithoutRegistration sends a notice of an endpoint whose registration is gone, and then
// registers the endpoint again. The notice must apply unless the endpoint has restarted.
func TestNoticeWithoutRegistration(t *testing.T) {
	for _, tc := range []struct {
		name         string
		noticed      int64 // start time of the process that was called; 0: unknown
		reregistered int64 // start time when registered again
		leaving      bool
		registers    bool // registered again before the answer comes
	}{
		{"the same start", 5, 5, true, false},
		{"no start time is known", 0, 0, true, false},
		{"a later start", 5, 6, false, false},
		{"a later start is registered already", 5, 6, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewFleet(viewOfServices(t, tc.noticed, "e"))
			f.SetView(viewOfServices(t, tc.noticed, "other"), noticeTime)
			if tc.registers {
				f.SetView(viewOfServices(t, tc.reregistered, "e"), noticeTime)
			}
			f.ObserveNotice(Number("e"), Notice{Leaving: true, Backoff: time.Second, Started: tc.noticed, ReceivedAt: noticeTime})
			f.SetView(viewOfServices(t, tc.reregistered, "e"), noticeTimeAt(0.5))
			s := f.Find(Number("e"))
			if s.IsLeaving() != tc.leaving || s.IsBackingOff(noticeTimeAt(0.5)) != tc.leaving {
				t.Errorf("leaving %v, backing off %v; want %v", s.IsLeaving(), s.IsBackingOff(noticeTimeAt(0.5)), tc.leaving)
			}
		})
	}
}

// TestNoticesOfUnregisteredStartAreKept guards against notices that are dropped when the start of the process that gave them
// is registered late.
func TestNoticesOfUnregisteredStartAreKept(t *testing.T) {
	const registered, running = 5, 6 // start times
	f := NewFleet(viewOfServices(t, registered, "e"))
	number := Number("e")
	f.ObserveNotice(number, Notice{Leaving: true, Started: registered, ReceivedAt: noticeTime})
	f.ObserveNotice(number, Notice{Leaving: true, Started: running, ReceivedAt: noticeTime})
	f.ObserveNotice(number, Notice{Backoff: 10 * time.Second, Started: registered, ReceivedAt: noticeTimeAt(1)})
	f.SetView(viewOfServices(t, running, "e"), noticeTimeAt(2))
	if s := f.Find(number); !s.IsLeaving() || !s.IsBackingOff(noticeTimeAt(2)) {
		t.Errorf("leaving %v, backing off %v; want both", s.IsLeaving(), s.IsBackingOff(noticeTimeAt(2)))
	}
	f.SetView(viewOfServices(t, running+1, "e"), noticeTimeAt(3))
	f.ObserveNotice(number, Notice{Leaving: true, Started: registered, ReceivedAt: noticeTimeAt(3)})
	if s := f.Find(number); s.IsLeaving() || s.IsBackingOff(noticeTimeAt(3)) {
		t.Errorf("a later start: leaving %v, backing off %v; want neither", s.IsLeaving(), s.IsBackingOff(noticeTimeAt(3)))
	}
}

// TestNoticesAreForgotten replaces leaving endpoints for hours and checks that notices stay bounded
// and none of a registered endpoint is dropped.
func TestNoticesAreForgotten(t *testing.T) {
	f := NewFleet(viewOfServices(t, 1, "e"))
	now := noticeTime
	const each = 20
	for i := range 400 {
		names := make([]string, each)
		for k := range names {
			names[k] = fmt.Sprintf("e%d-%d", i, k)
		}
		now = now.Add(time.Minute)
		f.SetView(viewOfServices(t, 1, names...), now)
		for _, name := range names {
			f.ObserveNotice(Number(name), Notice{Leaving: true, Started: 1, ReceivedAt: now})
		}
	}
	if maxKept := 3 * each * int(noticesTTL/time.Minute); len(f.notices) > maxKept {
		t.Errorf("%d notices are kept, want %d at most", len(f.notices), maxKept)
	}
	for number, s := range f.states {
		if s.Spec.Registered && !s.IsLeaving() {
			t.Errorf("%d: notices were dropped while it is registered", number)
		}
	}
}
