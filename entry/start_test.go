package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/peer"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// coldScene is a pool of cold endpoints whose owners grant start permits by a script.
type coldScene struct {
	*leavingScene
	permits       []peer.Permit // answers in order of the requests; further ones are granted at once
	permitsBefore int           // permits requested before the one at which the endpoint leaves, if leaveAt has atPermit
}

func (s *coldScene) AcquirePermit(_ context.Context, spec *config.Endpoint, _ peer.PermitRequest) peer.Permit {
	s.callOrder = append(s.callOrder, "permit at "+spec.Name)
	if s.permitsBefore--; s.permitsBefore < 0 {
		s.leaveNow(atPermit, spec.Name)
	}
	permit := peer.Permit{Granted: true, ExpiresAt: time.Now().Add(time.Second)}
	if len(s.permits) > 0 {
		permit, s.permits = s.permits[0], s.permits[1:]
	}
	if permit.Granted && permit.ExpiresAt.IsZero() {
		permit.ExpiresAt = time.Now().Add(permit.Delay + time.Second)
	}
	return permit
}

// callLog returns the permits and calls, without the numbers of the endpoints.
func (s *coldScene) callLog() string {
	var out []string
	for _, c := range s.callOrder {
		if !strings.HasPrefix(c, "reserve") {
			out = append(out, strings.TrimRight(c, "12"))
		}
	}
	return strings.Join(out, ", ")
}

// TestStarts checks that each call to a cold endpoint has a start permit of its own, that a
// permit is used neither before nor after it is valid, and that a request goes elsewhere,
// or is refused as not run, if there is none.
func TestStarts(t *testing.T) {
	const withPermits = "permit at p, prefill at p, permit at d, decode at d"
	none := peer.Permit{Delay: 700 * time.Millisecond}
	for _, tc := range []struct {
		name   string
		warm   bool
		full   int
		script []peer.Permit
		want   string
		code   result.Code
	}{
		{name: "warm", warm: true, want: "prefill at p, decode at d"},
		{name: "granted at once", want: withPermits},
		{name: "granted for later", script: []peer.Permit{{Granted: true, Delay: 300 * time.Millisecond}}, want: withPermits},
		{name: "expired before use", script: []peer.Permit{{Granted: true, ExpiresAt: time.Unix(0, 1)}}, want: "permit at p, " + withPermits},
		{name: "none at the first prefill engine", script: []peer.Permit{none}, want: "permit at p, " + withPermits},
		{name: "none at the first decode engine", script: []peer.Permit{{Granted: true}, none},
			want: "permit at p, prefill at p, permit at d, permit at d, decode at d"},
		{name: "a full engine is called again", full: 1, want: withPermits + ", permit at d, decode at d"},
		{name: "none at all", script: []peer.Permit{none, none}, want: "permit at p, permit at p", code: result.Cold},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := &config.Settings{Host: "h", Domain: "a", Region: "r"}
				settings.SetDefaults()
				b := blackboard.New(settings)
				doc := strings.Replace(engineDocument, `"slots"`, `"cold_per_s": 21, "slots"`, 1)
				if _, err := b.Config.Offer(1, []byte(doc)); err != nil {
					t.Fatal(err)
				}
				s := &coldScene{leavingScene: &leavingScene{t: t, board: b, hasLeft: map[string]bool{}, fullCalls: tc.full}, permits: tc.script}
				s.publish()
				if !tc.warm {
					for _, name := range []string{"p1", "p2", "d1", "d2"} {
						b.Endpoints.Update(route.Number(name), func(st *route.State) { st.MaybeColdUntil = time.Now().Add(time.Hour) })
					}
				}
				e := New(b, s, s, report.NewRecorder(), zap.NewNop())
				v := b.Config.View()
				j := e.newJob(v, v.RouteFor("h", "/x"), headers{team: defaultTeam})
				j.pool, j.prompted, j.tokens, j.work = "p", true, 100, &endpoint.Work{}
				rec := httptest.NewRecorder()
				j.reply = newPassthrough(rec, writeError)
				j.work.MaxTokens = 100
				j.criteria.Model, j.criteria.Tokens, j.criteria.MaxAnswer = "m", 100, 100
				refusal := e.run(t.Context(), j)
				if got := s.callLog(); got != tc.want {
					t.Errorf("%s; want %s", got, tc.want)
				}
				if tc.code == 0 && refusal != nil {
					t.Error(refusal)
				}
				if tc.code != 0 && (refusal == nil || refusal.Code != tc.code || !refusal.NotRun() || refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Second) {
					t.Errorf("refused with %+v, want %s", refusal, tc.code)
				}
			})
		})
	}
}

