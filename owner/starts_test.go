package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/pace"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// coldOwner returns the owner of a host that knows no other hosts and has one cold endpoint.
func coldOwner(t testing.TB) *Owner {
	t.Helper()
	s := &config.Settings{Host: "h1", Domain: "d", Region: "r", Peers: "127.0.0.1:1", PauseMillis: 600_000} // no ticker runs here, so no gap may count as a pause
	s.SetDefaults()
	b := blackboard.New(s)
	if _, err := b.Config.Offer(1, []byte(poolDocument)); err != nil {
		t.Fatal(err)
	}
	o := New(b, endpoint.NewClient(nil, nil), zap.NewNop())
	row := config.Endpoint{Name: "e", Address: "127.0.0.1:9", Domain: "d", Pool: "p", Role: config.Decode, ColdPerSecond: 21, ColdMillis: 60_000}
	if _, err := o.board.Config.OfferRoster((&config.RosterList{Revision: 2, Endpoints: []config.Endpoint{row}}).Roster(), time.Now()); err != nil {
		t.Fatal(err)
	}
	o.board.Endpoints.ApplyView(o.board.Config.View())
	o.board.Endpoints.SetOwn(route.Number(row.Name), true)
	return o
}

// TestStartsWake checks that the only host of a fleet hands out no permits right after its start
// or after a pause, because votes that it gave before may still bind. It hands them out once those
// votes have expired.
func TestStartsWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := coldOwner(t)
		number := config.NameNumber("e")
		given := func() bool {
			o.Permits.tick(context.Background())
			reply, err := o.Permits.Acquire(PermitArgs{Endpoint: number})
			if err != nil {
				t.Fatal(err)
			}
			return reply.Given
		}
		if given() {
			t.Error("a permit was granted by a process that has just started")
		}
		time.Sleep(pace.BindingCold)
		if !given() {
			t.Error("no permit was granted by the only host")
		}
		o.Permits.Reset(time.Now())
		if given() {
			t.Error("a permit was granted right after a pause")
		}
		time.Sleep(pace.BindingCold)
		if !given() {
			t.Error("no permit was granted long after a pause")
		}
		if n, _ := o.Permits.Count(number); n != 1 {
			t.Errorf("%d permits counted since the pause, want 1", n)
		}
	})
}

// TestFirstAsks requests several permits at an endpoint that has just turned cold, while its first
// votes are under way. All requests must get the retry delay firstRoundDelay: one that gets
// maxRetryDelay instead avoids the endpoint for that long.
func TestFirstAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, other := coldOwner(t), coldOwner(t)
		o.board.Hosts.Learn(blackboard.Host{Name: "h2", Number: request.HostNumber("h2"), Domain: "d", Region: "r", Peers: "127.0.0.1:2",
			Incarnation: 1, Heartbeat: 1}, time.Now())
		o.board.Hosts.ResetSilence(time.Now().Add(time.Hour))
		o.SetPeers(slowPeers{pairPeers{other}})
		spec := o.board.Config.View().Endpoint("e")
		if !o.Permits.owns(o.board.Config.View(), spec, time.Now()) {
			t.Fatal("another host owns the endpoint")
		}
		for k := range 5 {
			reply, err := o.Permits.Acquire(PermitArgs{Endpoint: config.NameNumber("e"), Wait: 100})
			if err != nil || reply.Given || reply.InMillis != int(firstRoundDelay.Milliseconds()) {
				t.Errorf("call %d: %+v, %v, want a retry in %s", k, reply, err, firstRoundDelay)
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(voteInterval)
		if reply, _ := o.Permits.Acquire(PermitArgs{Endpoint: config.NameNumber("e")}); reply.InMillis != int(maxRetryDelay.Milliseconds()) {
			t.Errorf("%+v after a first round without votes, want a retry in %s", reply, maxRetryDelay)
		}
	})
}

// slowPeers answers after 20 ms.
type slowPeers struct{ pairPeers }

func (p slowPeers) Vote(ctx context.Context, h blackboard.Host, a VoteArgs) (VoteReply, error) {
	time.Sleep(20 * time.Millisecond)
	return p.pairPeers.Vote(ctx, h, a)
}

// downEngine fails state polls until it is back.
type downEngine struct {
	endpoint.Engine
	back bool
}

func (e *downEngine) State(context.Context, string) (*endpoint.State, error) {
	if !e.back {
		return nil, errors.New("refused")
	}
	return new(endpoint.State), nil
}

func (e *downEngine) Traits() endpoint.Traits { return endpoint.Traits{} }

// TestBackCold checks that an endpoint that was unreachable for its owner counts as cold for its
// cold start time, whatever its registration says: it may have restarted unnoticed.
func TestBackCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := coldOwner(t)
		engine := new(downEngine)
		o.engine = engine
		spec := *o.board.Config.View().Endpoint("e")
		spec.ColdUntil, spec.ColdStartMillis = time.Time{}, 3000
		sched := newScheduler(o.board.Config.View(), &spec, 1, time.Now())
		cold := func() bool { return sched.digest(time.Now(), true).Flags&route.FlagCold != 0 }
		for range downAfter {
			o.pollState(t.Context(), sched)
		}
		if cold() {
			t.Error("cold while it is down")
		}
		engine.back = true
		o.pollState(t.Context(), sched)
		if !cold() {
			t.Error("not cold right after it came back")
		}
		time.Sleep(3100 * time.Millisecond)
		o.pollState(t.Context(), sched)
		if cold() {
			t.Error("still cold after its cold start time")
		}
	})
}

