package owner

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// While a failure domain is evacuated, the owners of its endpoints admit no requests and
// reserve no memory. Running requests finish, so endpoints are still polled and orphans still
// cancelled. Reservations already made are released by the hosts that hold them, when their
// prefill would begin; nobody else can use that memory in the meantime.

// evacuatedRetry is the retry delay in refusals by evacuated endpoints. It has no effect in
// practice: the request is placed elsewhere at once.
const evacuatedRetry = 2 * time.Second

// refuseEvacuated returns a refusal if the endpoint's failure domain is evacuated, nil otherwise.
// It reads the view in use, which is stored before RefuseEvacuated is called. The caller holds the
// scheduler's lock, so that no request is admitted after RefuseEvacuated has cleared the queue.
func (o *Owner) refuseEvacuated(sched *Scheduler) *result.Error {
	v := o.board.Config.View()
	if v == nil {
		return nil
	}
	spec := v.Endpoints.Get(sched.number)
	if spec == nil || !v.IsEvacuated(spec) {
		return nil
	}
	o.EvacuationRefusals.Add(1)
	return evacuatedError(spec)
}

func evacuatedError(spec *config.Endpoint) *result.Error {
	return result.Errorf(result.Evacuated, "the failure domain of endpoint %s is evacuated", spec.Name).After(evacuatedRetry)
}

// RefuseEvacuated refuses the queued requests of endpoints whose failure domain is evacuated in the view
// in use, so that their hosts place them elsewhere.
func (o *Owner) RefuseEvacuated(v *config.View) {
	o.mu.Lock()
	schedulers := make([]*Scheduler, 0, len(o.schedulers))
	for _, sched := range o.schedulers {
		schedulers = append(schedulers, sched)
	}
	o.mu.Unlock()
	for _, sched := range schedulers {
		if spec := v.Endpoints.Get(sched.number); spec != nil && v.IsEvacuated(spec) {
			o.EvacuationRefusals.Add(sched.refuseQueued(spec))
		}
	}
}

// refuseQueued refuses all queued requests and returns their number.
func (s *Scheduler) refuseQueued(spec *config.Endpoint) (n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue == nil {
		return 0
	}
	for _, it := range s.queue.Clear() {
		it.Result <- evacuatedError(spec)
		n++
	}
	return n
}
