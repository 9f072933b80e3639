package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/examples"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// evacuationOwner returns an owner with one engine for each letter of roles, spread over the domains
// d, e and f, and a function that publishes which domains are evacuated.
func evacuationOwner(t *testing.T, roles string) (*Owner, *orderEngine, func(domains ...string)) {
	settings := &config.Settings{Host: "h", Domain: "d", Region: "r"}
	settings.SetDefaults()
	eng := new(orderEngine)
	o := New(blackboard.New(settings), eng, zap.NewNop())
	if _, err := o.board.Config.Offer(2, []byte(balanceDocument)); err != nil {
		t.Fatal(err)
	}
	revision := uint64(5)
	publish := func(domains ...string) {
		revision++
		r := rosterOf(revision, roles)
		for _, d := range domains {
			r.Evacuated = append(r.Evacuated, config.Evacuation{Domain: d, Revision: config.Position(revision)})
		}
		if _, err := o.board.Config.OfferRoster(r.Roster(), time.Now()); err != nil {
			t.Fatal(err)
		}
		o.board.Endpoints.ApplyView(o.board.Config.View())
		o.RefuseEvacuated(o.board.Config.View())
	}
	publish()
	return o, eng, publish
}

func (e *orderEngine) Requests(context.Context, string) ([]endpoint.Running, error) { return nil, nil }

// TestEmptyQueue queues requests at two engines and evacuates the failure domain of one. The
// requests queued there must be refused at once, as must later ones; the others keep waiting.
func TestEmptyQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _, publish := evacuationOwner(t, "ppdddd")
		const waits = 1500 // ms
		enqueue := func(name string, n int) EnqueueReply {
			reply, err := o.Enqueue(t.Context(), EnqueueArgs{Attempt: attempt(n), Endpoint: route.Number(name), Tokens: 10, Slack: 4000, NotYet: waits})
			if err != nil {
				t.Error(err)
			}
			return reply
		}
		replies := map[string]chan EnqueueReply{"r00": make(chan EnqueueReply, 1), "r01": make(chan EnqueueReply, 1)}
		for name, c := range replies {
			go func() { c <- enqueue(name, len(name)+int(name[2])) }()
		}
		time.Sleep(100 * time.Millisecond)
		publish("d")
		began := time.Now()
		if got := <-replies["r00"]; got.Code != result.Evacuated || got.Retry == 0 || time.Since(began) > 0 {
			t.Errorf("a request queued at the evacuated engine gets %+v after %v", got, time.Since(began))
		}
		if got := enqueue("r00", 9); got.Code != result.Evacuated || time.Since(began) > 0 {
			t.Errorf("a later request there gets %+v after %v", got, time.Since(began))
		}
		if got := <-replies["r01"]; got.Code != result.OK || time.Since(began) < time.Second {
			t.Errorf("a request queued elsewhere gets %+v after %v", got, time.Since(began))
		}
		publish()
		if got := enqueue("r00", 10); got.Code != result.OK {
			t.Errorf("after the evacuation is revoked it answers %+v", got)
		}
	})
}

// TestEmptyReserve requests memory before, during and after the evacuation of an engine's failure
// domain. Reservations made before it stay valid and are released as usual.
func TestEmptyReserve(t *testing.T) {
	o, _, publish := evacuationOwner(t, "ppdddd")
	number := route.Number("r03")
	reserve := func(n int) result.Code {
		a := growingArgs(n, 100, 0, 500)
		a.Endpoint = number
		reply, err := o.Reserve(t.Context(), a)
		if err != nil {
			t.Fatal(err)
		}
		return reply.Code
	}
	if code := reserve(1); code != result.OK {
		t.Fatalf("code %v before", code)
	}
	publish("d")
	if code := reserve(2); code != result.Evacuated {
		t.Errorf("code %v during the evacuation, want %v", code, result.Evacuated)
	}
	if h := o.Reservations(number); len(h.Rows) != 1 {
		t.Errorf("%d reservations are handed over, want 1", len(h.Rows))
	}
	o.Release([]Release{{Attempt: attempt(1), Endpoint: number, Outcome: Done}})
	if h := o.Reservations(number); len(h.Rows) != 0 {
		t.Errorf("%d reservations are left", len(h.Rows))
	}
	publish()
	if code := reserve(3); code != result.OK {
		t.Errorf("code %v after the evacuation is revoked", code)
	}
}

