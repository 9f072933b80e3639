package pace

import (
	"testing"
	"time"
)

// TestLone has many hosts that reach no owner send to an endpoint for hours: together they stay
// below the part that they may have, whenever they began.
func TestLone(t *testing.T) {
	for _, hosts := range []int{1, 8, 300} {
		const limit = 5.7
		var used []time.Duration
		lones := make([]Lone, hosts)
		for i := range lones {
			lones[i].Phase = float64(i) / float64(hosts)
		}
		for at := time.Duration(0); at < 10*time.Minute; at += 20 * time.Millisecond {
			for i := range lones {
				if at > 2*time.Minute && at < 5*time.Minute {
					continue // nobody asks
				}
				if _, ok := lones[i].Ask(begin.Add(at), limit, 1/float64(hosts)); ok {
					used = append(used, at)
				}
			}
		}
		allowed := 0.5*limit*(limitWindow+loneKept).Seconds() + 2
		if n := fullestIn(used, limitWindow); float64(n) > allowed {
			t.Errorf("%d hosts: %d in %v, want %.1f at the most", hosts, n, limitWindow, allowed)
		}
		if least := 0.8 * 0.5 * limit * 7 * 60; float64(len(used)) < least {
			t.Errorf("%d hosts: %d in 7 minutes, want %.0f at the least", hosts, len(used), least)
		}
	}
	var l Lone
	if in, given := l.Ask(begin, 5, 0); given || in != Never {
		t.Errorf("%v, %v with no part", in, given)
	}
}
