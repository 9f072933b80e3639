package entry

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/route"
)

// bestService takes the endpoint with the fewest calls from this host, of
// the own failure domain first. Failures that were seen and a reach that was
// lost weigh as calls. A call that has failed once isn't tried at an endpoint
// that was just out of reach: it is refused instead, in time to go elsewhere. It returns
// as well how long a call takes there by what was seen, forever if it was full or out of
// reach just now.
func (e *Entry) bestService(j *job) (spec *config.Endpoint, takes time.Duration) {
	j.pick.Now = time.Now()
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		if j.pick.Group = j.group(fleet); j.pick.Group == nil {
			return
		}
		e.bind(fleet.View, j, &j.pick)
		open := func(s *route.State) bool {
			return route.Open(s, &j.pick) && (j.repeatable || s.Spec.NotRepeatableAllows) && !(j.tries > 1 && s.Seen.Shunned(j.pick.Now))
		}
		best := fleet.PickService(&j.pick, open, func(s *route.State) float64 { return serviceCost(s, &j.pick) })
		if best != nil {
			spec, takes = best.Spec, callTakes(best, j.pick.Now)
		}
	})
	return spec, takes
}

// callTakes returns how long a call at an endpoint takes by what this host saw.
func callTakes(s *route.State, now time.Time) time.Duration {
	if s.Seen.Shunned(now) || now.Before(s.Seen.Full) {
		return forever
	}
	return time.Duration(s.Seen.Took * float64(time.Second))
}

// Costs of an endpoint of a service, in calls that it may have more of than
// another before that one is taken.
const (
	otherDomainCalls = 4
	coldCalls        = 8 // a failure domain that returns is filled once the others are busy
	limitedCalls     = 8 // one that names a limit takes what the others have no room for
	failingCalls     = 12.0
	shunnedCalls     = 1000.0
	fullCalls        = 50.0
	slowCalls        = 40.0 // for each second that an answer takes on average
)

func serviceCost(s *route.State, r *route.Request) float64 {
	cost := float64(s.Sent) + failingCalls*s.Seen.Failing(r.Now) + slowCalls*s.Seen.Took
	if s.Domain != r.Home {
		cost += otherDomainCalls
	}
	if s.Cold(r.Now) {
		cost += coldCalls
	}
	if s.Limited(r.Now) {
		cost += limitedCalls
	}
	if s.Seen.Shunned(r.Now) {
		cost += shunnedCalls
	}
	if r.Now.Before(s.Seen.Full) {
		cost += fullCalls
	}
	return cost
}
