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

// emptyOwner returns an owner of nine engines, three in each of the domains d, e and f,
// and what publishes which of these are emptied.
func emptyOwner(t *testing.T, roles string) (*Owner, *orderEngine, func(domains ...string)) {
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
		o.board.Endpoints.Fit(o.board.Config.View())
		o.Empty(o.board.Config.View())
	}
	publish()
	return o, eng, publish
}

func (e *orderEngine) Requests(context.Context, string) ([]endpoint.Running, error) { return nil, nil }

// TestEmptyQueue has requests wait at two engines, of which one's failure domain is
// emptied: those that wait there are refused at once, the others wait on, and what asks
// there later is refused.
func TestEmptyQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _, publish := emptyOwner(t, "ppdddd")
		const waits = 1500 // ms
		ask := func(name string, n int) EnqueueReply {
			reply, err := o.Enqueue(t.Context(), EnqueueArgs{Attempt: attempt(n), Endpoint: route.Number(name), Tokens: 10, Slack: 4000, NotYet: waits})
			if err != nil {
				t.Error(err)
			}
			return reply
		}
		replies := map[string]chan EnqueueReply{"r00": make(chan EnqueueReply, 1), "r01": make(chan EnqueueReply, 1)}
		for name, c := range replies {
			go func() { c <- ask(name, len(name)+int(name[2])) }()
		}
		time.Sleep(100 * time.Millisecond)
		publish("d")
		began := time.Now()
		if got := <-replies["r00"]; got.Code != result.Evacuated || got.Retry == 0 || time.Since(began) > 0 {
			t.Errorf("what waits at the engine that is emptied gets %+v after %v", got, time.Since(began))
		}
		if got := ask("r00", 9); got.Code != result.Evacuated || time.Since(began) > 0 {
			t.Errorf("what asks there later gets %+v after %v", got, time.Since(began))
		}
		if got := <-replies["r01"]; got.Code != result.OK || time.Since(began) < time.Second {
			t.Errorf("what waits elsewhere gets %+v after %v", got, time.Since(began))
		}
		publish()
		if got := ask("r00", 10); got.Code != result.OK {
			t.Errorf("taken back, it answers %+v", got)
		}
	})
}

// TestEmptyReserve asks for memory before, while and after an engine's failure domain is
// emptied. What holds memory goes on and gives it back as ever.
func TestEmptyReserve(t *testing.T) {
	o, _, publish := emptyOwner(t, "ppdddd")
	number := route.Number("r03")
	ask := func(n int) result.Code {
		a := growingArgs(n, 100, 0, 500)
		a.Endpoint = number
		reply, err := o.Reserve(t.Context(), a)
		if err != nil {
			t.Fatal(err)
		}
		return reply.Code
	}
	if code := ask(1); code != result.OK {
		t.Fatalf("code %v before", code)
	}
	publish("d")
	if code := ask(2); code != result.Evacuated {
		t.Errorf("code %v while it is emptied, want %v", code, result.Evacuated)
	}
	if h := o.Tell(number); len(h.Rows) != 1 {
		t.Errorf("%d reservations are handed over, want the one", len(h.Rows))
	}
	o.Release([]Release{{Attempt: attempt(1), Endpoint: number, Outcome: Done}})
	if h := o.Tell(number); len(h.Rows) != 0 {
		t.Errorf("%d reservations are left", len(h.Rows))
	}
	publish()
	if code := ask(3); code != result.OK {
		t.Errorf("code %v once it is taken back", code)
	}
}

// TestEmptyOrders has the failure domain emptied, or taken back, that holds those that
// read, and states when this host, whose domain is d, orders.
func TestEmptyOrders(t *testing.T) {
	cases := []struct {
		name    string
		roles   string
		emptied []string
		early   bool          // from the beginning, before this host may order
		within  time.Duration // of the first order; 0: none in ten seconds
		orders  int
		to      config.Role
	}{
		{"nothing is emptied", "pdd" + "pdd" + "pdd", nil, false, 0, 0, ""},
		{"all that read are emptied", "dpd" + "dpd" + "dpd", []string{"e"}, false, time.Second, 1, config.Prefill},
		{"some that read are emptied", "dpp" + "dpd" + "dpd", []string{"e"}, false, 4 * time.Second, 1, config.Prefill},
		{"the own domain is emptied, and too many read there", "ppp" + "ppd" + "ppd", []string{"d"}, true, 0, 0, ""},
		{"too many read in the own domain", "ppp" + "ppd" + "ppd", nil, true, time.Second, 2, config.Decode},
		{"all that write are emptied", "pdd" + "pdd" + "pdd", []string{"e", "f"}, false, time.Second, 1, config.Decode},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o, eng, publish := emptyOwner(t, tc.roles)
				var first time.Duration
				began := time.Now().Add(6 * time.Second)
				balancer := o.Balancer()
				for i := range 32 {
					if i == 12 && !tc.early || i == 0 && tc.early {
						publish(tc.emptied...)
					}
					o.board.Config.Heard(time.Now())
					o.board.Pause.Check()
					if work, _ := balancer.Next(time.Now()); work != nil {
						work(t.Context())
					}
					if i < 12 && !tc.early && len(eng.orders) > 0 {
						eng.orders = nil // as it came: not what is looked at
					}
					if first == 0 && len(eng.orders) > 0 {
						first = time.Since(began) + 1
					}
					time.Sleep(balanceEvery)
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

// TestEmptyNoOrder checks that an endpoint of a failure domain that is being emptied is
// ordered into nothing, neither into a role nor into the state that a document states.
func TestEmptyNoOrder(t *testing.T) {
	for _, emptied := range []bool{false, true} {
		o, eng, publish := emptyOwner(t, "ppdddd")
		if emptied {
			publish("d")
		}
		v := o.board.Config.View()
		o.order(t.Context(), v.Pools["p"], v.Endpoint("r00"), config.Decode, time.Now())
		if n := len(eng.orders); (n == 0) != emptied {
			t.Errorf("emptied %v: %d orders into a role", emptied, n)
		}

		eng.orders = nil
		if _, err := o.board.Config.Offer(3, examples.Domaskra); err != nil {
			t.Fatal(err)
		}
		spec := o.board.Config.View().Endpoint("docket-decode-1")
		roster := &config.RosterList{Revision: 20}
		if emptied {
			roster.Evacuated = []config.Evacuation{{Domain: spec.Domain, Revision: 20}}
		}
		if _, err := o.board.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
			t.Fatal(err)
		}
		v = o.board.Config.View()
		b := newBook(v, v.Endpoint("docket-decode-1"), 1, time.Now())
		o.correct(t.Context(), b, &endpoint.State{Role: "other"})
		if n := len(eng.orders); (n == 0) != emptied {
			t.Errorf("emptied %v: %d orders into a state", emptied, n)
		}
	}
}
