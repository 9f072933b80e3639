package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
)

// evacuatingOwners know of an evacuation that the host hasn't learned of.
type evacuatingOwners struct {
	stubOwners
	domain string
	asked  int // calls for endpoints of that domain
}

func (o *evacuatingOwners) Enqueue(ctx context.Context, spec *config.Endpoint, a owner.EnqueueArgs) (owner.EnqueueReply, error) {
	if spec.Domain == o.domain {
		o.asked++
		return owner.EnqueueReply{Code: result.Evacuated, Retry: 2000}, nil
	}
	return o.stubOwners.Enqueue(ctx, spec, a)
}

func (o *evacuatingOwners) Reserve(ctx context.Context, spec *config.Endpoint, a owner.ReserveArgs) (owner.ReserveReply, error) {
	if spec.Domain == o.domain {
		o.asked++
		return owner.ReserveReply{Code: result.Evacuated, Retry: 2000}, nil
	}
	return o.stubOwners.Reserve(ctx, spec, a)
}

// TestEmptiedMany checks that a request reaches the one pair in another failure domain
// after few asks, although the owners of many engines of its own domain refuse because it
// is being evacuated, which the host hasn't learned yet. If each of these refusals counted as
// an ask, they would use up all of the request's asks.
func TestEmptiedMany(t *testing.T) {
	const prefills, decodes, maxAsked = 15, 49, 4
	synctest.Test(t, func(t *testing.T) {
		s := &config.Settings{Host: "h", Domain: "a", Region: "r"}
		s.SetDefaults()
		b := blackboard.New(s)
		if _, err := b.Config.Offer(1, []byte(twoDomains)); err != nil {
			t.Fatal(err)
		}
		roster := &config.RosterList{Revision: 1}
		add := func(domain string, role config.Role) {
			n := len(roster.Endpoints)
			roster.Endpoints = append(roster.Endpoints, config.Endpoint{Name: fmt.Sprintf("%s-%d", role, n), Address: fmt.Sprintf("10.0.0.%d:1", n),
				Domain: domain, Pool: "p", Role: role, Model: "m", Version: "1"})
		}
		for range prefills {
			add("a", config.Prefill)
		}
		for range decodes {
			add("a", config.Decode)
		}
		add("b", config.Prefill)
		add("b", config.Decode)
		if _, err := b.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
			t.Fatal(err)
		}
		v := b.Config.View()
		b.Endpoints.ApplyView(v)
		owners := &evacuatingOwners{domain: "a"}
		e := New(b, endpoint.NewClient(nil, nil), owners, report.NewRecorder(), zap.NewNop())
		j := promptedJob(e, v, defaultTeam)
		j.reply = &passthrough{}
		p, err := e.place(t.Context(), j)
		if err != nil || p.prefillSpec.Domain != "b" || p.decodeSpec.Domain != "b" {
			t.Fatalf("%+v, %v; %d asks in the evacuated domain", p, err, owners.asked)
		}
		if owners.asked > maxAsked {
			t.Errorf("%d asks in the evacuated domain, want at most %d", owners.asked, maxAsked)
		}
	})
}
