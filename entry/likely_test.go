package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

const engineDocument = `{"failure_domains": [{"name": "a", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"models": [{"name": "m", "version": "1", "max_tokens": 90000, "kv_bytes_per_token": 1}],
"pools": [{"name": "p", "memory_tokens": 90000, "slots": 64, "step_micros": 700, "step_micros_each": 30, "link_bytes_per_second": 1000000000, "result_keep_ms": 5000}],
"routes": [{"name": "ask", "host": "h", "path_prefix": "/", "target_ms": 900, "pools": [{"pool": "p", "weight": 1}]}]}`

// TestStopsBefore checks which requests a host that is about to stop leaves to others:
// those whose answers are likely to be cut off and, once it has been leaving for long,
// those whose answers could be cut off.
func TestStopsBefore(t *testing.T) {
	cases := []struct {
		name      string
		prompted  bool
		expected  int
		maxTokens int
		slow      uint16        // step time of the pool's engines relative to the configured one, in percent; 0: unknown
		leaving   time.Duration // for how long; below 0: no stop is planned
		stopIn    time.Duration
		deadline  time.Duration // of the caller; 0: none
		refused   bool
	}{
		{"no stop", true, 8_000, 10_880, 100, -1, 0, 0, false},
		{"a short answer", true, 1_000, 10_880, 100, 0, 6 * time.Second, 0, false},
		{"the same, speed unknown", true, 1_000, 10_880, 0, 0, 6 * time.Second, 0, false},
		{"a long answer", true, 6_000, 10_880, 100, 0, 6 * time.Second, 0, true},
		{"a long answer, far from the end", true, 6_000, 10_880, 100, 0, 15 * time.Second, 0, false},
		{"no estimate", true, 0, 10_880, 100, 0, 6 * time.Second, 0, true},
		{"a plain call", false, 0, 0, 100, 0, 2 * time.Second, 0, false},
		{"a plain call, leaving for long", false, 0, 0, 100, 4 * time.Second, 2 * time.Second, 3 * time.Second, true},
		{"a plain call with less time, leaving for long", false, 0, 0, 100, 4 * time.Second, 2 * time.Second, 1500 * time.Millisecond, false},
		{"a plain call without a deadline, leaving for long", false, 0, 0, 100, 4 * time.Second, 2 * time.Second, 0, false},
		{"a plain call, leaving just now", false, 0, 0, 100, 0, 2 * time.Second, 3 * time.Second, false},
		{"a plain call, just before the end", false, 0, 0, 100, 0, 500 * time.Millisecond, 3 * time.Second, true},
		{"short at a slow engine", true, 700, 1_530, 700, 0, 6 * time.Second, 0, true},
		{"short, and leaving for long", true, 500, 1_530, 700, 4 * time.Second, 3 * time.Second, 0, true},
		{"estimated very short, and leaving for long", true, 100, 1_530, 700, 4 * time.Second, 3 * time.Second, 0, true},
		{"the same, and leaving just now", true, 100, 1_530, 700, 0, 3 * time.Second, 0, false},
		{"short in any case, and leaving for long", true, 200, 300, 700, 4 * time.Second, 4 * time.Second, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, v := boardOfOneEngine(t, tc.slow)
				if tc.leaving >= 0 {
					b.SetLeaving()
					time.Sleep(tc.leaving)
					b.SetStop(time.Now().Add(tc.stopIn))
				}
				j := &job{arrived: time.Now(), prompted: tc.prompted, expected: tc.expected, pool: "p", work: new(endpoint.Work), view: v, route: v.RouteFor("h", "/x")}
				j.deadline = tc.deadline
				j.work.MaxTokens = tc.maxTokens
				if got := (&Entry{board: b}).stopsBeforeEnd(j); got != tc.refused {
					t.Errorf("refused %v, want %v", got, tc.refused)
				}
			})
		})
	}
}

// boardOfOneEngine returns a board with one decode engine, and its view. The step time of the engine is slow percent of the
// configured one; 0: unknown.
func boardOfOneEngine(t *testing.T, slow uint16) (*blackboard.Board, *config.View) {
	s := &config.Settings{Host: "h", Domain: "a", Region: "r"}
	s.SetDefaults()
	b := blackboard.New(s)
	if _, err := b.Config.Offer(1, []byte(engineDocument)); err != nil {
		t.Fatal(err)
	}
	roster := &config.RosterList{Revision: 1, Endpoints: []config.Endpoint{
		{Name: "d", Address: "10.0.0.1:1", Domain: "a", Pool: "p", Role: config.Decode, Model: "m", Version: "1"}}}
	if _, err := b.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
		t.Fatal(err)
	}
	v := b.Config.View()
	b.Endpoints.ApplyView(v)
	b.Endpoints.Learn(route.Digest{Number: route.Number("d"), SlowPct: slow}, time.Now())
	return b, v
}

// TestJobsThatWaitedTooLongAreNotSent guards against requests that fit into what was left of a stop as they came, and are passed on
// after a wait although they no longer fit.
func TestJobsThatWaitedTooLongAreNotSent(t *testing.T) {
	for _, tc := range []struct {
		name     string
		waited   time.Duration
		prefills int // calls made already
		refused  bool
	}{
		{"no wait", 0, 0, false},
		{"a short wait", time.Second, 0, false},
		{"a long wait", 3 * time.Second, 0, true},
		{"a long wait after a prefill", 3 * time.Second, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, v := boardOfOneEngine(t, 100)
				e := &Entry{board: b}
				b.SetLeaving()
				b.SetStop(time.Now().Add(4 * time.Second))
				j := &job{arrived: time.Now(), prompted: true, expected: 1_000, pool: "p", work: new(endpoint.Work), view: v, route: v.RouteFor("h", "/x")}
				j.team = new(config.Team)
				if e.stopsBeforeEnd(j) {
					t.Fatal("refused as it came")
				}
				time.Sleep(tc.waited)
				j.prefillCalls = tc.prefills
				r := e.admitCall(j, &config.Endpoint{Name: "d"})
				refused := r != nil && r.final && r.refusal.Code == result.Draining && r.refusal.Code.NotRun()
				if refused != tc.refused {
					t.Errorf("refused %v, want %v: %+v", refused, tc.refused, r)
				}
			})
		})
	}
}
