package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

const exchangeDocument = `{"failure_domains": [{"name": "d", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "p", "slots": 4}], "routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

// TestNews checks that a change notice carries the revisions it announces and no digests, however
// many endpoints there are.
func TestNews(t *testing.T) {
	r := testRouter("a", "127.0.0.1:1", 0, nil)
	b := r.board
	if _, err := b.Config.Offer(7, []byte(exchangeDocument)); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	roster := &config.RosterList{Revision: 9}
	for i := range 300 {
		roster.Endpoints = append(roster.Endpoints, config.Endpoint{Name: fmt.Sprint("e", i), Address: "127.0.0.1:9", Domain: "d", Pool: "p", Role: config.Service})
	}
	if _, err := b.Config.OfferRoster(roster.Roster(), now); err != nil {
		t.Fatal(err)
	}
	b.Endpoints.ApplyView(b.Config.View())
	for _, e := range roster.Endpoints {
		b.Endpoints.Learn(route.Digest{Number: config.NameNumber(e.Name), FreeSlots: 4}, now)
	}
	for _, changesOnly := range []bool{false, true} {
		a := r.buildExchange(sendOptions{to: HostIdentity{Region: "r"}, changesOnly: changesOnly})
		if a.Revision != 7 || a.Roster != 9 {
			t.Errorf("changes only %v: revision %d, roster %d", changesOnly, a.Revision, a.Roster)
		}
		if digests := len(a.Digests) > 0; digests == changesOnly {
			t.Errorf("changes only %v: %d bytes of digests", changesOnly, len(a.Digests))
		}
	}
}
