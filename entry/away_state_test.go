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

// scriptedOwners refuses as configured, and records who was asked for a prefill slot.
type scriptedOwners struct {
	*leavingScene
	refusals   int           // reserve calls refused with a retry time of refusedFor
	refusedFor time.Duration // after which there is memory
	lateEngine string        // the prefill engine that refuses slots, after lateFor
	lateFor    time.Duration
	enqueued   []string
}

func (s *scriptedOwners) Enqueue(_ context.Context, spec *config.Endpoint, a owner.EnqueueArgs) (owner.EnqueueReply, error) {
	s.enqueued = append(s.enqueued, fmt.Sprintf("%s in %d", spec.Name, a.NotYet))
	if spec.Name == s.lateEngine {
		time.Sleep(s.lateFor)
		return owner.EnqueueReply{Code: result.TooLate, Retry: 5000}, nil
	}
	time.Sleep(time.Duration(a.NotYet) * time.Millisecond)
	return owner.EnqueueReply{Code: result.OK}, nil
}

func (s *scriptedOwners) Reserve(context.Context, *config.Endpoint, owner.ReserveArgs) (owner.ReserveReply, error) {
	if s.refusals > 0 {
		s.refusals--
		return owner.ReserveReply{Code: result.NoDecodeMemory, Retry: ms(s.refusedFor)}, nil
	}
	return owner.ReserveReply{Code: result.OK}, nil
}

// newRemoteScene returns an entry in region r, a job there, and owners in r and s. Region s
// reports free capacity.
func newRemoteScene(t *testing.T, regions string) (*Entry, *job, *scriptedOwners) {
	s := &scriptedOwners{leavingScene: newTwoRegionScene(t, regions, "")}
	v := s.board.Config.View()
	s.board.Regions.Learn(region.Summary{Region: config.NameNumber("s"), Pool: region.PoolNumber("p", "m"), Capacity: 50}, time.Now())
	e := New(s.board, s, s, report.NewRecorder(), zap.NewNop())
	j := promptedJob(e, v, v.Teams["t"])
	j.reply = newPassthrough(httptest.NewRecorder(), writeError)
	return e, j, s
}

// TestHomesAskedOnce checks that a request whose allowed regions are all remote isn't
// redirected to them once more after they refused it: it uses them from the start.
func TestHomesAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, j, s := newRemoteScene(t, `"s"`)
		s.lateEngine = "p2"
		if _, err := e.place(t.Context(), j); err == nil {
			t.Error("placed without a slot")
		}
		if redirected := s.board.Regions.Redirected(config.NameNumber("s")); redirected != 0 || len(s.enqueued) != 1 {
			t.Errorf("redirected %d times, requested slots %v; want one request", redirected, s.enqueued)
		}
	})
}

// TestPairOfATry checks that a try doesn't stick to the region in which the try before
// prefilled the prompt. Otherwise it doesn't notice that it would have to wait in its own
// region.
func TestPairOfATry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, j, s := newRemoteScene(t, "")
		s.board.Endpoints.Learn(route.Digest{Number: route.Number("p1"), QueueMillis: 700}, time.Now())
		j.criteria.PrefillRegion = j.view.RegionSet("s")
		if _, err := e.place(t.Context(), j); err != nil {
			t.Error(err)
		}
		if want := []string{"p2 in 0"}; !slices.Equal(s.enqueued, want) {
			t.Errorf("requested slots %v, want %v", s.enqueued, want)
		}
	})
}

// TestRoomAfterAway checks that a request which is refused in another region while it waits
// for local memory then waits only for the rest of the time, not for all of it again.
func TestRoomAfterAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, j, s := newRemoteScene(t, "")
		s.refusals, s.refusedFor, s.lateEngine, s.lateFor = 1, 200*time.Millisecond, "p2", 120*time.Millisecond
		if _, err := e.place(t.Context(), j); err != nil {
			t.Error(err)
		}
		if want := []string{"p1 in 0", "p2 in 0", "p1 in 80"}; !slices.Equal(s.enqueued, want) {
			t.Errorf("requested slots %v, want %v", s.enqueued, want)
		}
	})
}

// TestAwayOnce checks that a region which refused a request isn't asked again in the same
// try. A request may be redirected early, while it waits for memory and at the end.
func TestAwayOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, j, s := newRemoteScene(t, "")
		s.board.Endpoints.Learn(route.Digest{Number: route.Number("p1"), QueueMillis: 700}, time.Now())
		s.refusals, s.refusedFor, s.lateEngine = 3, 150*time.Millisecond, "p2"
		_, _ = e.place(t.Context(), j)
		asks := 0
		for _, ask := range s.enqueued {
			if ask == "p2 in 0" {
				asks++
			}
		}
		if asks != 1 || len(s.enqueued) < 2 {
			t.Errorf("requested slots %v, want the other region's once", s.enqueued)
		}
	})
}

// TestOneRegionCostsNothing checks that a refusal in a deployment of one region doesn't
// scan the hosts for other regions: refusals come in bursts.
func TestOneRegionCostsNothing(t *testing.T) {
	e, j := newPlacement(t, new(stubOwners), 1, 1)
	now := time.Now()
	for i := range 350 {
		name := fmt.Sprintf("h%d", i)
		e.board.Hosts.Learn(blackboard.Host{Name: name, Number: request.HostNumber(name), Domain: "a", Region: "r", Incarnation: 1, Heartbeat: 1}, now)
	}
	n := e.remoteNeed(j, result.TooLate)
	if got := testing.AllocsPerRun(10, func() { e.placeRemote(t.Context(), j, n, maxRemoteRegions, j.localRegions()) }); got > 0 {
		t.Errorf("%g allocations", got)
	}
}
