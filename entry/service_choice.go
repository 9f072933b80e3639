package entry

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// bestService selects the endpoint with the fewest calls from this host, preferring the own
// failure domain. Recent failures, and having been unreachable or full just now, count as
// calls. A call that has failed once isn't tried at an endpoint that was unreachable just
// now: it is refused instead, in time to go elsewhere. duration is that of a typical call
// there; it is forever if the endpoint was full or unreachable just now.
func (e *Entry) bestService(j *job) (spec *config.Endpoint, duration time.Duration) {
	j.criteria.Now = time.Now()
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		if j.criteria.Group = j.group(fleet); j.criteria.Group == nil {
			return
		}
		e.bindRegions(fleet.View, j, &j.criteria)
		eligible := func(s *route.State) bool {
			return route.Eligible(s, &j.criteria) && (j.repeatable || s.Spec.NotRepeatableAllows) && !(j.tries > 1 && s.Calls.IsUnreachable(j.criteria.Now))
		}
		best := fleet.PickService(&j.criteria, eligible, func(s *route.State) float64 { return serviceCost(s, &j.criteria) })
		if best != nil {
			spec, duration = best.Spec, callTime(best, j.criteria.Now)
		}
	})
	return spec, duration
}

// callTime returns how long a call at an endpoint typically takes, from this host's own
// calls.
func callTime(s *route.State, now time.Time) time.Duration {
	if s.Calls.IsUnreachable(now) || now.Before(s.Calls.FullUntil) {
		return forever
	}
	return time.Duration(s.Calls.MeanSeconds * float64(time.Second))
}

// Penalties of a service endpoint, as the number of calls that another endpoint may have
// more before this one is selected.
const (
	otherDomainPenalty = 4
	coldPenalty        = 8 // a failure domain that comes back is filled once the others are busy
	limitedPenalty     = 8 // an endpoint that names a limit takes what the others have no capacity for
	failingPenalty     = 12.0
	unreachablePenalty = 1000.0
	fullPenalty        = 50.0
	slowPenalty        = 40.0 // per second of the mean call time
)

func serviceCost(s *route.State, r *route.Request) float64 {
	cost := float64(s.InFlight) + failingPenalty*s.Calls.FailureRate(r.Now) + slowPenalty*s.Calls.MeanSeconds
	if s.Domain != r.EntryDomain {
		cost += otherDomainPenalty
	}
	if s.IsCold(r.Now) {
		cost += coldPenalty
	}
	if s.IsLimited(r.Now) {
		cost += limitedPenalty
	}
	if s.Calls.IsUnreachable(r.Now) {
		cost += unreachablePenalty
	}
	if r.Now.Before(s.Calls.FullUntil) {
		cost += fullPenalty
	}
	return cost
}
