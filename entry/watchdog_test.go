package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
)

// TestWatchdogStops checks that no engine is asked whether it is alive for a call that has
// ended, even if the call ends while its engine is being asked.
func TestWatchdogStops(t *testing.T) {
	cases := []struct {
		name      string
		endsAfter time.Duration // when the call ends; the engine is asked after 100 ms, for 50 ms
		asked     int32
	}{
		{"before the engine is asked", 90 * time.Millisecond, 0},
		{"while it is asked", 120 * time.Millisecond, 1},
		{"after it answered", 200 * time.Millisecond, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked atomic.Int32
				w := newWatchdog(100*time.Millisecond, forever, callControl{
					checkLiveness: func() livenessCheck {
						asked.Add(1)
						time.Sleep(50 * time.Millisecond)
						return livenessCheck{alive: true}
					},
					mayCancel: func(*watchdog) bool { return true },
					cancel:    func() { t.Error("cancelled") },
				})
				w.checksLiveness.Store(true)
				time.Sleep(tc.endsAfter)
				w.stop()
				time.Sleep(time.Minute)
				if n := asked.Load(); n != tc.asked {
					t.Errorf("asked %d times, want %d", n, tc.asked)
				}
			})
		})
	}
}

// slowReportEngine is an engine whose reports take a given time each, also beyond the
// report timeout. This is what a host that is held up observes.
type slowReportEngine struct {
	endpoint.Engine
	reportTimes []time.Duration // of consecutive reports; the last one applies to all further ones
	asked       int
	started     uint64 // of the process that answers
}

func (a *slowReportEngine) State(ctx context.Context, _ string) (*endpoint.State, error) {
	took := a.reportTimes[min(a.asked, len(a.reportTimes)-1)]
	a.asked++
	time.Sleep(took)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "report")
	}
	return &endpoint.State{Incarnation: a.started}, nil
}

// TestLives checks which engines count as lost: those that leave two requests for a report
// unanswered, not counting requests during which this host was held up or nobody answered it.
func TestLives(t *testing.T) {
	const prompt, silent, heldUp = 5 * time.Millisecond, reportTimeout + time.Millisecond, reportTimeout + 40*time.Millisecond
	cases := []struct {
		name           string
		reportTimes    []time.Duration
		alive          bool
		asked          int
		calledStart    int64         // of the process that was called
		answeringStart uint64        // of the one that answers
		otherTakes     time.Duration // until another host answers
	}{
		{"answers", []time.Duration{prompt}, true, 1, 0, 0, prompt},
		{"the same process answers", []time.Duration{prompt}, true, 1, 7, 7, prompt},
		{"a later one answers", []time.Duration{prompt}, false, 1, 7, 8, prompt},
		{"one that doesn't report its start answers", []time.Duration{prompt}, true, 1, 7, 0, prompt},
		{"the start of the called one isn't known", []time.Duration{prompt}, true, 1, 0, 8, prompt},
		{"a report is lost", []time.Duration{silent, prompt}, true, 2, 0, 0, prompt},
		{"doesn't answer", []time.Duration{silent}, false, 2, 0, 0, prompt},
		{"the host is held up, and the engine answers", []time.Duration{heldUp, silent, prompt}, true, 3, 0, 0, prompt},
		{"the host is held up, and the engine doesn't answer", []time.Duration{heldUp, silent}, false, 3, 0, 0, prompt},
		{"doesn't answer, and nobody else does", []time.Duration{silent}, true, maxLivenessAsks, 0, 0, forever},
		{"doesn't answer, and others answer as late", []time.Duration{silent}, true, maxLivenessAsks, 0, 0, silent},
		{"the host is held up again and again", []time.Duration{heldUp}, true, maxLivenessAsks, 0, 0, prompt},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &slowReportEngine{reportTimes: tc.reportTimes, started: tc.answeringStart}
				b := blackboard.New(&config.Settings{Host: "h"})
				b.Answers.Ping = func() bool {
					began := time.Now()
					time.AfterFunc(tc.otherTakes, func() { b.Answers.Record(began) })
					return true
				}
				e := &Entry{engine: a, board: b}
				if alive := e.checkLiveness(t.Context(), process{address: "10.0.0.1:80", started: tc.calledStart}).alive; alive != tc.alive || a.asked != tc.asked {
					t.Errorf("alive %v after %d asks, want %v after %d", alive, a.asked, tc.alive, tc.asked)
				}
			})
		})
	}
}
