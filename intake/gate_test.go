package intake

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestGate checks for how long callers are held off while measurements show some delays.
func TestGate(t *testing.T) {
	ms := time.Millisecond
	const silent, alone = -1, -2 // nobody answers; there is nobody to ask
	cases := []struct {
		name     string
		delays   []time.Duration // measured in turn; the last one from then on
		noted    time.Duration
		arriving int
		shut     bool          // at some moment
		openFor  time.Duration // at the end, at least
	}{
		{"nothing is late", []time.Duration{500 * ms}, 20 * ms, 0, false, 0},
		{"one measurement is late", []time.Duration{300 * ms, 0}, 60 * ms, 0, false, 0},
		{"calls are late", []time.Duration{120 * ms, 130 * ms, 120 * ms, 0}, 60 * ms, 5, true, 4 * time.Second},
		{"calls are late, and few requests arrive", []time.Duration{120 * ms}, 60 * ms, 3, false, 0},
		{"calls are a little late", []time.Duration{90 * ms}, 60 * ms, 5, false, 0},
		{"nobody answers while requests arrive", []time.Duration{silent}, 60 * ms, 5, true, 0},
		{"nobody answers, and nothing arrives", []time.Duration{silent}, 60 * ms, 0, false, 0},
		{"there is no other host", []time.Duration{alone}, 60 * ms, 5, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				measured := 0
				g := NewGate()
				g.Probe = func(ctx context.Context) (time.Duration, bool, bool) {
					d := tc.delays[min(measured, len(tc.delays)-1)]
					measured++
					if d == silent {
						<-ctx.Done()
					}
					return d, d >= 0, d != alone
				}
				var shut atomic.Bool
				var openedAt time.Time
				g.onEachChange(func() {
					openedAt = time.Now()
					if !g.Admits() {
						shut.Store(true)
					}
				})
				go g.Run(ctx)
				for range tc.arriving {
					g.begin()
				}
				g.NoteDelay(tc.noted)
				time.Sleep(5 * time.Second)
				synctest.Wait()
				if shut.Load() != tc.shut {
					t.Errorf("shut %v, want %v", shut.Load(), tc.shut)
				}
				if tc.openFor > 0 && (!g.Admits() || time.Since(openedAt) < tc.openFor) {
					t.Errorf("admits %v for %v at the end, want for %v", g.Admits(), time.Since(openedAt), tc.openFor)
				}
			})
		})
	}
}

// TestGateOpensInTime has a delay that never ends, as its cause isn't what callers send.
func TestGateOpensInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := NewGate()
		g.Probe = func(context.Context) (time.Duration, bool, bool) { return time.Second, true, true }
		for range minArriving {
			g.begin()
		}
		go g.Run(ctx)
		g.NoteDelay(time.Second)
		open, longestShut, shutSince := 0, time.Duration(0), time.Now()
		const steps, step = 1000, 10 * time.Millisecond
		for range steps {
			time.Sleep(step)
			if g.Admits() {
				open++
				shutSince = time.Now()
			}
			longestShut = max(longestShut, time.Since(shutSince))
		}
		if longestShut > maxShut+probeTimeout {
			t.Errorf("callers were held off for %v at a time, want %v", longestShut, maxShut)
		}
		if open < steps/4 {
			t.Errorf("callers were admitted in %d of %d steps, want a quarter", open, steps)
		}
	})
}

// TestWindow checks how many requests may arrive after callers were held off.
func TestWindow(t *testing.T) {
	now := time.Now()
	few := window{arriving: minBounded - 1}
	if few.shrink(now); few.size != 0 {
		t.Errorf("size %v with %d requests, want no bound", few.size, few.arriving)
	}
	var w window
	for range 100 {
		if w.arrive(1, now) {
			t.Fatal("a window without a bound is full")
		}
	}
	w.shrink(now)
	if !w.isOverfull() || !w.arrive(0, now) {
		t.Errorf("a window of %v isn't full with %d", w.size, w.arriving)
	}
	w.shrink(now)
	if w.size != 50 {
		t.Errorf("size %v after it has shrunk twice at once, want 50", w.size)
	}
	for i := range 10 {
		w.shrink(now.Add(time.Duration(i+1) * shrinkInterval))
	}
	if w.size != minWindow {
		t.Errorf("size %v, want %d", w.size, minWindow)
	}
	for w.arriving > 0 {
		w.arrive(-1, now)
	}
	if w.arrive(0, now) || w.size < 10 {
		t.Errorf("full, or size %v, after 100 requests have arrived", w.size)
	}
	w.arrive(1, now.Add(windowExpiry+11*shrinkInterval))
	if w.size != 0 {
		t.Errorf("size %v after %v, want no bound", w.size, windowExpiry)
	}
}
