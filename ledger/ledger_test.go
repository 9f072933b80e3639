package ledger

import (
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/request"
)

// testLedger returns a ledger of an engine with 10,000 tokens and 8 slots,
// steps of 10 ms and a link of 10,000 tokens a second.
func testLedger(t testing.TB, mode config.Forecast, margin float64) *Ledger {
	t.Helper()
	v, err := config.NewView(1, examples.Domaskra)
	if err != nil {
		t.Fatal(err)
	}
	v.Doc.Policy.Forecast, v.Doc.Policy.MarginSD = mode, &margin
	spec := *v.Endpoint("docket-decode-1")
	spec.MemoryTokens, spec.Slots, spec.StepMicros, spec.StepMicrosEach = 10_000, 8, 10_000, 0
	spec.LinkBytesPerSecond = 10_000 * 50_000
	return New(v, &spec, 1)
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func at(n int) time.Time { return epoch.Add(ms(n)) }

func evenWeights(uint32) float64 { return 1 }

func attempt(n int) request.Attempt { return request.Attempt{Number: uint32(n)} }

func reserveArgs(n, tokens, answer, in, slack int) Request {
	return Request{Attempt: attempt(n), Tokens: tokens, MaxAnswer: answer, Bytes: int64(tokens) * 50_000, PrefillIn: ms(in), Slack: ms(slack), Team: 1}
}

// TestLedger checks sequences of reservations, each given as prompt, answer, in and slack. want
// lists when each may start, in ms, or -1 for a refusal.
func TestLedger(t *testing.T) {
	cases := []struct {
		name string
		mode config.Forecast
		args [][4]int
		want []int
	}{
		{"fits at once", config.ForecastPlain, [][4]int{{1000, 100, 0, 0}}, []int{0}},
		{"at the requested time", config.ForecastPlain, [][4]int{{1000, 100, 300, 0}}, []int{300}},
		{"full, no time", config.ForecastPlain, [][4]int{{8000, 1000, 0, 0}, {2000, 100, 0, 100}}, []int{0, -1}},
		// The transfer of 8000 tokens takes 800 ms, then about 50 tokens take 10 ms each.
		{"full, until the first ends", config.ForecastPlain, [][4]int{{8000, 100, 0, 0}, {2000, 100, 0, 2000}}, []int{0, 1320}},
		{"held from now on, never free", config.ForecastHold, [][4]int{{8000, 100, 0, 0}, {2000, 100, 0, 2000}}, []int{0, -1}},
		{"transfers share the link one after the other", config.ForecastPlain, [][4]int{{2000, 100, 0, 500}, {1000, 100, 0, 500}}, []int{0, 200}},
		{"a later one leaves memory before it", config.ForecastPlain, [][4]int{{8000, 100, 3000, 0}, {2000, 100, 0, 0}}, []int{3000, 0}},
		{"a later one keeps its memory", config.ForecastPlain, [][4]int{{8000, 100, 1000, 0}, {2000, 2000, 0, 0}}, []int{1000, -1}},
		{"slots run out", config.ForecastPlain, [][4]int{{1, 99, 0, 0}, {1, 99, 1, 0}, {1, 99, 2, 0}, {1, 99, 3, 0}, {1, 99, 4, 0}, {1, 99, 5, 0}, {1, 99, 6, 0}, {1, 99, 7, 0}, {1, 99, 8, 0}},
			[]int{0, 1, 2, 3, 4, 5, 6, 7, -1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := testLedger(t, tc.mode, 0)
			for i, a := range tc.args {
				start, err := l.Reserve(at(0), reserveArgs(i, a[0], a[1], a[2], a[3]), evenWeights)
				got := -1
				if err == nil {
					got = int(start.Sub(epoch).Milliseconds())
				} else if err.RetryAfter <= 0 {
					t.Errorf("reservation %d: no retry time", i)
				}
				if got != tc.want[i] {
					t.Errorf("reservation %d starts at %d, want %d (%v)", i, got, tc.want[i], err)
				}
			}
		})
	}
}

// TestLedgerList checks the ledger against the engine's own list: an expired lease doesn't free
// what the engine holds, and what the engine no longer holds is free.
func TestLedgerList(t *testing.T) {
	l := testLedger(t, config.ForecastPlain, 0)
	for i := range 3 {
		if _, err := l.Reserve(at(0), reserveArgs(i, 3000, 100, 0, 5000), evenWeights); err != nil {
			t.Fatal(err)
		}
	}
	held := map[request.Attempt]endpoint.Running{attempt(0): {Tokens: 3100}, attempt(9): {Tokens: 500}}
	l.ApplyList(at(100), held)
	l.expire(at(60_000))
	if _, there := l.rows[attempt(0)]; !there {
		t.Error("a request that the engine holds was dropped when its lease expired")
	}
	if _, there := l.rows[attempt(1)]; there {
		t.Error("an unused reservation outlives its lease")
	}
	if r, there := l.rows[attempt(9)]; !there || r.tokens != 500 {
		t.Error("a request that only the engine knows doesn't count")
	}
	l.ApplyList(at(60_100), nil)
	if len(l.rows) != 0 {
		t.Errorf("%d rows left after the engine's list is empty", len(l.rows))
	}
}

// TestLedgerFair checks that a team can't hold more than its share of crowded memory, and that it
// may hold all of it when it is alone.
func TestLedgerFair(t *testing.T) {
	l := testLedger(t, config.ForecastPlain, 0)
	take := func(n int, team uint32) bool {
		a := reserveArgs(n, 1000, 100, 0, 0)
		a.Team, a.Bytes = team, 0
		_, err := l.Reserve(at(0), a, evenWeights)
		return err == nil
	}
	for n := range 6 {
		if !take(n, 1) {
			t.Fatalf("reservation %d refused while memory is free", n)
		}
	}
	if !take(10, 2) {
		t.Error("a second team is refused while memory is free")
	}
	if take(11, 1) {
		t.Error("the team above its share got more of crowded memory")
	}
	if !take(12, 2) {
		t.Error("the team below its share was refused")
	}
}

// TestMargin checks that a larger margin grants less.
func TestMargin(t *testing.T) {
	granted := func(margin float64) int {
		l := testLedger(t, config.ForecastMargin, margin)
		l.slots = 100
		n := 0
		for i := range 40 {
			a := reserveArgs(i, 100, 500, 10*i, 200)
			a.Bytes = 0
			if _, err := l.Reserve(at(0), a, evenWeights); err == nil {
				n++
			}
		}
		later := at(2500) // some have ended by then; which ones is unknown
		for i := range 40 {
			a := reserveArgs(100+i, 100, 500, 300, 0)
			a.Bytes = 0
			if _, err := l.Reserve(later, a, evenWeights); err == nil {
				n++
			}
		}
		return n
	}
	small, zero, large := granted(-1), granted(0), granted(1)
	if small <= zero || zero <= large {
		t.Errorf("granted %d, %d and %d with margins -1, 0 and 1: want decreasing numbers", small, zero, large)
	}
}

func BenchmarkReserve(b *testing.B) {
	l := testLedger(b, config.ForecastMargin, -0.5)
	l.spec.MemoryTokens, l.slots = 48_000, 32
	for i := range b.N {
		now := at(i * 50)
		l.Reserve(now, reserveArgs(i, 300+i%7*900, 400, 200, 500), evenWeights)
		if i > 28 {
			delete(l.rows, attempt(i-28))
		}
	}
}

// TestLearnMargin checks that the margin rises while more than the target share of requests find
// the engine full, and falls while fewer do, up to its bounds.
func TestLearnMargin(t *testing.T) {
	l := testLedger(t, config.ForecastMargin, 0)
	l.learnsMargin, l.fullShare = true, 0.1
	for i := range 2000 {
		l.learnMargin(i%4 == 0) // too many
	}
	if l.margin < maxMargin-marginStep {
		t.Errorf("margin %.2f with a quarter of requests waiting, want the maximum", l.margin)
	}
	for i := range 4000 {
		l.learnMargin(i%20 == 0) // too few
	}
	if l.margin > minMargin+marginStep {
		t.Errorf("margin %.2f with a twentieth waiting, want the minimum", l.margin)
	}
}
