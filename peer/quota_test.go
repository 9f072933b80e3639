package peer

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/quota"
	"github.com/embercove/embercove/request"
)

const quotaDocument = `{"failure_domains": [{"name": "d", "region": "r"}, {"name": "e", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"teams": [{"name": "red", "quota": {"rate": 100, "burst": 100}}, {"name": "free"}]}`

// quotaHost returns a host of domain d that knows eleven others there.
func quotaHost(t *testing.T, name string) *Router {
	s := &config.Settings{Host: name, Domain: "d", Region: "r", Peers: "127.0.0.1:1"}
	s.SetDefaults()
	b := blackboard.New(s)
	if _, err := b.Config.Offer(7, []byte(quotaDocument)); err != nil {
		t.Fatal(err)
	}
	for i := range 12 {
		other := fmt.Sprint("h", i)
		b.Hosts.Learn(blackboard.Host{Name: other, Number: request.HostNumber(other), Domain: "d", Region: "r", Incarnation: 1, Heartbeat: 1, Peers: "127.0.0.1:2"}, time.Now())
	}
	return NewRouter(b, owner.New(b, endpoint.NewClient(nil, nil), zap.NewNop()), nil, zap.NewNop())
}

// TestSettle reports to each host of a failure domain what another domain admitted. Only the host
// that holds the team's limit may answer, and those that were called as if they held it.
func TestSettle(t *testing.T) {
	red, free := config.NameNumber("red"), config.NameNumber("free")
	args := &SettleArgs{Domain: "e", Rows: []SettleRow{{Team: red, Word: quota.Report{Holder: 9}}, {Team: free}, {Team: 77}}}
	answered := 0
	for i := range 12 {
		r := quotaHost(t, fmt.Sprint("h", i))
		s := &server{r: r}
		var reply SettleReply
		if err := s.Settle(args, &reply); err != nil {
			t.Fatal(err)
		}
		answered += len(reply.Rows)
		if len(reply.Rows) > 0 {
			continue
		}
		var drawn DrawReply
		if err := s.Draw(&DrawArgs{Team: red, Units: 1}, &drawn); err != nil || !drawn.Known {
			t.Fatal(err, drawn)
		}
		reply = SettleReply{}
		if err := s.Settle(args, &reply); err != nil || len(reply.Rows) != 1 || reply.Rows[0].Team != red {
			t.Errorf("host %d, called as the holder, answers %+v, %v", i, reply, err)
		}
	}
	if answered != 1 {
		t.Errorf("%d of 12 hosts answered, want only the holder", answered)
	}
}

// TestDrawUnknown asks a host for teams that are unknown to it or have no quota in its revision.
// It must neither decide nor open an account.
func TestDrawUnknown(t *testing.T) {
	r := quotaHost(t, "h0")
	for _, team := range []uint32{config.NameNumber("free"), 77} {
		var reply DrawReply
		if err := (&server{r: r}).Draw(&DrawArgs{Team: team, Units: 5}, &reply); err != nil || reply.Known || r.board.Quotas.Has(team) {
			t.Errorf("team %d: %+v, %v", team, reply, err)
		}
	}
}
