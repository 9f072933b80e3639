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

// rosterOf returns a roster of runners, one for each letter of roles: p for prefill, d for
// decode, upper case for leaving. Their domains are d, e and f in turn.
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

// orderEngine records orders and answers them with an error.
type orderEngine struct {
	endpoint.Engine
	err    error
	orders []endpoint.Order
}

func (e *orderEngine) Order(_ context.Context, _ string, o endpoint.Order) error {
	e.orders = append(e.orders, o)
	return e.err
}

// TestBalanceOrders checks under which conditions an owner sends orders, and that its fences
// exceed every fence that other hosts reported or a runner has seen.
func TestBalanceOrders(t *testing.T) {
	refused := &endpoint.CallError{Status: 412, Cause: errors.New("fence")}
	cases := []struct {
		name        string
		settled     time.Duration // since the members changed
		unconfirmed bool
		doubted     bool   // a host becomes unconfirmed between the two checks of the members
		joining     int    // hosts that join between the checks
		joinDomain  string // their domain
		gap         bool   // no checks in between
		silent      bool   // the platform has not answered
		seeds       int    // in the settings
		gone        int    // of four of the five other hosts
		heardFence  uint64
		err         error
		orders      int
	}{
		{name: "settled", settled: settledAfter, orders: 1},
		{name: "members have just changed", settled: settledAfter / 2},
		{name: "a host joined another domain, long after the last change", settled: minTenure, joining: 1, joinDomain: "e", orders: 1},
		{name: "a host joined another domain, soon after the last change", settled: settledAfter, joining: 1, joinDomain: "e"},
		{name: "hosts joined, one of which orders this runner", settled: minTenure, joining: 200, joinDomain: "d"},
		{name: "no checks for a while", settled: 2 * minTenure, gap: true, joining: 1, joinDomain: "e"},
		{name: "a host becomes unconfirmed", settled: settledAfter, doubted: true, orders: 1},
		{name: "leaving", settled: settledAfter, unconfirmed: true},
		{name: "four of six hosts are left", settled: settledAfter, gone: 2, orders: 1},
		{name: "half of the hosts are unreachable", settled: settledAfter, gone: 3},
		{name: "most hosts are unreachable", settled: settledAfter, gone: 4},
		{name: "the seeds were never contacted", settled: settledAfter, seeds: 12},
		{name: "cut off from the platform", settled: settledAfter, silent: true},
		{name: "another host's clock is ahead", settled: settledAfter, heardFence: 1 << 60, orders: 1},
		{name: "the runner has seen a higher fence", settled: settledAfter, err: refused, orders: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := testOwner(t, "a", "b")
			eng := &orderEngine{err: tc.err}
			o.engine, o.log = eng, zap.NewNop()
			o.board.Config.Offer(2, []byte(balanceDocument))
			o.board.Config.OfferRoster(rosterOf(9, "ppdpddpdd").Roster(), time.Now())
			o.board.Endpoints.ApplyView(o.board.Config.View())
			now := time.Now()
			for i := range 4 {
				h := blackboard.Host{Name: fmt.Sprint("other", i), Number: uint32(i + 1), Domain: "e", Region: "r", Incarnation: 1, Heartbeat: 1}
				o.board.Hosts.Learn(h, now)
				if i < tc.gone {
					o.board.Hosts.Suspect(h.Number, h.Incarnation, h.Heartbeat, now)
				}
			}
			o.board.Settings.Seeds = make([]string, tc.seeds)
			if !tc.silent {
				o.board.Config.RecordPlatformAnswer(now)
			}
			if tc.unconfirmed {
				o.board.SetLeaving()
			}
			o.ObserveFence(tc.heardFence)
			v := o.board.Config.View()
			o.canOrder(v, now.Add(-tc.settled))
			for ago := tc.settled; ago > 0; ago -= balanceInterval {
				if ago == tc.settled || !tc.gap {
					canOrderNow(o, v.Endpoint("r00"), now.Add(-ago))
				}
			}
			if tc.doubted {
				o.board.Hosts.MarkUnconfirmed(1)
			}
			for i := range tc.joining {
				h := blackboard.Host{Name: fmt.Sprint("new", i), Number: uint32(100 + i), Domain: tc.joinDomain, Region: "r", Incarnation: 1, Heartbeat: 1}
				o.board.Hosts.Learn(h, now)
			}
			if o.canOrder(v, now) && canOrderNow(o, v.Endpoint("r00"), now) {
				o.order(context.Background(), v.Pools["p"], v.Endpoint("r00"), config.Decode, now)
				o.order(context.Background(), v.Pools["p"], v.Endpoint("r00"), config.Decode, now) // too soon
			}
			if len(eng.orders) != tc.orders {
				t.Fatalf("%d orders, want %d", len(eng.orders), tc.orders)
			}
			if tc.orders > 0 && eng.orders[0].Fence <= tc.heardFence {
				t.Errorf("fence %d is not above %d", eng.orders[0].Fence, tc.heardFence)
			}
			if tc.err != nil && o.Fence() < eng.orders[0].Fence+fenceJump {
				t.Errorf("fence %d after a refusal of %d", o.Fence(), eng.orders[0].Fence)
			}
		})
	}
}

// TestOrderableAfterLapse lets registrations expire and be dropped. Dropping keeps the roster's
// revision, so a cache keyed by the revision would still return endpoints of the old view.
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
	afterExpiry := now.Add(config.ExpiryGrace + time.Millisecond)
	o.board.Config.DropExpired(afterExpiry)
	o.balance.cache.validAt = afterExpiry // as if it had been checked continuously
	v := o.board.Config.View()
	for _, e := range o.orderable(v, afterExpiry) {
		if v.Endpoint(e.Name) != e {
			t.Fatalf("%s is not from the current view; before the drop %v", e.Name, before)
		}
	}
}

// canOrderNow reports whether the owner may order one endpoint.
func canOrderNow(o *Owner, e *config.Endpoint, now time.Time) bool {
	number := route.Number(e.Name)
	return o.updateTenure(o.board.Hosts.Candidates(e.Domain, now), number, now) == o.board.Number && o.hasTenure(number, now)
}
