package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/endpoint"
)

// TestWatchdogStops checks that no engine is asked for a call that is over, also where
// the call ends while its engine is being asked.
func TestWatchdogStops(t *testing.T) {
	cases := []struct {
		name  string
		ends  time.Duration // when the call ends; the engine is asked after 100 ms, for 50 ms
		asked int32
	}{
		{"before the engine is asked", 90 * time.Millisecond, 0},
		{"while it is asked", 120 * time.Millisecond, 1},
		{"after it answered", 200 * time.Millisecond, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked atomic.Int32
				w := newWatchdog(100*time.Millisecond, forever, func() { t.Error("cancelled") }, func() bool {
					asked.Add(1)
					time.Sleep(50 * time.Millisecond)
					return true
				})
				w.asks.Store(true)
				time.Sleep(tc.ends)
				w.stop()
				time.Sleep(time.Minute)
				if n := asked.Load(); n != tc.asked {
					t.Errorf("asked %d times, want %d", n, tc.asked)
				}
			})
		})
	}
}

// askedEngine is an engine whose reports take some time each, also beyond the time that
// they are waited for: so it looks to a host that is held up.
type askedEngine struct {
	endpoint.Engine
	takes []time.Duration // of one ask after the other; the last one's of all further ones
	asked int
}

func (a *askedEngine) State(ctx context.Context, _ string) (*endpoint.State, error) {
	took := a.takes[min(a.asked, len(a.takes)-1)]
	a.asked++
	time.Sleep(took)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "report")
	}
	return &endpoint.State{}, nil
}

// TestLives states which engines count as lost: those that say nothing to two asks, of
// those during which this host ran.
func TestLives(t *testing.T) {
	const prompt, silent, heldUp = 5 * time.Millisecond, askWait + time.Millisecond, askWait + 40*time.Millisecond
	cases := []struct {
		name  string
		takes []time.Duration
		lives bool
		asked int
	}{
		{"answers", []time.Duration{prompt}, true, 1},
		{"a report is lost", []time.Duration{silent, prompt}, true, 2},
		{"says nothing", []time.Duration{silent}, false, 2},
		{"the host is held up, and the engine answers", []time.Duration{heldUp, silent, prompt}, true, 3},
		{"the host is held up, and the engine says nothing", []time.Duration{heldUp, silent}, false, 3},
		{"the host is held up again and again", []time.Duration{heldUp}, true, askMost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &askedEngine{takes: tc.takes}
				e := &Entry{engine: a}
				if lives := e.lives(t.Context(), "10.0.0.1:80"); lives != tc.lives || a.asked != tc.asked {
					t.Errorf("lives %v after %d asks, want %v after %d", lives, a.asked, tc.lives, tc.asked)
				}
			})
		})
	}
}
