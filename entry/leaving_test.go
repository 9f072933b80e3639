package entry

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/result"
)

// leavingScene is a pool whose endpoints leave at given steps of a request.
type leavingScene struct {
	endpoint.Engine
	stubOwners
	t           *testing.T
	board       *blackboard.Board
	hasLeft     map[string]bool
	leaveAt     map[string]bool // steps at which the endpoint concerned leaves, once each
	fullCalls   int             // decode calls that are refused as full
	evacuate    bool            // instead of leaving, its failure domain is evacuated: b, which has p2 and d2, or a
	extra       []string        // further endpoints
	evacuated   []string        // failure domains that are evacuated from the beginning
	ownersAhead bool            // owners know of the evacuation, this host doesn't
	callOrder   []string        // calls, in order
	inDomainB   map[string]bool // endpoints of domain b
	onEnqueue   func()          // called once, with the first prefill slot; nil: nothing
}

// Steps of a request.
const (
	atEnqueue = "as it gets its slot"
	atPrefill = "during the prefill"
	atFull    = "while it is full"
	atPermit  = "as a permit is requested"
)

func (s *leavingScene) publish() {
	roster := &config.RosterList{Revision: config.Position(len(s.hasLeft) + 1)}
	for _, d := range s.evacuated {
		roster.Evacuated = append(roster.Evacuated, config.Evacuation{Domain: d, Revision: roster.Revision})
	}
	for i, name := range append([]string{"p1", "p2", "d1", "d2"}, s.extra...) {
		role := config.Prefill
		if name[0] == 'd' {
			role = config.Decode
		}
		roster.Endpoints = append(roster.Endpoints, config.Endpoint{Name: name, Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: s.domain(name),
			Pool: "p", Role: role, Model: "m", Version: "1", Leaving: s.hasLeft[name] && !s.evacuate})
		if s.evacuate && s.hasLeft[name] && role == config.Prefill && !s.ownersAhead {
			roster.Evacuated = append(roster.Evacuated, config.Evacuation{Domain: s.domain(name), Revision: roster.Revision})
		}
	}
	if _, err := s.board.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
		s.t.Fatal(err)
	}
	s.board.Endpoints.ApplyView(s.board.Config.View())
}

// domain returns the failure domain of an endpoint.
func (s *leavingScene) domain(name string) string {
	if s.inDomainB[name] || s.evacuate && name[1] == '2' {
		return "b"
	}
	return "a"
}

// leaveNow makes an endpoint leave, or its failure domain be evacuated, if that is
// configured for this step.
func (s *leavingScene) leaveNow(step, name string) {
	if s.leaveAt[step] {
		s.leaveAt[step] = false
		s.hasLeft[name] = true
		if s.evacuate {
			s.hasLeft["p"+name[1:]], s.hasLeft["d"+name[1:]] = true, true
		}
		s.publish()
	}
}

func (s *leavingScene) recordCall(kind, name string) {
	s.callOrder = append(s.callOrder, kind+" "+name)
	if s.hasLeft[name] {
		s.t.Errorf("%s %s, which is leaving (%v)", kind, name, s.callOrder)
	}
}

func (s *leavingScene) Traits() endpoint.Traits { return endpoint.Traits{DisconnectAborts: true} }

func (s *leavingScene) Enqueue(ctx context.Context, spec *config.Endpoint, a owner.EnqueueArgs) (owner.EnqueueReply, error) {
	s.leaveNow(atEnqueue, spec.Name)
	if onEnqueue := s.onEnqueue; onEnqueue != nil {
		s.onEnqueue = nil
		onEnqueue()
	}
	if s.ownersAhead && s.hasLeft[spec.Name] {
		return owner.EnqueueReply{Code: result.Evacuated, Retry: 2000}, nil
	}
	return s.stubOwners.Enqueue(ctx, spec, a)
}

func (s *leavingScene) Reserve(ctx context.Context, spec *config.Endpoint, a owner.ReserveArgs) (owner.ReserveReply, error) {
	s.callOrder = append(s.callOrder, "reserve "+spec.Name)
	if s.ownersAhead && s.hasLeft[spec.Name] {
		return owner.ReserveReply{Code: result.Evacuated, Retry: 2000}, nil
	}
	return s.stubOwners.Reserve(ctx, spec, a)
}

