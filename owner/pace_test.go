package owner

import (
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/queue"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/route"
)

// prefillEngine is an engine that prefills prompts one after the other at a fixed rate and
// reports each prefill's end after a fixed lag.
type prefillEngine struct {
	rate float64 // tokens a second
	lag  time.Duration
	free time.Time
}

// prefill returns when the prefill of a prompt that is sent now is reported as ended.
func (e *prefillEngine) prefill(now time.Time, tokens int) time.Time {
	if e.free.Before(now) {
		e.free = now
	}
	e.free = e.free.Add(time.Duration(float64(tokens) / e.rate * float64(time.Second)))
	return e.free.Add(e.lag)
}

// prefillScheduler returns a scheduler of a prefill engine with the default estimate of 40,000
// tokens a second, as for an engine of which nothing is known.
func prefillScheduler(t *testing.T) *Scheduler {
	t.Helper()
	v, err := config.NewView(1, examples.Domaskra)
	if err != nil {
		t.Fatal(err)
	}
	spec := *v.Endpoint("docket-decode-1")
	spec.Role, spec.TokensPerSecond, spec.Registered = config.Prefill, config.DefaultTokensPerSecond, true
	return newScheduler(v, &spec, 1, at(0))
}

// TestReadPace offers an engine more prompts than it can prefill, and checks that its scheduler
// learns the actual rate: most of the rate must be used, and few admitted prompts may end late.
func TestReadPace(t *testing.T) {
	const tokens, slack, span = 3000, 800, 20_000 // the latter two in ms
	cases := []struct {
		name        string
		rate        float64
		lag         time.Duration
		reportEvery int // one of this many ends is reported
	}{
		{"as estimated", 40_000, 0, 1},
		{"slower than estimated", 33_333, 0, 1},
		{"slower, with a fixed lag for each prompt", 33_333, 50 * time.Millisecond, 1},
		{"the same, with few ends reported", 33_333, 50 * time.Millisecond, 4},
		{"half the rate", 20_000, 50 * time.Millisecond, 1},
		{"faster than estimated", 60_000, 20 * time.Millisecond, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			sched := prefillScheduler(t)
			e := &prefillEngine{rate: tc.rate, lag: tc.lag, free: at(0)}
			type end struct {
				at  time.Time
				rel Release
			}
			var ends []end
			waiting := map[request.Attempt]*queue.Item{}
			prefilled, lateCount, n := 0, 0, 0
			for ms := 0; ms < span; ms += 5 {
				now := at(ms)
				for len(ends) > 0 && !ends[0].at.After(now) {
					sched.release(now, ends[0].rel)
					ends = ends[1:]
				}
				if ms%40 == 0 { // 75,000 tokens a second are offered
					n++
					a := EnqueueArgs{Attempt: request.Attempt{Number: uint32(n)}, Tokens: tokens, Slack: slack}
					if it, _ := sched.admit(now, a); it != nil {
						waiting[it.Attempt] = it
					}
				}
				sched.runQueue(now)
				for a, it := range waiting {
					select {
					case refusal := <-it.Result:
						delete(waiting, a)
						if refusal != nil {
							continue
						}
						done := e.prefill(now, tokens)
						if ms >= span/2 {
							prefilled += tokens
							if done.After(it.Arrived.Add(slack * time.Millisecond)) {
								lateCount++
							}
						}
						if n%tc.reportEvery == 0 {
							ends = append(ends, end{done, Release{Attempt: a, Outcome: Done, Millis: int(done.Sub(now).Milliseconds())}})
						}
					default:
					}
				}
			}
			used := float64(prefilled) / tc.rate / (span / 2 / 1000)
			if used < 0.9 {
				t.Errorf("%.2f of the engine's rate used, want 0.9 or more", used)
			}
			if n := prefilled / tokens; lateCount > n/10 {
				t.Errorf("%d of %d prefills ended too late", lateCount, n)
			}
		})
	}
}

// TestPoolPace checks that the scheduler of an engine of which nothing is known starts with the
// pace reported for other engines of its pool and role.
func TestPoolPace(t *testing.T) {
	o := testOwner(t, "a", "b")
	v := o.board.Config.View()
	spec := v.Endpoint("e")
	spec.GrowsMemory = true
	o.board.Endpoints.Learn(route.Digest{Number: route.Number("e"), SlowPct: 650}, time.Now())
	sched := o.openScheduler(v, spec, time.Now())
	if got := sched.ledger.SlowPct(); got != 650 {
		t.Errorf("a pace of %d, want 650", got)
	}
}
