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

// leavingScene is a pool of which endpoints leave at moments of a request's way.
type leavingScene struct {
	endpoint.Engine
	stubOwners
	t       *testing.T
	board   *blackboard.Board
	left    map[string]bool
	leaves  map[string]bool // moments at which whoever is concerned leaves, once each
	full    int             // decode calls that are refused first
	empty   bool            // failure domain b, which has p2 and d2, or a is emptied instead
	more    []string        // further endpoints
	emptied []string        // failure domains that are emptied from the beginning
	ahead   bool            // owners know of it, this host doesn't
	order   []string        // of calls
	far     map[string]bool // endpoints of domain b
	turned  func()          // called once, as the first turn comes; nil: nothing
}

// Moments.
const (
	atTurn    = "as its turn comes"
	atReading = "as the prompt is read"
	atFull    = "as it is full"
	atStart   = "as a start is asked for"
)

func (s *leavingScene) publish() {
	roster := &config.RosterList{Revision: config.Position(len(s.left) + 1)}
	for _, d := range s.emptied {
		roster.Evacuated = append(roster.Evacuated, config.Evacuation{Domain: d, Revision: roster.Revision})
	}
	for i, name := range append([]string{"p1", "p2", "d1", "d2"}, s.more...) {
		role := config.Prefill
		if name[0] == 'd' {
			role = config.Decode
		}
		roster.Endpoints = append(roster.Endpoints, config.Endpoint{Name: name, Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: s.domain(name),
			Pool: "p", Role: role, Model: "m", Version: "1", Leaving: s.left[name] && !s.empty})
		if s.empty && s.left[name] && role == config.Prefill && !s.ahead {
			roster.Evacuated = append(roster.Evacuated, config.Evacuation{Domain: s.domain(name), Revision: roster.Revision})
		}
	}
	if _, err := s.board.Config.OfferRoster(roster.Roster(), time.Now()); err != nil {
		s.t.Fatal(err)
	}
	s.board.Endpoints.Fit(s.board.Config.View())
}

// domain returns the failure domain of an endpoint.
func (s *leavingScene) domain(name string) string {
	if s.far[name] || s.empty && name[1] == '2' {
		return "b"
	}
	return "a"
}

// leave has an endpoint leave if it does so at this moment, or its failure domain be emptied.
func (s *leavingScene) leave(moment, name string) {
	if s.leaves[moment] {
		s.leaves[moment] = false
		s.left[name] = true
		if s.empty {
			s.left["p"+name[1:]], s.left["d"+name[1:]] = true, true
		}
		s.publish()
	}
}

func (s *leavingScene) call(kind, name string) {
	s.order = append(s.order, kind+" "+name)
	if s.left[name] {
		s.t.Errorf("%s %s, which has left (%v)", kind, name, s.order)
	}
}

func (s *leavingScene) Traits() endpoint.Traits { return endpoint.Traits{HangUpAborts: true} }

func (s *leavingScene) Enqueue(ctx context.Context, spec *config.Endpoint, a owner.EnqueueArgs) (owner.EnqueueReply, error) {
	s.leave(atTurn, spec.Name)
	if turned := s.turned; turned != nil {
		s.turned = nil
		turned()
	}
	if s.ahead && s.left[spec.Name] {
		return owner.EnqueueReply{Code: result.Evacuated, Retry: 2000}, nil
	}
	return s.stubOwners.Enqueue(ctx, spec, a)
}

func (s *leavingScene) Reserve(ctx context.Context, spec *config.Endpoint, a owner.ReserveArgs) (owner.ReserveReply, error) {
	s.order = append(s.order, "reserve "+spec.Name)
	if s.ahead && s.left[spec.Name] {
		return owner.ReserveReply{Code: result.Evacuated, Retry: 2000}, nil
	}
	return s.stubOwners.Reserve(ctx, spec, a)
}

