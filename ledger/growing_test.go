package ledger

import (
	"math/rand/v2"
	"testing"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/request"
)

// growingLedger returns a ledger of an engine with 90,000 tokens whose answers take memory as they
// are decoded, at a token a millisecond.
func growingLedger(t testing.TB) *Ledger {
	t.Helper()
	l := testLedger(t, config.ForecastMargin, 0)
	l.learnsMargin = true
	l.spec.GrowsMemory, l.spec.MemoryTokens, l.spec.Slots = true, 90_000, 64
	l.spec.StepMicros, l.spec.LinkBytesPerSecond = 1000, 1<<40
	l.slots = 64
	return l
}

func growingArgs(n, prompt, estimate, slack int) Request {
	a := reserveArgs(n, prompt, 10_880, 0, slack)
	a.Expected, a.Bytes = estimate, 0
	return a
}

// TestGrowing checks how many requests of a size that arrive at once a growing engine grants.
func TestGrowing(t *testing.T) {
	cases := []struct {
		name             string
		prompt, estimate int
		least, most      int // granted at once
	}{
		{"prompts of half the memory", 45_000, 100, 1, 1},
		{"short answers: prompts fill it", 8_000, 300, 9, 11},
		{"answers as long as their prompts", 5_000, 5_000, 7, 12},
		{"long answers leave room to grow", 5_000, 10_000, 5, 8},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := growingLedger(t)
			n := 0
			for ; n < 64; n++ {
				if _, err := l.Reserve(at(0), growingArgs(n, tc.prompt, tc.estimate, 0), evenWeights); err != nil {
					if err.RetryAfter <= 0 {
						t.Error("no retry time")
					}
					break
				}
			}
			if n < tc.least || n > tc.most {
				t.Errorf("%d granted, want %d to %d", n, tc.least, tc.most)
			}
		})
	}
}

// TestGrowingHolds simulates an overloaded engine whose answers match their callers' estimates only
// in the median. It counts the instants at which the granted requests need more memory than there
// is.
func TestGrowingHolds(t *testing.T) {
	l := growingLedger(t)
	r := rand.New(rand.NewPCG(7, 7))
	type run struct{ prompt, estimate, length, start int }
	running := map[int]run{}
	over, granted := 0, 0
	for now := 0; now < 60_000; now += 50 {
		for n, x := range running {
			if now >= x.start+x.length {
				l.Release(at(now), End{Attempt: attempt(n), Complete: true, Answer: x.length, Max: 10_880, Expected: x.estimate})
				delete(running, n)
			}
		}
		estimate := 500 + r.IntN(8_000)
		length := min(10_880, max(1, int(float64(estimate)*(0.5+r.Float64()*r.Float64()*3))))
		prompt := 1_000 + r.IntN(9_000)
		if _, err := l.Reserve(at(now), growingArgs(now, prompt, estimate, 0), evenWeights); err == nil {
			l.rows[attempt(now)].seen = true // as the engine's list would show
			running[now] = run{prompt, estimate, length, now}
			granted++
		}
		used := 0
		for _, x := range running {
			used += x.prompt + now - x.start
		}
		if used > l.spec.MemoryTokens {
			over++
		}
	}
	if granted < 100 {
		t.Errorf("%d requests granted in a minute, want 100 or more", granted)
	}
	if over > 96 { // 8 in 100 of 1,200 instants
		t.Errorf("memory was short at %d of 1200 instants", over)
	}
	t.Logf("%d granted, short at %d of 1200 instants", granted, over)
}

// TestGrowingList checks that a list from before the reported end of a request doesn't bring the
// request back, and that requests are found by the id under which the engine lists them.
func TestGrowingList(t *testing.T) {
	l := growingLedger(t)
	a := growingArgs(1, 3_000, 500, 0)
	a.IDHash = ForeignAttempt("9c41").ID.Counter
	if _, err := l.Reserve(at(0), a, evenWeights); err != nil {
		t.Fatal(err)
	}
	l.ApplyList(at(100), running("9c41", "77"))
	if len(l.rows) != 2 || !l.rows[attempt(1)].seen {
		t.Fatalf("rows %v: want the own one seen and one foreign", l.rows)
	}
	l.Release(at(200), End{Attempt: attempt(1), Complete: true})
	l.ApplyList(at(300), running("9c41"))
	if len(l.rows) != 0 {
		t.Errorf("%d rows after both ended, want none", len(l.rows))
	}
	l.ApplyList(at(300).Add(2*endedKept), running("9c41"))
	if len(l.rows) != 1 {
		t.Errorf("%d rows, want one that runs again under an id used before", len(l.rows))
	}
}

// running is an engine's list of requests by id.
func running(ids ...string) map[request.Attempt]endpoint.Running {
	out := map[request.Attempt]endpoint.Running{}
	for _, id := range ids {
		out[ForeignAttempt(id)] = endpoint.Running{ID: id, Tokens: 4_000}
	}
	return out
}
