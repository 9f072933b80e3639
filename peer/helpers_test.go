package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
)

// newsDocument is a document with one route.
const newsDocument = `{"failure_domains": [{"name": "d", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"pools": [{"name": "p", "slots": 4}], "routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

// testRouter returns the router of a host in failure domain d. With a nil dial it can't reach any
// host.
func testRouter(name, peers string, bound time.Duration, dial Dial) *Router {
	s := &config.Settings{Host: name, Domain: "d", Region: "r", Peers: peers, ChangeMillis: float64(bound.Milliseconds())}
	s.SetDefaults()
	if dial == nil {
		dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	}
	b := blackboard.New(s)
	return NewRouter(b, owner.New(b, endpoint.NewClient(nil, nil), zap.NewNop()), dial, zap.NewNop())
}

// informedRouter returns the router of a host that has revision 1 and roster 1.
func informedRouter(t *testing.T, bound time.Duration) *Router {
	t.Helper()
	r := testRouter("h", "", bound, nil)
	r.Offer(1, []byte(newsDocument), "test")
	r.OfferRoster((&config.RosterList{Revision: 1}).Roster(), "test")
	return r
}
