package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/report"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// askedOwners refuses as it is told, and writes down who was asked for a turn.
type askedOwners struct {
	*leavingScene
	full     int           // asks for room that are refused with a wait of fullFor
	fullFor  time.Duration // after which there is room
	late     string        // the prefill engine that refuses turns, after lateFor
	lateFor  time.Duration
	turnAsks []string
}

func (s *askedOwners) Enqueue(_ context.Context, spec *config.Endpoint, a owner.EnqueueArgs) (owner.EnqueueReply, error) {
	s.turnAsks = append(s.turnAsks, fmt.Sprintf("%s in %d", spec.Name, a.NotYet))
	if spec.Name == s.late {
		time.Sleep(s.lateFor)
		return owner.EnqueueReply{Code: result.TooLate, Retry: 5000}, nil
	}
	time.Sleep(time.Duration(a.NotYet) * time.Millisecond)
	return owner.EnqueueReply{Code: result.OK}, nil
}

func (s *askedOwners) Reserve(context.Context, *config.Endpoint, owner.ReserveArgs) (owner.ReserveReply, error) {
	if s.full > 0 {
		s.full--
		return owner.ReserveReply{Code: result.NoDecodeMemory, Retry: ms(s.fullFor)}, nil
	}
	return owner.ReserveReply{Code: result.OK}, nil
}

// awayScene returns an entry in region r, a job there, and owners in r and s. s offers places.
func awayScene(t *testing.T, homes string) (*Entry, *job, *askedOwners) {
	s := &askedOwners{leavingScene: homesScene(t, homes, "")}
	v := s.board.Config.View()
	s.board.Regions.Learn(region.Summary{Region: config.NameNumber("s"), Pool: region.PoolNumber("p", "m"), Places: 50}, time.Now())
	e := New(s.board, s, s, report.NewRecorder(), zap.NewNop())
	j := promptedJob(e, v, v.Teams["t"])
	j.out = newPassage(httptest.NewRecorder(), writeError)
	return e, j, s
}

// TestHomesAskedOnce checks that a request which goes to its homes in other regions in any
// case doesn't leave for them once more after they refused it.
func TestHomesAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, j, s := awayScene(t, `"s"`)
		s.late = "p2"
		if _, err := e.place(t.Context(), j); err == nil {
			t.Error("placed without a turn")
		}
		if left := s.board.Regions.Left(config.NameNumber("s")); left != 0 || len(s.turnAsks) != 1 {
			t.Errorf("left %d times, asked for a turn %v; want one ask", left, s.turnAsks)
		}
	})
}

// TestPairOfATry checks that a try doesn't look for endpoints where the prompt was read in
// the one before: else it doesn't see that its own region would have it wait.
func TestPairOfATry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, j, s := awayScene(t, "")
		s.board.Endpoints.Learn(route.Digest{Number: route.Number("p1"), QueueMillis: 700}, time.Now())
		j.pick.Pair = j.view.RegionSet("s")
		if _, err := e.place(t.Context(), j); err != nil {
			t.Error(err)
		}
		if want := []string{"p2 in 0"}; !slices.Equal(s.turnAsks, want) {
			t.Errorf("asked for a turn %v, want %v", s.turnAsks, want)
		}
	})
}

// TestRoomAfterAway checks that a request which was refused elsewhere while it waits for
// room at home waits until there is room, not so long once more.
func TestRoomAfterAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, j, s := awayScene(t, "")
		s.full, s.fullFor, s.late, s.lateFor = 1, 200*time.Millisecond, "p2", 120*time.Millisecond
		if _, err := e.place(t.Context(), j); err != nil {
			t.Error(err)
		}
		if want := []string{"p1 in 0", "p2 in 0", "p1 in 80"}; !slices.Equal(s.turnAsks, want) {
			t.Errorf("asked for a turn %v, want %v", s.turnAsks, want)
		}
	})
}

// TestAwayOnce checks that a region which refused a request is not asked again in the same
// try, though the request may leave early, while it waits for room and at the end.
func TestAwayOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, j, s := awayScene(t, "")
		s.board.Endpoints.Learn(route.Digest{Number: route.Number("p1"), QueueMillis: 700}, time.Now())
		s.full, s.fullFor, s.late = 3, 150*time.Millisecond, "p2"
		_, _ = e.place(t.Context(), j)
		asks := 0
		for _, ask := range s.turnAsks {
			if ask == "p2 in 0" {
				asks++
			}
		}
		if asks != 1 || len(s.turnAsks) < 2 {
			t.Errorf("asked for a turn %v, want the other region's once", s.turnAsks)
		}
	})
}

// TestOneRegionCostsNothing checks that a refusal in a deployment of one region doesn't go
// through its hosts to find where else the request could go: refusals come in bursts.
func TestOneRegionCostsNothing(t *testing.T) {
	e, j := placing(t, new(stubOwners), 1, 1)
	now := time.Now()
	for i := range 350 {
		name := fmt.Sprintf("h%d", i)
		e.board.Hosts.Learn(blackboard.Host{Name: name, Number: request.HostNumber(name), Domain: "a", Region: "r", Incarnation: 1, Beat: 1}, now)
	}
	n := e.needs(j, result.TooLate)
	if got := testing.AllocsPerRun(10, func() { e.placeAway(t.Context(), j, n, mostAway, j.reach()) }); got > 0 {
		t.Errorf("%g allocations", got)
	}
}
