package owner

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/route"
)

// pairPeers forwards the calls of one owner to another.
type pairPeers struct{ other *Owner }

func (p pairPeers) Claims(context.Context, blackboard.Host, []request.Attempt) ([]bool, error) {
	return nil, nil
}

func (p pairPeers) Handover(ctx context.Context, _ blackboard.Host, h Handover) error {
	return p.other.AcceptHandover(ctx, h)
}

func (p pairPeers) Inherit(_ context.Context, _ blackboard.Host, endpoint uint32) (Handover, error) {
	return p.other.Reservations(endpoint), nil
}

func (p pairPeers) ReceiveLimit(*config.Endpoint, pace.Report)         {}
func (p pairPeers) ReceivePeerLimit(*config.Endpoint, pace.WireReport) {}

func (p pairPeers) Vote(_ context.Context, _ blackboard.Host, a VoteArgs) (VoteReply, error) {
	return p.other.Permits.Vote(a), nil
}

const poolDocument = `{"failure_domains": [{"name": "d", "region": "r"}], "targets": {"ttft_ms": 900, "tpot_ms": 10},
"models": [{"name": "m", "version": "1", "max_tokens": 90000, "kv_bytes_per_token": 1}],
"pools": [{"name": "p", "memory_tokens": 90000, "slots": 64, "link_bytes_per_second": 1000000000}],
"routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

// testOwner returns the owner of a host that knows one other host.
func testOwner(t *testing.T, name, other string) *Owner {
	t.Helper()
	s := &config.Settings{Host: name, Domain: "d", Region: "r", Peers: "127.0.0.1:1"}
	s.SetDefaults()
	b := blackboard.New(s)
	if _, err := b.Config.Offer(1, []byte(poolDocument)); err != nil {
		t.Fatal(err)
	}
	row := config.Endpoint{Name: "e", Address: "127.0.0.1:9", Domain: "d", Pool: "p", Role: config.Decode}
	if _, err := b.Config.OfferRoster((&config.RosterList{Revision: 1, Endpoints: []config.Endpoint{row}}).Roster(), time.Now()); err != nil {
		t.Fatal(err)
	}
	b.Endpoints.ApplyView(b.Config.View())
	b.Hosts.Learn(blackboard.Host{Name: other, Number: request.HostNumber(other), Domain: "d", Region: "r", Peers: "127.0.0.1:2",
		Incarnation: 1, Heartbeat: 1}, at(0))
	b.Hosts.ResetSilence(at(0).AddDate(100, 0, 0))
	return New(b, endpoint.NewClient(nil, nil), zap.NewNop())
}

// TestInherit checks that a new owner of an engine that allocates memory while it decodes gets
// all reservations of the previous owner, and none that has ended since.
func TestInherit(t *testing.T) {
	number := config.NameNumber("e")
	cases := []struct {
		name   string
		known  bool // the previous owner has loaded the endpoint's list
		ended  bool // one request ended before the rows arrive
		pushed bool // the previous owner hands over; otherwise the new one asks
		rows   int
	}{
		{"asked for", true, false, false, 2},
		{"asked for from an owner that has loaded no list", false, false, false, 2},
		{"handed over", true, false, true, 2},
		{"handed over after an end", true, true, true, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			before, after := testOwner(t, "a", "b"), testOwner(t, "b", "a")
			before.SetPeers(pairPeers{after})
			after.SetPeers(pairPeers{before})
			v := before.board.Config.View()
			old, fresh := newScheduler(v, v.Endpoint("e"), 1, at(0)), newScheduler(v, v.Endpoint("e"), 1, at(0))
			before.schedulers[number], after.schedulers[number] = old, fresh
			old.ready, fresh.ready = tc.known, tc.pushed
			for n := range 2 {
				if _, err := old.reserve(at(0), growingArgs(n, 4_000, 500, 0)); err != nil {
					t.Fatal(err)
				}
			}
			if tc.ended {
				fresh.release(at(0), Release{Attempt: attempt(1), Endpoint: number, Outcome: Done})
			}
			if tc.pushed {
				before.sendHandover(context.Background(), blackboard.Host{}, old, at(0))
			} else if inherited := after.inherit(context.Background(), fresh); inherited != tc.known {
				t.Errorf("inherited %v, want %v", inherited, tc.known)
			}
			if n := fresh.ledger.Len(); n != tc.rows {
				t.Errorf("%d rows, want %d", n, tc.rows)
			}
		})
	}
}

// TestRoleChanged checks that an endpoint that was ordered into another role is announced as
// usable as soon as its registration shows the new role. It must not take a request to trigger
// this: the last digest keeps all requests away.
func TestRoleChanged(t *testing.T) {
	for _, to := range []config.Role{config.Prefill, config.Decode} {
		t.Run(string(to), func(t *testing.T) {
			from := config.Decode
			if to == config.Decode {
				from = config.Prefill
			}
			o := testOwner(t, "b", "a")
			o.board.Hosts.SetRound(time.Second, time.Now())
			offer := func(revision config.Position, role config.Role) {
				row := config.Endpoint{Name: "e", Address: "127.0.0.1:9", Domain: "d", Pool: "p", Role: role}
				if _, err := o.board.Config.OfferRoster((&config.RosterList{Revision: revision, Endpoints: []config.Endpoint{row}}).Roster(), time.Now()); err != nil {
					t.Fatal(err)
				}
				o.board.Endpoints.ApplyView(o.board.Config.View())
			}
			offer(2, from)
			now := time.Now()
			v := o.board.Config.View()
			if h, ok := Of(o.board, v, v.Endpoint("e"), now); !ok || h.Number != o.board.Number {
				t.Fatal("the other host owns it")
			}
			o.adopt(v, now)
			o.markRoleChanging(config.NameNumber("e"), now.Add(time.Minute))
			offer(3, to)
			o.adopt(o.board.Config.View(), now.Add(time.Second))
			for _, d := range o.Digests(now.Add(time.Second)) {
				if d.Flags != 0 {
					t.Errorf("announced with flags %d", d.Flags)
				}
			}
			if to == config.Prefill && len(o.Digests(now.Add(time.Second))) == 0 {
				t.Error("no digest of the endpoint")
			}
			o.board.Endpoints.Read(func(fleet *route.Fleet) {
				for s := range fleet.All() {
					if s.Digest.Flags != 0 {
						t.Errorf("this host still has flags %d of the previous role", s.Digest.Flags)
					}
				}
			})
		})
	}
}
