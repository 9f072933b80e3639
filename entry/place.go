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

// plan is a pair of endpoints, with what their owners granted for it.
type plan struct {
	route.Choice
	prefillSpec, decodeSpec *config.Endpoint // prefillSpec is nil where the decode engine prefills the prompt itself
	decodeAttempt           request.Attempt  // holds the memory reservation
	reserved                bool
	transferStart           time.Time       // when the KV transfer may start
	prefillAttempt          request.Attempt // the attempt at the prefill engine
	prefilledTokens         int             // prompt tokens prefilled, without cached ones
	stalls                  int             // stalled transfers to this decode engine
	decodeWasFull           bool            // the decode engine was full after the prefill
	promptCached            bool            // the decode engine has the prompt cached
	permit                  heldPermit      // start permit already held for the decode engine
	replica                 *replicaHold    // replica of the answer's KV cache; nil: none
	lastDecodeSpec          *config.Endpoint
	initialExclude          [route.MaxExcluded]uint32 // endpoints excluded before decoding
}

// orLastDecode returns e, or the last decode endpoint tried if e is nil.
func (p *plan) orLastDecode(e *config.Endpoint) *config.Endpoint {
	if e == nil {
		return p.lastDecodeSpec
	}
	return e
}

// How many owners are asked in one try, before the request is refused for lack of capacity.
// In a large pool the digests of queues are some seconds old: in a burst the engines that
// seemed to have the shortest queues are full, while others that get few requests have
// capacity. An ask takes some milliseconds.
const (
	maxEnqueueAsks = 12 // prefill engines that have no slot in time
	maxRequeues    = 4  // prefill slots released for lack of decode memory
	maxReserveAsks = 8  // decode engines asked for a request that has its prefill slot
)

// choosePair asks package route for a pair. fixed is the number of a prefill endpoint that
// has granted the request a slot; 0: none.
func (e *Entry) choosePair(j *job, fixed uint32) (route.Choice, *config.View) {
	c := route.Choice{}
	var view *config.View
	j.criteria.Now = time.Now()
	j.criteria.FixedPrefill = fixed
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		view = v
		if j.criteria.Group = j.group(fleet); j.criteria.Group != nil {
			e.bindRegions(v, j, &j.criteria)
			c = fleet.Pick(&j.criteria)
		}
	})
	return c, view
}

// place finds a pair whose owners grant capacity: a slot at the prefill engine and then,
// before the engine begins, decode memory for the time when the prefill ends. Without such
// memory the slot is released and the request queues again, as long as it can still meet
// its target. When it returns an error, nothing has run.
//
// A request that its own region refuses may be placed in another.
func (e *Entry) place(ctx context.Context, j *job) (*plan, error) {
	e.returnToLocalRegion(j)
	j.criteria.EvacuatedDomains, j.reportedEvacuated, j.refusedRegions = 0, 0, 0
	j.criteria.PrefillRegion = 0 // that of the try before, maybe in another region
	if p := e.placeOnCached(ctx, j); p != nil {
		return p, nil
	}
	if p := e.placeRemoteEarly(ctx, j); p != nil {
		return p, nil
	}
	reach := j.localRegions()
	p, refusal := e.placeInRegions(ctx, j, maxEnqueueAsks)
	if refusal == nil {
		return p, nil
	}
	if p := e.placeRemote(ctx, j, e.remoteNeed(j, refusal.Code), maxRemoteRegions, reach); p != nil {
		return p, nil
	}
	return nil, refusal
}

// placeRemoteEarly places a job in another region before its own is asked, if it would wait
// long for its prefill slot there. It returns nil if the job stays.
func (e *Entry) placeRemoteEarly(ctx context.Context, j *job) *plan {
	if e.singleRegion() {
		return nil
	}
	c, _ := e.choosePair(j, 0)
	if c.Prefill == nil || float64(c.QueueDuration) <= redirectWaitShare*float64(j.slack()) {
		return nil
	}
	n := e.remoteNeed(j, result.TooLate)
	n.TimeLeft = min(n.TimeLeft, maxRemoteWait(c.QueueDuration)+n.Work)
	return e.placeRemote(ctx, j, n, 1, j.localRegions())
}

// placeRemote places a job that its own region can't serve, or not soon, in another region.
// It tries up to maxRegions regions, and returns nil if the job stays.
func (e *Entry) placeRemote(ctx context.Context, j *job, n region.Need, maxRegions int, tried config.Regions) *plan {
	for i := 0; i < maxRegions && j.refusedRegions.Len() < maxRemoteRegions; i++ {
		n.TimeLeft = min(n.TimeLeft, j.slack())
		if ctx.Err() != nil || !e.redirectJob(j, n, engineRoundTrips, tried|j.refusedRegions, requiredEngines) {
			break
		}
		j.refusedRegions |= j.criteria.Region // unless it is placed there
		if p, refusal := e.placeInRegions(ctx, j, remoteEnqueueAsks); refusal == nil {
			return p
		}
	}
	e.returnToLocalRegion(j)
	return nil
}

