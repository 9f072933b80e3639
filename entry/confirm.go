package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/route"
	"github.com/embercove/embercove/versions"
)

// An endpoint's registration may be late, so the process that answers is asked for its start time before its registration is
// believed.

// maxStartAsks is how often an endpoint is asked when it started, as a single answer may be lost.
const maxStartAsks = 2

// answeringProcess returns the process of an endpoint that answers calls now, without a start time if it doesn't confirm
// one, and whether it is the one that its registration states, which may be late. Endpoints whose registrations state no
// start times have another name after each start.
func (e *Entry) answeringProcess(ctx context.Context, spec *config.Endpoint) (at process, registered bool) {
	at = processOf(spec)
	if spec.Born == 0 {
		return at, true
	}
	for range maxStartAsks {
		switch evidence, started := e.processEvidence(ctx, at, reportTimeout); evidence {
		case quarantine.EvidenceAlive:
			return at, true
		case quarantine.EvidenceRestarted:
			return process{spec.Address, started}, false
		}
	}
	return process{address: spec.Address}, false
}

// Times of confirmations that an answer waits for.
const (
	// maxConfirmWait is how long an answer that can go on nowhere else waits for its endpoint to confirm its process: as long as
	// one that is alive may be silent.
	maxConfirmWait = tokenStall
	// lateConfirmEach is the time between two asks while the answer goes on.
	lateConfirmEach = 200 * time.Millisecond
)

// confirmedProcess is like answeringProcess for an endpoint that has begun to go on with an answer. That is lost without a
// confirmation, so an endpoint that is slow to answer is asked again, and the registration of a later process is waited for
// and has to state the same software version.
func (e *Entry) confirmedProcess(ctx context.Context, spec *config.Endpoint) (at process, registered bool) {
	for end := time.Now().Add(maxConfirmWait); ; {
		latest := e.latestRegistration(spec)
		if latest.Software != spec.Software {
			return at, false
		}
		at, registered = e.answeringProcess(ctx, latest)
		if registered || time.Now().After(end) || !wait.For(ctx, reportTimeout) {
			return at, registered
		}
	}
}

// latestRegistration returns an endpoint as it is registered now, or as given if it isn't registered at that address any more.
func (e *Entry) latestRegistration(spec *config.Endpoint) *config.Endpoint {
	latest := spec
	e.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, s *route.State) {
		if s.Spec.Address == spec.Address {
			latest = s.Spec
		}
	})
	return latest
}

// lateVersion is the software version of an answer whose endpoint didn't confirm its process as it began.
type lateVersion struct {
	record    versions.Record
	confirmed atomic.Bool
}

// confirmLater asks the endpoint of an answer which process runs there until it confirms the registered one, which has then
// written the answer. It ends with ctx.
func (e *Entry) confirmLater(ctx context.Context, spec *config.Endpoint, v *lateVersion) {
	for wait.For(ctx, lateConfirmEach) {
		if e.permitReason(spec) == route.ReasonLimited {
			continue // the question would count against the limit that it names
		}
		at, registered := e.answeringProcess(ctx, spec)
		if at.started > 0 && !registered {
			return // another process runs there: either may have written it
		}
		if !registered {
			continue
		}
		v.confirmed.Store(true)
		if !v.record.Answer.IsZero() {
			e.owners.RecordVersion(ctx, v.record)
		}
		return
	}
}

// isRegistered reports whether an endpoint confirms that it is the process that its registration states.
func (e *Entry) isRegistered(ctx context.Context, spec *config.Endpoint) bool {
	_, registered := e.answeringProcess(ctx, spec)
	return registered
}