// TestStartsUnknown requests permits and votes for an endpoint that doesn't exist.
func TestStartsUnknown(t *testing.T) {
	o := coldOwner(t)
	if _, err := o.Permits.Acquire(PermitArgs{Endpoint: 77}); err == nil {
		t.Error("a permit for an unknown endpoint")
	}
	if r := o.Permits.Vote(VoteArgs{Host: 1, Endpoints: []uint32{77}}); len(r.Given) != 1 || r.Given[0] {
		t.Errorf("a vote for an unknown endpoint: %+v", r)
	}
	a := VoteArgs{Endpoints: []uint32{config.NameNumber("e")}}
	o.Permits.recordVotes(a, 1, time.Now(), VoteReply{Given: []bool{true, true}})
	if n, _ := o.Permits.Count(a.Endpoints[0]); n != 0 {
		t.Error("a reply with the wrong length was accepted")
	}
}

// TestColdDigest checks that an owner's digest marks a cold endpoint, which also informs hosts
// with an old roster, and that the owner still accepts requests for it.
func TestColdDigest(t *testing.T) {
	o := coldOwner(t)
	number := config.NameNumber("e")
	reply, err := o.Reserve(context.Background(), ReserveArgs{Attempt: request.Attempt{Number: 1}, Endpoint: number, Tokens: 10, MaxAnswer: 10})
	if err != nil || reply.Code != 0 && reply.Code.Info().NotRun {
		t.Errorf("refused with %v, %v", reply.Code, err)
	}
	if reply.Digest.Flags&route.FlagCold == 0 {
		t.Errorf("flags %b don't mark the endpoint as cold", reply.Digest.Flags)
	}
	s := route.State{Spec: &config.Endpoint{ColdPerSecond: 21}, Digest: reply.Digest, DigestAt: time.Now()}
	if !s.IsCold(time.Now()) || s.IsCold(time.Now().Add(time.Minute)) {
		t.Error("an owner's cold flag expires at once, or never")
	}
}

// TestColdUnbound checks that an owner's digest doesn't mark a cold endpoint whose pool names no
// bound. Calls to it are not limited, and other regions would treat a flagged endpoint as closed.
func TestColdUnbound(t *testing.T) {
	o := coldOwner(t)
	spec := *o.board.Config.View().Endpoint("e")
	spec.ColdPerSecond = 0
	sched := newScheduler(o.board.Config.View(), &spec, 1, time.Now())
	if f := sched.digest(time.Now(), true).Flags; f&route.FlagCold != 0 {
		t.Errorf("flags %b mark the endpoint as cold", f)
	}
}

// TestNoted checks that reservations at a warm endpoint count as sent requests, except those for
// replicas, for which no request is sent.
func TestNoted(t *testing.T) {
	for _, spare := range []int{0, 10} {
		o := coldOwner(t)
		number := config.NameNumber("e")
		row := config.Endpoint{Name: "e", Address: "127.0.0.1:9", Domain: "d", Pool: "p", Role: config.Decode, ColdPerSecond: 21}
		if _, err := o.board.Config.OfferRoster((&config.RosterList{Revision: 3, Endpoints: []config.Endpoint{row}}).Roster(), time.Now()); err != nil {
			t.Fatal(err)
		}
		o.board.Endpoints.ApplyView(o.board.Config.View())
		reply, err := o.Reserve(context.Background(), ReserveArgs{Attempt: request.Attempt{Number: 1}, Endpoint: number, Tokens: 10, MaxAnswer: 10, Spare: spare})
		if err != nil || reply.Code != result.OK {
			t.Fatalf("refused with %v, %v", reply.Code, err)
		}
		if noted := o.Permits.permits[number] != nil; noted != (spare == 0) {
			t.Errorf("with %d spare tokens recorded: %v", spare, noted)
		}
	}
}

// BenchmarkVote measures a vote for ten endpoints of a failure domain with 75 of 300 hosts.
func BenchmarkVote(b *testing.B) {
	o := coldOwner(b)
	roster := &config.RosterList{Revision: 3}
	a := VoteArgs{Host: 1, Incarnation: 1}
	for k := range 10 {
		name := fmt.Sprintf("e%d", k)
		roster.Endpoints = append(roster.Endpoints, config.Endpoint{Name: name, Address: "127.0.0.1:9", Domain: "d", Pool: "p", Role: config.Decode})
		a.Endpoints = append(a.Endpoints, config.NameNumber(name))
	}
	if _, err := o.board.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
		b.Fatal(err)
	}
	for k := range 299 {
		name, domain := fmt.Sprintf("other%d", k), "elsewhere"
		if k < 74 {
			domain = "d"
		}
		o.board.Hosts.Learn(blackboard.Host{Name: name, Number: request.HostNumber(name), Domain: domain, Region: "r", Peers: "127.0.0.1:2", Incarnation: 1, Heartbeat: 1}, time.Now())
	}
	b.ReportAllocs()
	for b.Loop() {
		if r := o.Permits.Vote(a); r.Of[9] != 75 {
			b.Fatalf("%+v", r)
		}
	}
}
