package peer

import (
	"fmt"
	"sync"
	"testing"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// TestNewsInOrder applies many rosters concurrently, as they arrive from the store and from
// peers, each of which begins or ends the evacuation of a failure domain. It guards against an
// older roster being applied last: the routing table and the list of evacuations must match the
// newest roster.
func TestNewsInOrder(t *testing.T) {
	const rounds, concurrent = 2000, 8 // concurrent: rosters applied concurrently
	r := testRouter("h", "", 0, nil)
	b := r.board
	r.Offer(1, []byte(newsDocument), "test")
	for round := range rounds {
		var wg sync.WaitGroup
		for i := range concurrent {
			wg.Go(func() {
				revision := config.Position(round*concurrent + i + 1)
				ro := &config.RosterList{Revision: revision}
				for k := range 20 {
					ro.Endpoints = append(ro.Endpoints, config.Endpoint{Name: fmt.Sprint("e", k), Address: fmt.Sprintf("10.0.0.%d:1", k+1), Domain: "d",
						Pool: "p", Role: config.Service, Registered: true})
				}
				if i%2 == 0 {
					ro.Evacuated = []config.Evacuation{{Domain: "d", Revision: revision}}
				}
				r.OfferRoster(ro.Roster(), "test")
			})
		}
		wg.Wait()
		want := b.Config.View()
		b.Endpoints.Read(func(fleet *route.Fleet) {
			v := fleet.View
			if v != want || fleet.Find(route.Number("e0")).Evacuated != want.IsEvacuated(want.Endpoint("e0")) {
				t.Fatalf("round %d: the routing table is at roster %d, want %d", round, v.RosterRevision, want.RosterRevision)
			}
		})
		if rows := b.Evacuations.List(); len(rows) != len(want.Evacuated) || len(rows) > 0 && rows[0].Evacuation != want.Evacuated["d"] {
			t.Fatalf("round %d: evacuations %+v, want %+v", round, rows, want.Evacuated)
		}
	}
}