// TestEmptyOrders evacuates failure domains that hold prefill or decode engines, and checks
// when this host, whose domain is d, sends orders to rebalance roles.
func TestEmptyOrders(t *testing.T) {
	cases := []struct {
		name      string
		roles     string
		evacuated []string
		early     bool          // evacuated from the beginning, before this host may order
		within    time.Duration // limit for the first order; 0: no order in ten seconds
		orders    int
		to        config.Role
	}{
		{"nothing is evacuated", "pdd" + "pdd" + "pdd", nil, false, 0, 0, ""},
		{"all prefill engines are evacuated", "dpd" + "dpd" + "dpd", []string{"e"}, false, time.Second, 1, config.Prefill},
		{"some prefill engines are evacuated", "dpp" + "dpd" + "dpd", []string{"e"}, false, 4 * time.Second, 1, config.Prefill},
		{"the own domain is evacuated and has a prefill surplus", "ppp" + "ppd" + "ppd", []string{"d"}, true, 0, 0, ""},
		{"prefill surplus in the own domain", "ppp" + "ppd" + "ppd", nil, true, time.Second, 2, config.Decode},
		{"all decode engines are evacuated", "pdd" + "pdd" + "pdd", []string{"e", "f"}, false, time.Second, 1, config.Decode},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o, eng, publish := evacuationOwner(t, tc.roles)
				var first time.Duration
				began := time.Now().Add(6 * time.Second)
				balancer := o.Balancer()
				for i := range 32 {
					if i == 12 && !tc.early || i == 0 && tc.early {
						publish(tc.evacuated...)
					}
					o.board.Config.RecordPlatformAnswer(time.Now())
					o.board.Pause.Check()
					if work, _ := balancer.Next(time.Now()); work != nil {
						work(t.Context())
					}
					if i < 12 && !tc.early && len(eng.orders) > 0 {
						eng.orders = nil // not under test: orders before the evacuation
					}
					if first == 0 && len(eng.orders) > 0 {
						first = time.Since(began) + 1
					}
					time.Sleep(balanceInterval)
				}
				if (first == 0) != (tc.within == 0) || first > tc.within+1 || len(eng.orders) != tc.orders {
					t.Fatalf("%d orders, the first after %v; want %d within %v", len(eng.orders), first, tc.orders, tc.within)
				}
				for _, order := range eng.orders {
					if order.Role != string(tc.to) {
						t.Errorf("ordered to %s, want %s", order.Role, tc.to)
					}
				}
			})
		})
	}
}

// TestEmptyNoOrder checks that no orders are sent to endpoints of an evacuated failure domain,
// neither to change the role nor to reach the state that the document asks for.
func TestEmptyNoOrder(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		o, eng, publish := evacuationOwner(t, "ppdddd")
		if evacuated {
			publish("d")
		}
		v := o.board.Config.View()
		o.order(t.Context(), v.Pools["p"], v.Endpoint("r00"), config.Decode, time.Now())
		if n := len(eng.orders); (n == 0) != evacuated {
			t.Errorf("evacuated %v: %d orders to change the role", evacuated, n)
		}

		eng.orders = nil
		if _, err := o.board.Config.Offer(3, examples.Domaskra); err != nil {
			t.Fatal(err)
		}
		spec := o.board.Config.View().Endpoint("docket-decode-1")
		roster := &config.RosterList{Revision: 20}
		if evacuated {
			roster.Evacuated = []config.Evacuation{{Domain: spec.Domain, Revision: 20}}
		}
		if _, err := o.board.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
			t.Fatal(err)
		}
		v = o.board.Config.View()
		sched := newScheduler(v, v.Endpoint("docket-decode-1"), 1, time.Now())
		o.correctState(t.Context(), sched, &endpoint.State{Role: "other"})
		if n := len(eng.orders); (n == 0) != evacuated {
			t.Errorf("evacuated %v: %d orders to reach the state", evacuated, n)
		}
	}
}
