package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/request"
)

// TestLines simulates seconds of load and checks which requests keep their log lines: a
// request is logged completely or not at all, and failed ones are dropped last.
func TestLines(t *testing.T) {
	cases := []struct {
		name                       string
		successes, failures, lines int // per second; lines of each failure
		minSuccesses, maxSuccesses int // kept in ten seconds
		minFailures                int
	}{
		{"little load", 50, 10, 4, 500, 500, 100},
		{"many successes", 2000, 0, 0, 2000, 2400, 0},
		{"many successes and some failures", 2000, 20, 4, 1200, 2000, 200},
		{"failures alone exceed the limit", 2000, 100, 4, 100, 400, 500},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := newLineLimiter()
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			keptSuccesses, keptFailures, written, dropped := 0, 0, 0, 0
			play := func(lines int, ordinary bool) bool {
				var l logged
				got := 0
				for range lines {
					if ok, lost := g.admit(now, &l, ordinary); ok {
						got++
						dropped += int(lost)
					}
				}
				if got != 0 && got != lines {
					t.Fatalf("%d of %d lines of one request", got, lines)
				}
				written += got
				return got > 0
			}
			const slices = 100
			for i := range 10 * slices {
				now = now.Add(time.Second / slices)
				for range share(tc.successes, i, slices) {
					if play(1, true) {
						keptSuccesses++
					}
				}
				for range share(tc.failures, i, slices) {
					if play(tc.lines, false) {
						keptFailures++
					}
				}
			}
			if keptSuccesses < tc.minSuccesses || keptSuccesses > tc.maxSuccesses {
				t.Errorf("%d successes kept, want %d to %d", keptSuccesses, tc.minSuccesses, tc.maxSuccesses)
			}
			if keptFailures < tc.minFailures {
				t.Errorf("%d failures kept, want %d", keptFailures, tc.minFailures)
			}
			if maxLines := 10*logRate + logBurst + tc.lines; written > maxLines {
				t.Errorf("%d lines written, want at most %d", written, maxLines)
			}
			all := 10 * (tc.successes + tc.failures*tc.lines)
			if reported := written + dropped + int(g.droppedSince); reported != all {
				t.Errorf("%d lines written or reported as dropped, want %d", reported, all)
			}
		})
	}
}

// share spreads n evenly over the slices of a second.
func share(n, slice, slices int) int {
	k := slice % slices
	return n*(k+1)/slices - n*k/slices
}

// TestRefusalLine checks the log line of a call that was refused before it became a job:
// its caller and the revisions in force.
func TestRefusalLine(t *testing.T) {
	s := &config.Settings{Host: "h", Domain: "a", Region: "r"}
	s.SetDefaults()
	b := blackboard.New(s)
	if _, err := b.Config.Offer(3, []byte(engineDocument)); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Config.OfferRoster((&config.RosterList{Revision: 9}).Roster(), time.Now()); err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	e := New(b, endpoint.NewClient(nil, nil), &stubOwners{}, report.NewRecorder(), zap.New(core))
	rec := httptest.NewRecorder()
	q := httptest.NewRequest(http.MethodGet, "/nowhere", nil)
	q.Host = "elsewhere"
	e.Serve(rec, q, &Call{Origin: &request.Origin{ID: "c7"}, Refuse: writeError})
	got := logs.FilterMessage("request refused").All()
	if len(got) != 1 {
		t.Fatalf("%d lines", len(got))
	}
	fields := got[0].ContextMap()
	want := map[string]any{"caller_id": "c7", "revision": uint64(3), "roster": "9", "name": "no_route"}
	for name, v := range want {
		if fields[name] != v {
			t.Errorf("%s is %v, want %v", name, fields[name], v)
		}
	}
}
