package peer

import (
	"fmt"
	"sync"
	"testing"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// TestNewsInOrder has many rosters come at once, from the store and from peers, each of
// which empties a failure domain or takes it back, and checks that the table that requests
// are placed by is laid out for the last of them, and that operators are told the same.
func TestNewsInOrder(t *testing.T) {
	const rounds, at = 2000, 8 // rosters that come at the same time
	r := testRouter("h", "", 0, nil)
	b := r.board
	r.Offer(1, []byte(newsDocument), "test")
	for round := range rounds {
		var wg sync.WaitGroup
		for i := range at {
			wg.Go(func() {
				revision := config.Position(round*at + i + 1)
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
			if v != want || fleet.Find(route.Number("e0")).Evacuated != want.Emptied(want.Endpoint("e0")) {
				t.Fatalf("round %d: laid out for roster %d, want %d", round, v.Roster, want.Roster)
			}
		})
		if rows := b.Emptied.List(); len(rows) != len(want.Evacuated) || len(rows) > 0 && rows[0].Evacuation != want.Evacuated["d"] {
			t.Fatalf("round %d: told of %+v, want %+v", round, rows, want.Evacuated)
		}
	}
}