func (s *leavingScene) Prefill(_ context.Context, c endpoint.Call, _ *endpoint.Work) (*endpoint.PrefillAnswer, error) {
	s.recordCall("prefill at", c.Name)
	for i := len(s.callOrder) - 1; i >= 0; i-- {
		var decodeName string
		if n, _ := fmt.Sscanf(s.callOrder[i], "reserve %s", &decodeName); n == 1 {
			s.leaveNow(atPrefill, decodeName)
			break
		}
	}
	return &endpoint.PrefillAnswer{Transfer: &endpoint.Transfer{Address: c.Address, Handle: "k", KeptMillis: 5000}}, nil
}

func (s *leavingScene) Decode(_ context.Context, c endpoint.Call, _ *endpoint.Work) (endpoint.Stream, error) {
	s.recordCall("decode at", c.Name)
	if s.fullCalls > 0 {
		s.fullCalls--
		s.leaveNow(atFull, c.Name)
		return nil, &endpoint.CallError{Address: c.Address, Status: 503, Cause: errors.New("full")}
	}
	return &oneChunk{id: c.Attempt}, nil
}

func (s *leavingScene) Discard(context.Context, *endpoint.Transfer) error { return nil }

// oneChunk is an answer of one chunk.
type oneChunk struct {
	id   string
	sent bool
}

func (o *oneChunk) Head() *endpoint.AnswerHead { return &endpoint.AnswerHead{Status: 200} }

func (o *oneChunk) Next() (*endpoint.Chunk, error) {
	if o.sent {
		return nil, io.EOF
	}
	o.sent = true
	return &endpoint.Chunk{ID: o.id, Raw: []byte("data: x\n\n")}, nil
}

func (o *oneChunk) Close() error { return nil }

// twoDomains is engineDocument with a second failure domain, b.
var twoDomains = strings.Replace(engineDocument, `{"name": "a", "region": "r"}`, `{"name": "a", "region": "r", "link_bytes_per_second": 1000000000},
	{"name": "b", "region": "r", "link_bytes_per_second": 1000000000}`, 1)

// run runs one request, while endpoints leave at the given steps.
func (s *leavingScene) run(t *testing.T, steps []string) (*result.Error, string) {
	settings := &config.Settings{Host: "h", Domain: "a", Region: "r"}
	settings.SetDefaults()
	s.t, s.board, s.hasLeft, s.leaveAt = t, blackboard.New(settings), map[string]bool{}, map[string]bool{}
	if _, err := s.board.Config.Offer(1, []byte(twoDomains)); err != nil {
		t.Fatal(err)
	}
	for _, step := range steps {
		s.leaveAt[step] = true
	}
	s.publish()
	e := New(s.board, s, s, report.NewRecorder(), zap.NewNop())
	v := s.board.Config.View()
	j := promptedJob(e, v, defaultTeam)
	rec := httptest.NewRecorder()
	j.reply = newPassthrough(rec, writeError)
	refusal := e.run(t.Context(), j)
	return refusal, rec.Body.String()
}

// TestLeavesMeanwhile checks that a request which waits for its prefill slot, its prefill
// or decode memory isn't sent to an endpoint that began to leave in that time, and is
// served by another.
func TestLeavesMeanwhile(t *testing.T) {
	cases := []struct {
		name  string
		steps []string
		full  int
	}{
		{"none leaves", nil, 0},
		{"the prefill engine leaves as the request gets its slot", []string{atEnqueue}, 0},
		{"the decode engine leaves during the prefill", []string{atPrefill}, 0},
		{"the decode engine is full and leaves", []string{atFull}, 1},
		{"both leave", []string{atEnqueue, atPrefill}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &leavingScene{fullCalls: tc.full}
				if refusal, body := s.run(t, tc.steps); refusal != nil || body != "data: x\n\n" {
					t.Errorf("%v, body %q, after %v", refusal, body, s.callOrder)
				}
				for step, still := range s.leaveAt {
					if still {
						t.Errorf("no endpoint left %s", step)
					}
				}
			})
		})
	}
}
