package entry

import (
	"context"
	"time"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/region"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// plan is a pair of endpoints with what owners granted for it.
type plan struct {
	route.Choice
	pre, dec *config.Endpoint // pre is nil where the decode engine reads the prompt itself
	decodeBy request.Attempt  // holds the reservation
	reserved bool
	start    time.Time       // when the transfer may start
	readBy   request.Attempt // the prefill attempt
	cost     int             // tokens that were read
	stalls   int             // transfers to this engine that stalled
	waited   bool            // the decode engine was full when the prompt was read
	kept     bool            // the decode engine keeps the prompt
	held     heldStart       // the start that it has at the decode engine already
	copy     *backup         // keeps a copy of the answer's memory; nil: none does
	lastDec  *config.Endpoint
	open     [route.MostExcluded]uint32 // endpoints that were left out before its answer was to be written
}

// lastOr returns the decode endpoint that was tried last.
func (p *plan) lastOr(e *config.Endpoint) *config.Endpoint {
	if e == nil {
		return p.lastDec
	}
	return e
}

// How many owners are asked for one try, before the request is refused for lack of
// room. In a large pool what is told of queues is some seconds old, and in a burst
// those that seemed to be the shortest are full, while others that are little asked
// for have room. An ask takes some milliseconds.
const (
	mostTurnAsks = 12 // prefill engines that have no turn in time
	mostTurns    = 4  // turns that are given back for lack of decode memory
	decodeAsks   = 8  // decode engines that are asked for a called request
)

// choose asks route for a pair; fixed is the number of a prefill endpoint
// that has called the request, 0 for none.
func (e *Entry) choose(j *job, fixed uint32) (route.Choice, *config.View) {
	c := route.Choice{}
	var view *config.View
	j.pick.Now = time.Now()
	j.pick.FixedPrefill = fixed
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		view = v
		if j.pick.Group = j.group(fleet); j.pick.Group != nil {
			e.bind(v, j, &j.pick)
			c = fleet.Pick(&j.pick)
		}
	})
	return c, view
}

// place finds a pair whose owners grant room: the prefill engine's turn, and
// then, before the engine begins, decode memory for the moment it will end.
// Without such memory the turn is given back and the request queues again,
// as long as it can still be in time. Nothing has run when it refuses.
//
// A request that its own region refuses may be placed in another.
func (e *Entry) place(ctx context.Context, j *job) (*plan, error) {
	e.goHome(j)
	j.pick.Shut, j.emptied, j.refusedIn = 0, 0, 0
	j.pick.Pair = 0 // that of the try before, maybe of another region
	if p := e.placeKept(ctx, j); p != nil {
		return p, nil
	}
	if p := e.placeEarly(ctx, j); p != nil {
		return p, nil
	}
	reach := j.reach()
	p, refusal := e.placeThere(ctx, j, mostTurnAsks)
	if refusal == nil {
		return p, nil
	}
	if p := e.placeAway(ctx, j, e.needs(j, refusal.Code), mostAway, reach); p != nil {
		return p, nil
	}
	return nil, refusal
}

// placeEarly places a job in another region before its own is asked, if it would wait long
// for its turn there; nil: it stays.
func (e *Entry) placeEarly(ctx context.Context, j *job) *plan {
	if e.alone() {
		return nil
	}
	c, _ := e.choose(j, 0)
	if c.Prefill == nil || float64(c.Wait) <= leavePart*float64(j.slack()) {
		return nil
	}
	n := e.needs(j, result.TooLate)
	n.Left = min(n.Left, faster(c.Wait)+n.Work)
	return e.placeAway(ctx, j, n, 1, j.reach())
}

// placeAway places a job that its own region can't serve, or not soon, in another, of which
// so many are tried; nil: it stays.
func (e *Entry) placeAway(ctx context.Context, j *job, n region.Need, most int, tried config.Regions) *plan {
	for i := 0; i < most && j.refusedIn.Len() < mostAway; i++ {
		n.Left = min(n.Left, j.slack())
		if ctx.Err() != nil || !e.leave(j, n, engineTrips, tried|j.refusedIn, engines) {
			break
		}
		j.refusedIn |= j.pick.Region // unless it is placed there
		if p, there := e.placeThere(ctx, j, awayAsks); there == nil {
			return p
		}
	}
	e.goHome(j)
	return nil
}