// replicaEngine is an engine that keeps replicas.
type replicaEngine struct{ *coldScene }

func (replicaEngine) Traits() endpoint.Traits {
	return endpoint.Traits{DisconnectAborts: true, Replicas: true}
}

// TestStartBeforeCall checks that nothing is requested between the permit for a cold engine
// and the call that uses it, as the permit expires: memory for a replica of the answer is
// reserved before.
func TestStartBeforeCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := &config.Settings{Host: "h", Domain: "a", Region: "r"}
		settings.SetDefaults()
		b := blackboard.New(settings)
		if _, err := b.Config.Offer(1, []byte(strings.Replace(engineDocument, `"slots"`, `"cold_per_s": 21, "copies": true, "slots"`, 1))); err != nil {
			t.Fatal(err)
		}
		s := &coldScene{leavingScene: &leavingScene{t: t, board: b, hasLeft: map[string]bool{}}}
		s.publish()
		for _, name := range []string{"d1", "d2"} {
			b.Endpoints.Update(route.Number(name), func(st *route.State) {
				st.DigestAt, st.Digest.FreeTokens, st.Digest.FreeSlots = time.Now(), int32(st.Spec.MemoryTokens), 64
				if name == "d1" {
					st.MaybeColdUntil = time.Now().Add(time.Hour)
				} else {
					st.Digest.FailPct = 90
				}
			})
		}
		e := New(b, replicaEngine{s}, s, report.NewRecorder(), zap.NewNop())
		v := b.Config.View()
		j := e.newJob(v, v.RouteFor("h", "/x"), headers{team: defaultTeam})
		j.pool, j.prompted, j.tokens, j.work = "p", true, 100, &endpoint.Work{}
		j.reply, j.work.MaxTokens = newPassthrough(httptest.NewRecorder(), writeError), 100
		j.criteria.Model, j.criteria.Tokens, j.criteria.MaxAnswer = "m", 100, 100
		if refusal := e.run(t.Context(), j); refusal != nil {
			t.Error(refusal)
		}
		if got, want := strings.Join(s.callOrder[max(0, len(s.callOrder)-3):], ", "), "reserve d2, permit at d1, decode at d1"; got != want {
			t.Errorf("last calls %s; want %s", got, want)
		}
	})
}