func (s *leavingScene) Prefill(_ context.Context, c endpoint.Call, _ *endpoint.Work) (*endpoint.PrefillAnswer, error) {
	s.call("read at", c.Name)
	for i := len(s.order) - 1; i >= 0; i-- {
		var dec string
		if n, _ := fmt.Sscanf(s.order[i], "reserve %s", &dec); n == 1 {
			s.leave(atReading, dec)
			break
		}
	}
	return &endpoint.PrefillAnswer{Transfer: &endpoint.Transfer{Address: c.Address, Handle: "k", KeptMillis: 5000}}, nil
}

func (s *leavingScene) Decode(_ context.Context, c endpoint.Call, _ *endpoint.Work) (endpoint.Stream, error) {
	s.call("write at", c.Name)
	if s.full > 0 {
		s.full--
		s.leave(atFull, c.Name)
		return nil, &endpoint.CallError{Address: c.Address, Status: 503, Cause: errors.New("full")}
	}
	return &oneChunk{id: c.Attempt}, nil
}

func (s *leavingScene) Discard(context.Context, *endpoint.Transfer) error { return nil }

// oneChunk is an answer of one piece.
type oneChunk struct {
	id   string
	over bool
}

func (o *oneChunk) Head() *endpoint.AnswerHead { return &endpoint.AnswerHead{Status: 200} }

func (o *oneChunk) Next() (*endpoint.Chunk, error) {
	if o.over {
		return nil, io.EOF
	}
	o.over = true
	return &endpoint.Chunk{ID: o.id, Raw: []byte("data: x\n\n")}, nil
}

func (o *oneChunk) Close() error { return nil }

// twoDomains is likelyDocument with a failure domain b beside a.
var twoDomains = strings.Replace(likelyDocument, `{"name": "a", "region": "r"}`, `{"name": "a", "region": "r", "link_bytes_per_second": 1000000000},
	{"name": "b", "region": "r", "link_bytes_per_second": 1000000000}`, 1)

// run has one request go its way, while endpoints leave at some moments.
func (s *leavingScene) run(t *testing.T, leaves []string) (*result.Error, string) {
	settings := &config.Settings{Host: "h", Domain: "a", Region: "r"}
	settings.SetDefaults()
	s.t, s.board, s.left, s.leaves = t, blackboard.New(settings), map[string]bool{}, map[string]bool{}
	if _, err := s.board.Config.Offer(1, []byte(twoDomains)); err != nil {
		t.Fatal(err)
	}
	for _, moment := range leaves {
		s.leaves[moment] = true
	}
	s.publish()
	e := New(s.board, s, s, report.NewRecorder(), zap.NewNop())
	v := s.board.Config.View()
	j := promptedJob(e, v, defaultTeam)
	rec := httptest.NewRecorder()
	j.out = newPassage(rec, writeError)
	refusal := e.run(t.Context(), j)
	return refusal, rec.Body.String()
}

// TestLeavesMeanwhile checks that a request which waits, for its turn, for its
// prompt or for room, is not sent to an endpoint that has begun to leave in that
// time, and is served by another.
func TestLeavesMeanwhile(t *testing.T) {
	cases := []struct {
		name   string
		leaves []string
		full   int
	}{
		{"nobody leaves", nil, 0},
		{"the prefill engine leaves as its turn comes", []string{atTurn}, 0},
		{"the decode engine leaves as the prompt is read", []string{atReading}, 0},
		{"the decode engine is full and leaves", []string{atFull}, 1},
		{"both leave", []string{atTurn, atReading}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &leavingScene{full: tc.full}
				if refusal, body := s.run(t, tc.leaves); refusal != nil || body != "data: x\n\n" {
					t.Errorf("%v, body %q, after %v", refusal, body, s.order)
				}
				for moment, still := range s.leaves {
					if still {
						t.Errorf("nobody left %s", moment)
					}
				}
			})
		})
	}
}
