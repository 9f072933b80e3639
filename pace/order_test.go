package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestOrder has two requesters compete for more permits than there are. It checks who goes first
// and that neither starves.
func TestOrder(t *testing.T) {
	type load struct {
		Requester
		perSecond float64
	}
	for _, tc := range []struct {
		name        string
		limit       float64
		a, b        load
		least, most float64 // bounds of a's permits divided by b's
	}{
		{"alike", 20, load{Requester{1, 1}, 40}, load{Requester{2, 1}, 40}, 0.8, 1.25},
		{"one is more urgent", 20, load{Requester{1, 0}, 10}, load{Requester{1, 2}, 40}, 0.9, 1.6},
		{"a team asks for much more", 20, load{Requester{1, 1}, 12.5}, load{Requester{2, 1}, 200}, 0.5, 2},
		{"very little", 0.5, load{Requester{1, 0}, 10}, load{Requester{2, 3}, 9.1}, 0.3, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p Bucket
			var o Order
			got := map[Requester]int{}
			rng := rand.New(rand.NewPCG(1, 2))
			const step = 2 * time.Millisecond
			for at := time.Duration(0); at < 5*time.Minute; at += step {
				for _, who := range []load{tc.a, tc.b} {
					if rng.Float64() > who.perSecond*step.Seconds() {
						continue
					}
					now := epoch.Add(at)
					if _, ok := p.Acquire(now, LimitParams(tc.limit, 1), o.WaitLimit(now, who.Requester, MaxWait)); ok {
						o.NoteGrant(now, who.Requester)
						got[who.Requester]++
					}
				}
			}
			ratio := float64(got[tc.a.Requester]) / float64(got[tc.b.Requester])
			t.Logf("%v of %v a second in 5 minutes", got, tc.limit)
			if ratio < tc.least || ratio > tc.most {
				t.Errorf("ratio %.2f, want %v to %v", ratio, tc.least, tc.most)
			}
		})
	}
	var o Order
	for n := range uint32(2 * maxTeams) {
		o.NoteGrant(epoch, Requester{Team: n})
	}
	if len(o.usage) > maxTeams {
		t.Errorf("%d teams remembered", len(o.usage))
	}
	if o.decay(epoch.Add(time.Hour)); len(o.usage) != 0 {
		t.Errorf("%d teams remembered after an hour", len(o.usage))
	}
}