// placeThere places a job among the endpoints of the regions that it may go to now, of
// which so many may be asked for a turn.
func (e *Entry) placeThere(ctx context.Context, j *job, mostAsks int) (*plan, *result.Error) {
	asked := j.pick.Exclude // endpoints that have no room now are left out of this try only
	var last *result.Error
	notBefore := time.Now()
	for asks, turns := 0, 0; asks < mostAsks && turns < mostTurns; {
		if last != nil && j.slack() <= 0 {
			break // a turn that was waited for and came to nothing has used up the time
		}
		j.pick.Pair = 0
		c, v := e.choose(j, 0)
		if c.Prefill == nil {
			break
		}
		p := &plan{Choice: c, pre: c.Prefill, dec: c.Decode}
		j.pick.Pair = v.RegionSet(v.Region[p.pre.Domain])
		if refusal := e.enqueue(ctx, j, p, notBefore); refusal != nil {
			last = lackOf(refusal, last)
			if ctx.Err() != nil {
				break
			}
			e.logRefused(j, p.pre, string(blackboard.PhaseQueue), refusal, c.Age)
			j.pick.Drop(route.Number(p.pre.Name))
			if refusal.Code == result.Evacuated {
				asks += j.heardEmptied(v, p.pre)
			} else {
				asks++
			}
			if j.abroad() && e.board.Regions.Quiet(config.NameNumber(j.away.region), time.Now()) {
				break
			}
			continue
		}
		turns++
		last = e.reserveAny(ctx, j, p)
		j.pick.Exclude = asked
		if last == nil {
			last = e.turnLater(ctx, j, p)
			if last == nil {
				return p, nil
			}
			if last.Code == result.Evacuated && ctx.Err() == nil {
				asks += j.heardEmptied(v, p.pre)
				j.pick.Drop(route.Number(p.pre.Name))
				last = nil
				continue
			}
		}
		e.returnTurn(p)
		if ctx.Err() != nil || j.abroad() || last.RetryAfter+p.Read+p.Move > j.slack() {
			break // nobody waits for room outside of its region
		}
		notBefore = time.Now().Add(last.RetryAfter)
		if last.RetryAfter >= leaveAfter && !j.abroad() && turns == 1 {
			if p := e.placeAway(ctx, j, e.needs(j, last.Code), mostAway, j.reach()); p != nil {
				return p, nil
			}
		}
	}
	j.pick.Exclude = asked
	if last == nil && e.traits.DecodeReads {
		return e.placeDirect(ctx, j)
	}
	if last == nil {
		last = e.nowhere(j, "prefill endpoint", prefillList)
	}
	if last.Code == result.NoEndpoint { // prompts can be read, but no answer be written
		if dec := e.nowhere(j, "decode endpoint", decodeList); dec.Code != result.NoEndpoint {
			last = dec
		}
	}
	return nil, last
}

// leaveAfter is how long room may be waited for at home by a request that another region
// has a place for now: the way there and back costs about as much, and after a longer wait
// most have no time left for it.
const leaveAfter = 100 * time.Millisecond

// placeDirect places a request for which no prefill engine is in reach on a
// decode engine that reads the prompt itself.
func (e *Entry) placeDirect(ctx context.Context, j *job) (*plan, *result.Error) {
	p := new(plan)
	j.pick.Pair = 0
	if refusal := e.reserveFrom(ctx, j, p, e.chooseDecode, 0); refusal != nil {
		return nil, refusal
	}
	return p, nil
}

// chooseDecode asks route for a decode endpoint alone.
func (e *Entry) chooseDecode(j *job) (route.Choice, *config.View) {
	c := route.Choice{}
	var view *config.View
	j.pick.Now = time.Now()
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		view = v
		if j.pick.Group = j.group(fleet); j.pick.Group != nil {
			e.bind(v, j, &j.pick)
			c = fleet.PickDecode(&j.pick)
		}
	})
	return c, view
}

// kvBytes returns the size of a token's KV cache; 0 for an unknown model.
func kvBytes(v *config.View, model string) int64 {
	if m := v.Models[model]; m != nil {
		return m.KVBytesPerToken
	}
	return 0
}