// TestLeftBeforeStart checks that a request which waits for a permit at an endpoint that
// leaves in the meantime goes elsewhere, before its prefill and before its decode call.
func TestLeftBeforeStart(t *testing.T) {
	later := peer.Permit{Granted: true, Delay: 300 * time.Millisecond}
	for _, tc := range []struct {
		name   string
		before int // calls that have got their permit
		script []peer.Permit
		want   string
	}{
		{"before the prefill", 0, []peer.Permit{later}, "permit at p, permit at p, prefill at p, permit at d, decode at d"},
		{"before the decode call", 1, []peer.Permit{{Granted: true}, later}, "permit at p, prefill at p, permit at d, permit at d, decode at d"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := &config.Settings{Host: "h", Domain: "a", Region: "r"}
				settings.SetDefaults()
				b := blackboard.New(settings)
				if _, err := b.Config.Offer(1, []byte(strings.Replace(engineDocument, `"slots"`, `"cold_per_s": 21, "slots"`, 1))); err != nil {
					t.Fatal(err)
				}
				s := &coldScene{leavingScene: &leavingScene{t: t, board: b, hasLeft: map[string]bool{}, leaveAt: map[string]bool{}}, permits: tc.script, permitsBefore: tc.before}
				s.publish()
				for _, name := range []string{"p1", "p2", "d1", "d2"} {
					b.Endpoints.Update(route.Number(name), func(st *route.State) { st.MaybeColdUntil = time.Now().Add(time.Hour) })
				}
				s.leaveAt[atPermit] = true
				e := New(b, s, s, report.NewRecorder(), zap.NewNop())
				v := b.Config.View()
				j := e.newJob(v, v.RouteFor("h", "/x"), headers{team: defaultTeam})
				j.pool, j.prompted, j.tokens, j.work = "p", true, 100, &endpoint.Work{}
				j.reply, j.work.MaxTokens = newPassthrough(httptest.NewRecorder(), writeError), 100
				j.criteria.Model, j.criteria.Tokens, j.criteria.MaxAnswer = "m", 100, 100
				if refusal := e.run(t.Context(), j); refusal != nil {
					t.Error(refusal)
				}
				if got := s.callLog(); got != tc.want {
					t.Errorf("%s; want %s", got, tc.want)
				}
			})
		})
	}
}

// serviceEngine is a plain service that answers.
type serviceEngine struct {
	*coldScene
}

func (s serviceEngine) Service(_ context.Context, c endpoint.Call, _ *endpoint.Work) (*endpoint.Answer, error) {
	s.callOrder = append(s.callOrder, "call "+c.Name)
	return &endpoint.Answer{AnswerHead: endpoint.AnswerHead{Status: 200}, Body: httptest.NewRequest("GET", "/", strings.NewReader("x")).Body}, nil
}

// TestServiceStarts does the same as TestStarts for a plain service with a single endpoint,
// which is cold.
func TestServiceStarts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		script []peer.Permit
		want   string
		code   result.Code
	}{
		{"given", nil, "permit at s, call s", 0},
		{"none", []peer.Permit{{Delay: 700 * time.Millisecond}}, "permit at s", result.Cold},
		{"none yet", []peer.Permit{{Delay: 300 * time.Millisecond}}, "permit at s, permit at s, call s", 0},
		{"none yet, and none then", []peer.Permit{{Delay: 300 * time.Millisecond}, {Delay: 300 * time.Millisecond}}, "permit at s, permit at s", result.Cold},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := &config.Settings{Host: "h", Domain: "a", Region: "r"}
				settings.SetDefaults()
				b := blackboard.New(settings)
				doc := strings.Replace(serviceDocument, `"name": "web"`, `"name": "web", "cold_per_s": 21`, 1)
				if _, err := b.Config.Offer(1, []byte(doc)); err != nil {
					t.Fatal(err)
				}
				cold := config.Endpoint{Name: "s", Address: "10.0.0.1:1", Domain: "a", Pool: "web", Role: config.Service, ColdMillis: 5000}
				if _, err := b.Config.OfferRoster((&config.RosterList{Revision: 1, Endpoints: []config.Endpoint{cold}}).Roster(), time.Now()); err != nil {
					t.Fatal(err)
				}
				v := b.Config.View()
				b.Endpoints.ApplyView(v)
				s := &coldScene{leavingScene: &leavingScene{t: t, board: b}, permits: tc.script}
				e := New(b, serviceEngine{s}, s, report.NewRecorder(), zap.NewNop())
				j := e.newJob(v, v.RouteFor("h", "/x"), headers{team: defaultTeam})
				j.pool, j.work, j.reply = "web", &endpoint.Work{}, newPassthrough(httptest.NewRecorder(), writeError)
				refusal := e.runService(t.Context(), j)
				if got := s.callLog(); got != tc.want {
					t.Errorf("%s; want %s", got, tc.want)
				}
				if tc.code == 0 && refusal != nil || tc.code != 0 && (refusal == nil || refusal.Code != tc.code || !refusal.NotRun()) {
					t.Errorf("refused with %v, want %s", refusal, tc.code)
				}
			})
		})
	}
}
