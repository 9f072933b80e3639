package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestLone has many hosts that reach no owner send to one endpoint for a long time. Together they
// stay below the part of the limit allowed to isolated hosts, whenever each of them began.
func TestLone(t *testing.T) {
	for _, hosts := range []int{1, 8, 300} {
		const limit = 5.7
		var used []time.Duration
		limiters := make([]IsolatedLimiter, hosts)
		for i := range limiters {
			limiters[i].Phase = float64(i) / float64(hosts)
		}
		for at := time.Duration(0); at < 10*time.Minute; at += 20 * time.Millisecond {
			for i := range limiters {
				if at > 2*time.Minute && at < 5*time.Minute {
					continue // no requests
				}
				if _, ok := limiters[i].Acquire(epoch.Add(at), limit, 1/float64(hosts)); ok {
					used = append(used, at)
				}
			}
		}
		allowed := 0.5*limit*(limitWindow+slotValidFor).Seconds() + 2
		if n := maxWithin(used, limitWindow); float64(n) > allowed {
			t.Errorf("%d hosts: %d in %v, want at most %.1f", hosts, n, limitWindow, allowed)
		}
		if least := 0.8 * 0.5 * limit * 7 * 60; float64(len(used)) < least {
			t.Errorf("%d hosts: %d in 7 minutes, want at least %.0f", hosts, len(used), least)
		}
	}
	var l IsolatedLimiter
	if in, granted := l.Acquire(epoch, 5, 0); granted || in != Never {
		t.Errorf("%v, %v with a share of zero", in, granted)
	}
}

// TestIsolatedHostsBeginApart has isolated hosts send first at different moments. Slots that counted
// from there would coincide now and then, as if they were drawn at random.
func TestIsolatedHostsBeginApart(t *testing.T) {
	const (
		hosts = 40
		limit = 5.7
	)
	rng := rand.New(rand.NewPCG(1, 1))
	for play := range 200 {
		var used []time.Duration
		limiters, begins := make([]IsolatedLimiter, hosts), make([]time.Duration, hosts)
		for i := range limiters {
			limiters[i].Phase = float64(i) / hosts
			begins[i] = time.Duration(rng.Float64() * float64(20*time.Second))
		}
		for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
			for i := range limiters {
				if at < begins[i] {
					continue
				}
				if _, ok := limiters[i].Acquire(epoch.Add(at), limit, 1.0/hosts); ok {
					used = append(used, at)
				}
			}
		}
		allowed := isolatedPart*limit*(limitWindow+slotValidFor).Seconds() + 2
		if n := maxWithin(used, limitWindow); float64(n) > allowed {
			t.Fatalf("play %d: %d in %v, want at most %.1f", play, n, limitWindow, allowed)
		}
	}
}
