package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestOrder has two askers ask for more than there is, beside each other: who goes first, and
// that nobody is shut out.
func TestOrder(t *testing.T) {
	type asks struct {
		Asker
		perSecond float64
	}
	for _, tc := range []struct {
		name        string
		limit       float64
		a, b        asks
		least, most float64 // of a's starts to b's
	}{
		{"alike", 20, asks{Asker{1, 1}, 40}, asks{Asker{2, 1}, 40}, 0.8, 1.25},
		{"one is more urgent", 20, asks{Asker{1, 0}, 10}, asks{Asker{1, 2}, 40}, 0.9, 1.6},
		{"a team asks for much more", 20, asks{Asker{1, 1}, 12.5}, asks{Asker{2, 1}, 200}, 0.5, 2},
		{"very little", 0.5, asks{Asker{1, 0}, 10}, asks{Asker{2, 3}, 9.1}, 0.3, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p Pace
			var o Order
			got := map[Asker]int{}
			rng := rand.New(rand.NewPCG(1, 2))
			const step = 2 * time.Millisecond
			for at := time.Duration(0); at < 5*time.Minute; at += step {
				for _, who := range []asks{tc.a, tc.b} {
					if rng.Float64() > who.perSecond*step.Seconds() {
						continue
					}
					now := begin.Add(at)
					if _, ok := p.Ask(now, LimitTerms(tc.limit, 1), o.Ahead(now, who.Asker, MostWait)); ok {
						o.Had(now, who.Asker)
						got[who.Asker]++
					}
				}
			}
			part := float64(got[tc.a.Asker]) / float64(got[tc.b.Asker])
			t.Logf("%v of %v a second in 5 minutes", got, tc.limit)
			if part < tc.least || part > tc.most {
				t.Errorf("%.2f to one, want %v to %v", part, tc.least, tc.most)
			}
		})
	}
	var o Order
	for n := range uint32(2 * mostTeams) {
		o.Had(begin, Asker{Team: n})
	}
	if len(o.had) > mostTeams {
		t.Errorf("%d teams remembered", len(o.had))
	}
	if o.fade(begin.Add(time.Hour)); len(o.had) != 0 {
		t.Errorf("%d teams remembered after an hour", len(o.had))
	}
}
