package peer

import (
	"fmt"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/route"
)

const newsDocument = `{"failure_domains": [{"name": "d", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "p", "slots": 4}], "routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

// TestNewsInOrder has many rosters come at once, from the store and from peers, each of
// which empties a failure domain or takes it back, and checks that the table that requests
// are placed by is laid out for the last of them, and that operators are told the same.
func TestNewsInOrder(t *testing.T) {
	const rounds, at = 2000, 8 // rosters that come at the same time
	s := &config.Settings{Host: "h", Domain: "d", Region: "r"}
	s.SetDefaults()
	b := blackboard.New(s)
	r := NewRouter(b, owner.New(b, endpoint.NewClient(nil), zap.NewNop()), nil, zap.NewNop())
	r.Offer(1, []byte(newsDocument), "test")
	for round := range rounds {
		var wg sync.WaitGroup
		for i := range at {
			wg.Go(func() {
				revision := uint64(round*at + i + 1)
				ro := &config.Roster{Revision: revision}
				for k := range 20 {
					ro.Endpoints = append(ro.Endpoints, config.Endpoint{Name: fmt.Sprint("e", k), Address: fmt.Sprintf("10.0.0.%d:1", k+1), Domain: "d",
						Pool: "p", Role: config.Service, Registered: true})
				}
				if i%2 == 0 {
					ro.Evacuated = []config.Evacuation{{Domain: "d", Revision: revision}}
				}
				r.OfferRoster(ro, "test")
			})
		}
		wg.Wait()
		want := b.Config.View()
		b.Endpoints.Read(func(v *config.View, states []route.State) {
			if v != want || states[0].Evacuated != want.Emptied(want.ByName["e0"]) {
				t.Fatalf("round %d: laid out for roster %d, want %d", round, v.Roster, want.Roster)
			}
		})
		if rows := b.Emptied.List(); len(rows) != len(want.Evacuated) || len(rows) > 0 && rows[0].Evacuation != want.Evacuated["d"] {
			t.Fatalf("round %d: told of %+v, want %+v", round, rows, want.Evacuated)
		}
	}
}
