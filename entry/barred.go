package entry

import (
	"context"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/owner"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
)

// After its endpoints are chosen a request waits: for its prefill slot, for its prefill,
// for decode memory. So each endpoint is checked again just before it is called.

// ineligibleReason returns why a job may no longer use an endpoint that was chosen for it,
// by the current state. Reasons that only say how well the endpoint would serve the request
// don't count: the endpoint was chosen, and its owner granted capacity.
func (e *Entry) ineligibleReason(j *job, spec *config.Endpoint) (b route.Reason) {
	b = route.ReasonGone
	r := j.criteria
	r.Now, r.Exclude = time.Now(), [route.MaxExcluded]uint32{}
	e.board.Endpoints.Find(route.Number(spec.Name), func(v *config.View, s *route.State) {
		e.bindRegions(v, j, &r)
		b = route.IneligibleReason(s, &r)
	})
	switch b {
	case route.ReasonGone, route.ReasonLeaving, route.ReasonUnconfirmed, route.ReasonEvacuated, route.ReasonBackoff, route.ReasonSoftware, route.ReasonRegionNotAllowed:
		e.reasonTotals.count(b)
		return b
	}
	return route.ReasonNone
}

// bindRegions sets the regions that a job's request is allowed in under a revision. If its
// own isn't one of them, it may use the allowed ones.
func (e *Entry) bindRegions(v *config.View, j *job, r *route.Request) {
	rv, team := v.RouteByName(j.route.Name), v.Teams[j.team.Name]
	if rv == nil {
		return
	}
	if team == nil {
		team = j.team
	}
	r.AllowedRegions, r.RemoteRegions = v.AllowedRegions(rv.Route, team), 0
	if r.AllowedRegions != 0 && !r.AllowedRegions.Has(r.Region) {
		r.RemoteRegions = r.AllowedRegions
	}
}

// reasonCounts counts, by reason, the requests for which no endpoint was eligible, and the
// calls that weren't made because their endpoint had become ineligible.
type reasonCounts struct {
	mu     sync.Mutex
	counts map[route.Reason]uint64
}

func (c *reasonCounts) count(b route.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[route.Reason]uint64{}
	}
	c.counts[b]++
}

// IneligibleCount returns how often a reason kept a request from its endpoints.
func (e *Entry) IneligibleCount(b route.Reason) uint64 {
	e.reasonTotals.mu.Lock()
	defer e.reasonTotals.mu.Unlock()
	return e.reasonTotals.counts[b]
}

// errIneligible is the cause of a call that was not made because its endpoint had become
// ineligible.
var errIneligible = errors.New("the endpoint became unavailable while the request waited")

// ineligibleFailure is the failure of a try whose endpoint became ineligible before it was
// called.
func ineligibleFailure(spec *config.Endpoint, b route.Reason) *retryable {
	refusal := result.Errorf(reasonCode(b), "%s while the request waited: %s", spec.Name, b).After(time.Second)
	return &retryable{endpointName: spec.Name, notSent: b == route.ReasonBackoff, reason: b, refusal: refusal}
}

// admitCall returns why a call may not be made, or nil. It is the last check before each
// call.
func (e *Entry) admitCall(j *job, spec *config.Endpoint) *retryable {
	if j.prefillCalls+j.decodeCalls == 0 && !j.possiblyRan && e.stopsBeforeEnd(j) {
		return &retryable{endpointName: spec.Name, notSent: true, final: true, refusal: stopRefusal()}
	}
	b := e.ineligibleReason(j, spec)
	if b == route.ReasonNone && !e.board.Endpoints.AdmitCall(route.Number(spec.Name), time.Now()) {
		b = route.ReasonBackoff
	}
	if b == route.ReasonNone {
		return nil
	}
	return ineligibleFailure(spec, b)
}

// reasonCode returns the result code of a refusal for a single endpoint's reason.
func reasonCode(b route.Reason) result.Code {
	switch b {
	case route.ReasonCold:
		return result.Cold
	case route.ReasonLimited:
		return result.Limited
	case route.ReasonProbe:
		return result.UnderTrial
	case route.ReasonBackoff:
		return result.Resting
	}
	return result.EndpointRefused
}

// noneEligible is the refusal of a job for which no endpoint of a list is eligible. It names
// the main reason.
func (e *Entry) noneEligible(j *job, what string, list func(g *route.Group) []*route.State) *result.Error {
	mainReason := route.ReasonNone
	var numbers []uint32
	retryAfter, backingOff := time.Duration(0), false
	j.criteria.Now = time.Now()
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		v := fleet.View
		if g := j.group(fleet); g != nil {
			e.bindRegions(v, j, &j.criteria)
			eligible := func(s *route.State) bool { return route.Eligible(s, &j.criteria) }
			if l := list(g); !slices.ContainsFunc(l, eligible) { // else no reason applies to all of them
				mainReason = route.MainReason(l, &j.criteria)
				retryAfter, backingOff = backoffRetryAfter(l, &j.criteria)
			}
			for _, s := range list(g) {
				numbers = append(numbers, s.Number)
			}
		}
	})
	e.reasonTotals.count(mainReason)
	switch mainReason {
	case route.ReasonEvacuated:
		return result.Errorf(result.Evacuated, "no %s is open: %s", what, mainReason).After(evacuatedRetryAfter)
	case route.ReasonCold, route.ReasonLimited:
		return result.Errorf(reasonCode(mainReason), "no %s is open: %s", what, mainReason).After(e.permitRetryAfter(numbers))
	case route.ReasonConnections:
		return result.Errorf(result.TooLate, "no %s is open: %s", what, mainReason).After(e.fullRetryAfter(numbers))
	case route.ReasonDown, route.ReasonNoPath, route.ReasonSoftware:
		return result.Errorf(result.NoEndpoint, "no %s is open: %s", what, mainReason).After(time.Second)
	case route.ReasonRegionNotAllowed:
		return result.Errorf(result.NoHome, "no %s is open: %s", what, mainReason).After(time.Second)
	}
	if backingOff {
		return result.Errorf(result.Resting, "no %s is open: %s", what, route.ReasonBackoff).After(retryAfter)
	}
	return result.Errorf(result.NoEndpoint, "no %s that the route allows is reachable", what).After(time.Second)
}