// placeInRegions places a job among the endpoints of its current regions. It asks up to
// maxAsks owners for a prefill slot.
func (e *Entry) placeInRegions(ctx context.Context, j *job, maxAsks int) (*plan, *result.Error) {
	excluded := j.criteria.Exclude // endpoints without capacity now are excluded in this try only
	var last *result.Error
	if e.prefersDecodeOnly(j) {
		return e.placeDecodeOnly(ctx, j)
	}
	notBefore := time.Now()
	for asks, slots := 0, 0; asks < maxAsks && slots < maxRequeues; {
		if last != nil && j.slack() <= 0 {
			break // a slot that was waited for and came to nothing has used up the time
		}
		j.criteria.PrefillRegion = 0
		c, v := e.choosePair(j, 0)
		if c.Prefill == nil {
			break
		}
		if e.traits.DecodePrefills && e.resultWouldLapse(c.Prefill) {
			return e.placeDecodeOnly(ctx, j)
		}
		p := &plan{Choice: c, prefillSpec: c.Prefill, decodeSpec: c.Decode}
		j.criteria.PrefillRegion = v.RegionSet(v.Region[p.prefillSpec.Domain])
		if refusal := e.enqueue(ctx, j, p, notBefore); refusal != nil {
			last = placementRefusal(refusal, last)
			if ctx.Err() != nil {
				break
			}
			e.logRefused(j, p.prefillSpec, string(blackboard.PhaseQueue), refusal, c.DigestAge)
			j.criteria.AddExcluded(route.Number(p.prefillSpec.Name))
			if refusal.Code == result.Evacuated {
				asks += j.noteEvacuated(v, p.prefillSpec)
			} else {
				asks++
			}
			if j.redirected() && e.board.Regions.Avoided(config.NameNumber(j.redirect.region), time.Now()) {
				break
			}
			continue
		}
		slots++
		last = e.reserveAny(ctx, j, p)
		j.criteria.Exclude = excluded
		if last == nil {
			last = e.requeueLater(ctx, j, p)
			if last == nil {
				return p, nil
			}
			if last.Code == result.Evacuated && ctx.Err() == nil {
				asks += j.noteEvacuated(v, p.prefillSpec)
				j.criteria.AddExcluded(route.Number(p.prefillSpec.Name))
				last = nil
				continue
			}
		}
		e.releasePrefill(p)
		if ctx.Err() != nil || j.redirected() || last.RetryAfter+p.PrefillDuration+p.TransferDuration > j.slack() {
			break // a request doesn't wait for memory in a remote region
		}
		notBefore = time.Now().Add(last.RetryAfter)
		if last.RetryAfter >= remoteAfterWait && !j.redirected() && slots == 1 {
			if p := e.placeRemote(ctx, j, e.remoteNeed(j, last.Code), maxRemoteRegions, j.localRegions()); p != nil {
				return p, nil
			}
		}
	}
	j.criteria.Exclude = excluded
	if last == nil && e.traits.DecodePrefills {
		return e.placeDecodeOnly(ctx, j)
	}
	if last == nil {
		last = e.noneEligible(j, "prefill endpoint", prefillStates)
	}
	if last.Code == result.NoEndpoint { // prompts can be prefilled, but answers not decoded
		if dec := e.noneEligible(j, "decode endpoint", decodeStates); dec.Code != result.NoEndpoint {
			last = dec
		}
	}
	return nil, last
}

// remoteAfterWait is how long a request may wait for local memory while another region has
// capacity now: the round trips cost about as much, and after a longer wait most requests
// have no time left for them.
const remoteAfterWait = 100 * time.Millisecond

// placeDecodeOnly places a request on a decode engine that prefills the prompt itself, as no prefill engine is reachable or
// none is to be used.
func (e *Entry) placeDecodeOnly(ctx context.Context, j *job) (*plan, *result.Error) {
	p := new(plan)
	j.criteria.PrefillRegion = 0
	if refusal := e.reserveFrom(ctx, j, p, e.chooseDecode, 0); refusal != nil {
		return nil, refusal
	}
	return p, nil
}

// resultWouldLapse reports whether a prefill engine keeps its results for less time than their
// arrival and the connection to a decode engine take over this host's link.
func (e *Entry) resultWouldLapse(spec *config.Endpoint) bool {
	delay := e.board.Link.Estimate(time.Now())
	return delay > 0 && spec.ResultKeepMillis > 0 && 2*delay+minResultLeft > config.Millis(spec.ResultKeepMillis)
}

// chooseDecode asks package route for a decode endpoint only.
func (e *Entry) chooseDecode(j *job) (route.Choice, *config.View) {
	c := route.Choice{}
	var view *config.View
	j.criteria.Now = time.Now()
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		view = v
		if j.criteria.Group = j.group(fleet); j.criteria.Group != nil {
			e.bindRegions(v, j, &j.criteria)
			c = fleet.PickDecode(&j.criteria)
		}
	})
	return c, view
}

// kvBytesPerToken returns the size of a token's KV cache; 0 for an unknown model.
func kvBytesPerToken(v *config.View, model string) int64 {
	if m := v.Models[model]; m != nil {
		return m.KVBytesPerToken
	}
	return 0
}
