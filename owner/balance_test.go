package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/route"
)

// rosterOf returns a roster of runners: one letter for each, p for prefill, d
// for decode, upper case for one that is leaving; domains d, e and f in turn.
func rosterOf(revision uint64, roles string) *config.RosterList {
	r := &config.RosterList{Revision: config.Position(revision)}
	for i, c := range roles {
		e := config.Endpoint{Name: fmt.Sprintf("r%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: string("def"[i%3]),
			Pool: "p", Role: config.Decode, Leaving: c == 'P' || c == 'D'}
		if c == 'p' || c == 'P' {
			e.Role = config.Prefill
		}
		r.Endpoints = append(r.Endpoints, e)
	}
	return r
}

const balanceDocument = `{"failure_domains": [{"name": "d", "region": "r"}, {"name": "e", "region": "r"}, {"name": "f", "region": "r"}],
"targets": {"ttft_ms": 900, "tpot_ms": 10}, "models": [{"name": "m", "version": "1", "max_tokens": 90000, "kv_bytes_per_token": 1}],
"pools": [{"name": "p", "memory_tokens": 90000, "slots": 64, "link_bytes_per_second": 1000000000, "role_switch_ms": 6000}],
"routes": [{"name": "r", "host": "h", "path_prefix": "/", "pools": [{"pool": "p", "weight": 1}]}]}`

// orderEngine takes orders and answers them with an error.
type orderEngine struct {
	endpoint.Engine
	err    error
	orders []endpoint.Order
}

func (e *orderEngine) Order(_ context.Context, _ string, o endpoint.Order) error {
	e.orders = append(e.orders, o)
	return e.err
}

// TestBalanceOrders checks when an owner orders at all, and that its fences
// rise above any that it has heard of or met.
func TestBalanceOrders(t *testing.T) {
	refused := &endpoint.CallError{Status: 412, Cause: errors.New("fence")}
	cases := []struct {
		name    string
		settled time.Duration // since the members changed
		leaving bool
		doubted bool   // between the two looks at the members
		come    int    // hosts that came between them
		into    string // their domain
		gap     bool   // nothing was looked at between them
		silent  bool   // the platform was not heard of
		seeds   int    // that the settings name
		gone    int    // of four of the five other hosts
		heard   uint64
		err     error
		orders  int
	}{
		{name: "settled", settled: settledAfter, orders: 1},
		{name: "members have just changed", settled: settledAfter / 2},
		{name: "a host came in another domain, long after the last change", settled: steadyAfter, come: 1, into: "e", orders: 1},
		{name: "a host came in another domain, soon after the last change", settled: settledAfter, come: 1, into: "e"},
		{name: "hosts came of which one orders this runner", settled: steadyAfter, come: 200, into: "d"},
		{name: "nobody looked for a while", settled: 2 * steadyAfter, gap: true, come: 1, into: "e"},
		{name: "a host is doubted meanwhile", settled: settledAfter, doubted: true, orders: 1},
		{name: "leaving", settled: settledAfter, leaving: true},
		{name: "four of six hosts are left", settled: settledAfter, gone: 2, orders: 1},
		{name: "half of the hosts are out of reach", settled: settledAfter, gone: 3},
		{name: "most hosts are out of reach", settled: settledAfter, gone: 4},
		{name: "the seeds were never met", settled: settledAfter, seeds: 12},
		{name: "cut off from the platform", settled: settledAfter, silent: true},
		{name: "another host's clock is ahead", settled: settledAfter, heard: 1 << 60, orders: 1},
		{name: "the runner has seen a higher fence", settled: settledAfter, err: refused, orders: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := testOwner(t, "a", "b")
			eng := &orderEngine{err: tc.err}
			o.engine, o.log = eng, zap.NewNop()
			o.board.Config.Offer(2, []byte(balanceDocument))
			o.board.Config.OfferRoster(rosterOf(9, "ppdpddpdd").Roster(), time.Now())
			o.board.Endpoints.Fit(o.board.Config.View())
			now := time.Now()
			for i := range 4 {
				h := blackboard.Host{Name: fmt.Sprint("other", i), Number: uint32(i + 1), Domain: "e", Region: "r", Incarnation: 1, Beat: 1}
				o.board.Hosts.Learn(h, now)
				if i < tc.gone {
					o.board.Hosts.Accuse(h.Number, h.Incarnation, h.Beat, now)
				}
			}
			o.board.Settings.Seeds = make([]string, tc.seeds)
			if !tc.silent {
				o.board.Config.Heard(now)
			}
			if tc.leaving {
				o.board.SetLeaving()
			}
			o.SawFence(tc.heard)
			v := o.board.Config.View()
			o.mayOrder(v, now.Add(-tc.settled))
			for ago := tc.settled; ago > 0; ago -= balanceEvery {
				if ago == tc.settled || !tc.gap {
					mayOrderNow(o, v.Endpoint("r00"), now.Add(-ago))
				}
			}
			if tc.doubted {
				o.board.Hosts.Doubt(1)
			}
			for i := range tc.come {
				h := blackboard.Host{Name: fmt.Sprint("new", i), Number: uint32(100 + i), Domain: tc.into, Region: "r", Incarnation: 1, Beat: 1}
				o.board.Hosts.Learn(h, now)
			}
			if o.mayOrder(v, now) && mayOrderNow(o, v.Endpoint("r00"), now) {
				o.order(context.Background(), v.Pools["p"], v.Endpoint("r00"), config.Decode, now)
				o.order(context.Background(), v.Pools["p"], v.Endpoint("r00"), config.Decode, now) // too soon
			}
			if len(eng.orders) != tc.orders {
				t.Fatalf("%d orders, want %d", len(eng.orders), tc.orders)
			}
			if tc.orders > 0 && eng.orders[0].Fence <= tc.heard {
				t.Errorf("fence %d is not above %d", eng.orders[0].Fence, tc.heard)
			}
			if tc.err != nil && o.Fence() < eng.orders[0].Fence+fenceJump {
				t.Errorf("fence %d after a refusal of %d", o.Fence(), eng.orders[0].Fence)
			}
		})
	}
}

// TestOrderableAfterLapse has registrations lapse, and looks whom this host orders before
// and after they are dropped, which keeps the roster's revision.
func TestOrderableAfterLapse(t *testing.T) {
	o := testOwner(t, "a", "b")
	o.log = zap.NewNop()
	o.board.Config.Offer(2, []byte(balanceDocument))
	now := time.Now()
	roster := rosterOf(9, "ppdpddpdd")
	o.board.Config.OfferRoster(roster.Roster(), now)
	for i := range roster.Endpoints[:6] {
		roster.Endpoints[i].Lapsed = now
	}
	roster.Revision = 10
	o.board.Config.OfferRoster(roster.Roster(), now)
	before := o.orderable(o.board.Config.View(), now)
	later := now.Add(config.LapsedKept + time.Millisecond)
	o.board.Config.DropLapsed(later)
	o.balance.last.at = later // as if it had been looked at all the while
	v := o.board.Config.View()
	for _, e := range o.orderable(v, later) {
		if v.Endpoint(e.Name) != e {
			t.Fatalf("%s is not of the view; before the drop %v", e.Name, before)
		}
	}
}

// mayOrderNow asks whether the owner orders one endpoint.
func mayOrderNow(o *Owner, e *config.Endpoint, now time.Time) bool {
	number := route.Number(e.Name)
	return o.takesOrders(o.board.Hosts.Candidates(e.Domain, now), number, now) == o.board.Number && o.tenured(number, now)
}