// backoffRetryAfter returns when a caller should retry if some endpoints are ineligible only
// for a backoff that they asked for, and whether there are any. It is some time after the
// first backoff ends, as a single request is sent there first.
func backoffRetryAfter(list []*route.State, r *route.Request) (retryAfter time.Duration, backingOff bool) {
	retryAfter = time.Duration(math.MaxInt64)
	for _, s := range list {
		if route.IneligibleReason(s, r) == route.ReasonBackoff {
			probe := time.Duration((minCallShare + rand.Float64()) * max(s.Calls.MeanSeconds, minBackoffProbe) * float64(time.Second))
			retryAfter, backingOff = min(retryAfter, max(0, s.Notices.BackoffUntil.Sub(r.Now))+probe), true
		}
	}
	return retryAfter, backingOff
}

// minBackoffProbe is the least time, in seconds, that the first request after a backoff is
// assumed to take.
const minBackoffProbe = 0.05

// fullRetryAfter returns when a caller should retry whose endpoints are all at their call
// limit: after a part of the time of a typical call, by which one of the calls has ended.
// The time is randomized, as callers are refused together.
func (e *Entry) fullRetryAfter(list []uint32) time.Duration {
	took := 0.0
	for _, number := range list {
		e.board.Endpoints.Find(number, func(_ *config.View, s *route.State) { took = max(took, s.Calls.MeanSeconds) })
	}
	if took == 0 {
		return time.Second
	}
	return time.Duration((minCallShare + rand.Float64()) * took * float64(time.Second))
}

// minCallShare is the least part of a typical call after which fullRetryAfter has a caller
// retry. The most is this plus one whole call.
const minCallShare = 0.5

// evacuatedRetryAfter is the retry time for callers whose endpoints are all being
// evacuated. The duration of an evacuation isn't known; operators' work takes at least some
// seconds.
const evacuatedRetryAfter = 2 * time.Second

// moveFromIneligible moves a request from a decode engine that became ineligible to another,
// while its prefill result is kept. It returns an error if there is none.
func (e *Entry) moveFromIneligible(ctx context.Context, j *job, p *plan, kv *endpoint.Transfer, expires time.Time, b route.Reason) error {
	if p.promptCached || kv == nil {
		// The prompt is cached there or would be prefilled there: all endpoints are chosen
		// anew.
		e.releaseDecode(j, p, owner.Abandoned)
		return ineligibleFailure(p.decodeSpec, b)
	}
	e.moveDecode(ctx, j, p, owner.Abandoned, true)
	if p.decodeSpec == nil && b == route.ReasonProbe {
		e.recheckDecode(ctx, j, p, expires)
	}
	if p.decodeSpec == nil {
		e.dropResult(j, p, kv)
		if b == route.ReasonProbe {
			return allDecodesBusy(j, p)
		}
		if none := e.noneEligible(j, "decode endpoint", decodeStates); !j.possiblyRan && none.Code != result.NoEndpoint {
			return none
		}
		return e.wastedPrefill(j, p, errIneligible, false)
	}
	if !wait.For(ctx, min(time.Until(p.transferStart), time.Until(expires))) && ctx.Err() != nil {
		e.discardResult(j, p, kv)
		return asResult(ctx.Err())
	}
	return nil
}

// The states of a group's endpoints, by role.
func prefillStates(g *route.Group) []*route.State { return g.Prefill.All() }
func decodeStates(g *route.Group) []*route.State  { return g.Decode.All() }

// noteEvacuated records that an owner refused a job because the failure domain of its
// endpoint is being evacuated, which this host hasn't learned yet. After two such refusals
// this try asks nothing more there: with a pool of 15 prefill and 49 decode engines, 12
// refused prefill slots or 8 refused memory requests used up all asks of a request though
// other engines were open. A single refusal may come from an owner that hasn't learned of
// the evacuation's end. It returns how many asks the refusal counts for: 0, as it says
// nothing of endpoints elsewhere, or 1 for a domain that the bit set has no bit for, so
// that those asks are bounded too.
func (j *job) noteEvacuated(v *config.View, spec *config.Endpoint) (asks int) {
	i := v.DomainIndex(spec.Domain)
	if i < 0 || i >= bits.UintSize {
		return 1
	}
	domain := uint64(1) << i
	j.criteria.EvacuatedDomains |= j.reportedEvacuated & domain
	j.reportedEvacuated |= domain
	return 0
}

// placementRefusal returns the refusal to report when a request isn't placed. The refusal
// by an endpoint in an evacuated failure domain says nothing of the others, so an earlier
// one is kept.
func placementRefusal(refusal, before *result.Error) *result.Error {
	if refusal.Code == result.Evacuated {
		return before
	}
	return refusal
}
