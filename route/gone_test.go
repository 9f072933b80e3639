package route

import (
	"fmt"
	"testing"

	"github.com/embercove/embercove/config"
)

// TestGoneComesBack removes an endpoint and registers it again, in the same era of the store or a
// later one. A store restored from an old copy brings back endpoints that no longer live.
func TestGoneComesBack(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		era                   uint64  // in which it is registered again; it is removed in era 1
		removed, reregistered int64   // start times, when removed and when registered again; 0: unknown
		after                 float64 // s since it was removed
		unconfirmed           bool
	}{
		{"the same era", 1, 5, 5, 2, false},
		{"a later era", 2, 5, 5, 2, true},
		{"no start time is known", 2, 0, 0, 2, true},
		{"it has restarted", 2, 5, 6, 2, false},
		{"long ago", 2, 5, 5, 70, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewFleet(nil)
			view := func(era uint64, born int64, names ...string) *config.View {
				v := *viewOfServices(t, born, names...)
				at, err := config.At(era, 9)
				if err != nil {
					t.Fatal(err)
				}
				v.RosterRevision = at
				return &v
			}
			f.SetView(view(1, tc.removed, "e", "other"), noticeTime)
			f.SetView(view(1, tc.removed, "other"), noticeTime)
			f.SetView(view(tc.era, tc.reregistered, "e", "other"), noticeTimeAt(tc.after))
			for _, at := range []struct {
				seconds     float64
				unconfirmed bool
			}{{tc.after, tc.unconfirmed}, {tc.after + 4.9, tc.unconfirmed}, {tc.after + 5, false}} {
				r := &Request{Region: ^config.Regions(0), Now: noticeTimeAt(at.seconds)}
				if got := IneligibleReason(f.Find(Number("e")), r) == ReasonUnconfirmed; got != at.unconfirmed {
					t.Errorf("%v s later: unconfirmed %v, want %v", at.seconds-tc.after, got, at.unconfirmed)
				}
				if IneligibleReason(f.Find(Number("other")), r) != ReasonNone {
					t.Error("an endpoint that stayed is excluded")
				}
			}
		})
	}
}

// TestGoneIsForgotten removes endpoints for hours and checks that the table stays bounded.
func TestGoneIsForgotten(t *testing.T) {
	var g removals
	for i := range 100_000 {
		g.add(uint32(i), &config.Endpoint{Name: fmt.Sprint(i)}, 1, noticeTimeAt(float64(i)/10))
	}
	if maxKept := 3 * 10 * int(removalTTL.Seconds()); len(g.byNumber) > maxKept {
		t.Errorf("%d removals are kept, want %d at most", len(g.byNumber), maxKept)
	}
}
