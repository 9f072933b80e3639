package route

import (
	"fmt"
	"testing"

	"github.com/embercove/embercove/config"
)

// TestGoneComesBack has an endpoint go and be registered again, in the same era of the store or a
// later one.
func TestGoneComesBack(t *testing.T) {
	for _, tc := range []struct {
		name       string
		era        uint64 // when it comes back; it goes in era 1
		born, back int64
		after      float64 // s, from when it went
		barred     bool
	}{
		{"the same era", 1, 5, 5, 2, false},
		{"a later era", 2, 5, 5, 2, true},
		{"no start is told", 2, 0, 0, 2, true},
		{"it has started again", 2, 5, 6, 2, false},
		{"long ago", 2, 5, 5, 70, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewFleet(nil)
			view := func(era uint64, born int64, names ...string) *config.View {
				v := *noticedView(t, born, names...)
				at, err := config.At(era, 9)
				if err != nil {
					t.Fatal(err)
				}
				v.Roster = at
				return &v
			}
			f.Fit(view(1, tc.born, "e", "other"), noticed)
			f.Fit(view(1, tc.born, "other"), noticed)
			f.Fit(view(tc.era, tc.back, "e", "other"), noticedAt(tc.after))
			for _, at := range []struct {
				seconds float64
				barred  bool
			}{{tc.after, tc.barred}, {tc.after + 4.9, tc.barred}, {tc.after + 5, false}} {
				r := &Request{Region: ^config.Regions(0), Now: noticedAt(at.seconds)}
				if got := Barred(f.Find(Number("e")), r) == BarDoubted; got != at.barred {
					t.Errorf("%v s later: barred %v, want %v", at.seconds-tc.after, got, at.barred)
				}
				if Barred(f.Find(Number("other")), r) != BarNone {
					t.Error("one that stayed is barred")
				}
			}
		})
	}
}

// TestGoneIsForgotten has many endpoints go for hours.
func TestGoneIsForgotten(t *testing.T) {
	var g goneTable
	for i := range 100_000 {
		g.note(uint32(i), &config.Endpoint{Name: fmt.Sprint(i)}, 1, noticedAt(float64(i)/10))
	}
	if most := 3 * 10 * int(goneKept.Seconds()); len(g.of) > most {
		t.Errorf("%d are known, want %d at the most", len(g.of), most)
	}
}
