package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/result"
	"github.com/embercove/embercove/route"
	"github.com/embercove/embercove/versions"
)

// An answer that has begun goes on only at the software version that began it (package versions). The version
// is bound to the job before the caller has the first piece, or when the caller takes the answer up, and is part
// of the job's criteria from then on: every way to an endpoint checks them.

// VersionCounts counts the answers that callers took up.
type VersionCounts struct {
	TakenUp atomic.Uint64 // at the software version that began them
	Unknown atomic.Uint64 // refused, as it isn't known which version began them
	Gone    atomic.Uint64 // refused, as no endpoint runs that version any more
}

// versionRetryAfter is the retry time of a caller whose answer's version may be known to a host that is out of
// reach.
const versionRetryAfter = time.Second

// noEventYet is the event id that a caller without any event may state.
const noEventYet = "0"

// streams reports whether the job's answer may be a stream.
func (j *job) streams() bool { return j.route.Streams || j.route.Resumable }

// takesUp reports whether the caller has events of the answer from an earlier attempt.
func (j *job) takesUp() bool {
	return j.streams() && j.work.LastEventID != "" && j.work.LastEventID != noEventYet
}

// answerID identifies the answer that an attempt of a caller began, on all hosts.
func (j *job) answerID(attempt string) request.Fingerprint {
	return request.FingerprintOf(j.team.Name, config.HostName(j.work.Origin.Host), "", "", []byte(attempt))
}

// bindTakenUp binds a job whose caller takes up an answer to the software version that began it. It returns the
// refusal if that isn't known, or nothing of that version is left.
func (e *Entry) bindTakenUp(ctx context.Context, j *job) *result.Error {
	if !j.takesUp() {
		return nil
	}
	rec, from, complete := versions.Record{}, "", true
	if j.firstAttempt != "" {
		rec, from, complete = e.owners.FindVersion(ctx, j.answerID(j.firstAttempt))
	}
	software, sole := e.soleSoftware(j)
	switch {
	case from == "" && sole:
		rec.Software, from = software, "the only version"
	case j.firstAttempt == "":
		e.Versions.Unknown.Add(1)
		return result.Errorf(result.VersionUnknown, "the request doesn't say which attempt brought the first event, so the software version that began the answer isn't known")
	case from == "" && !complete:
		e.Versions.Unknown.Add(1)
		return result.Errorf(result.VersionUnknown, "no host in reach knows which software version began attempt %.40q", j.firstAttempt).After(versionRetryAfter)
	case from == "":
		e.Versions.Unknown.Add(1)
		return result.Errorf(result.VersionUnknown, "no host knows which software version began attempt %.40q", j.firstAttempt)
	case e.isReplaced(&rec):
		e.Versions.Unknown.Add(1)
		return result.Errorf(result.VersionUnknown, "%s, which began attempt %.40q, runs another software version now, and may have done so then", rec.Endpoint, j.firstAttempt)
	}
	j.criteria.Continues, j.criteria.Software = true, rec.Software
	if !e.servesVersion(j) {
		e.Versions.Gone.Add(1)
		return result.Errorf(result.VersionGone, "software version %.40q, which began attempt %.40q at %s, is gone", rec.Software, j.firstAttempt, rec.Endpoint)
	}
	e.Versions.TakenUp.Add(1)
	if ok, lost := e.logLimiter.admit(j.arrived, &j.logged, false); ok {
		e.log.Info("answer is taken up", zap.Stringer("id", j.id), zap.String("caller_id", j.callerID()), zap.String("first_attempt", j.firstAttempt),
			zap.String("software", rec.Software), zap.String("begun_at", rec.Endpoint), zap.String("known_from", from), zap.Uint64("lines_left_out", lost))
	}
	return nil
}

// bindAnswer binds an answer whose first piece has arrived to the software version of its endpoint, before the
// piece is passed on. It returns the process that answers, and reports whether it may write the answer: one of another
// version may not go on with an answer that is bound already.
func (e *Entry) bindAnswer(ctx context.Context, j *job, spec *config.Endpoint) (at process, mayWrite bool) {
	if !j.criteria.Continues && e.mayResolveLater(j, spec) {
		j.criteria.Continues, j.criteria.Software = true, spec.WithUnknownSoftware().Software
		return process{address: spec.Address}, true
	}
	e.resolveVersion(j)
	if j.criteria.Continues {
		if spec.Software != j.criteria.Software {
			return processOf(spec), false
		}
		return e.confirmedProcess(ctx, spec)
	}
	at, registered := e.answeringProcess(ctx, spec)
	rec := versions.Record{Software: spec.Software, Endpoint: spec.Name}
	j.criteria.Continues, j.criteria.Software = true, spec.Software
	if !registered || e.isReplaced(&rec) {
		j.criteria.Software = spec.WithUnknownSoftware().Software // either process may have written it
		if at.started == 0 {
			j.unconfirmed = &lateVersion{record: rec}
			if j.mayBeTakenUp() {
				j.unconfirmed.record.Answer = j.answerID(j.work.Origin.ID)
			}
			go e.confirmLater(ctx, spec, j.unconfirmed)
		}
		return at, true
	}
	if j.mayBeTakenUp() {
		rec.Answer = j.answerID(j.work.Origin.ID)
		e.owners.RecordVersion(ctx, rec)
	}
	return at, true
}

// attemptsOfAnswer is how many attempts, each held for the route's time-out at most, an answer that is taken up may have
// lasted for.
const attemptsOfAnswer = 2

// soleSoftware returns the software version that began the job's answer, if the endpoints of the route have run no other one
// for as long as the answer may have lasted.
func (e *Entry) soleSoftware(j *job) (software string, ok bool) {
	age, known := j.versionAge()
	if !known || e.board.Config.Behind(time.Now()) > 0 {
		return "", false
	}
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		if g := j.group(fleet); g != nil {
			software, ok = fleet.SoleSoftware(j.answeringStates(g), age, time.Now())
		}
	})
	return software, ok
}

// versionAge returns for how long the job's answer may have lasted. One that its caller takes up began in an earlier attempt.
func (j *job) versionAge() (age time.Duration, known bool) {
	if !j.takesUp() {
		return time.Since(j.arrived), true
	}
	timeout := j.route.Timeout()
	return attemptsOfAnswer * timeout, timeout > 0
}

// mayBeTakenUp reports whether the caller may take up the job's answer in a later attempt.
func (j *job) mayBeTakenUp() bool {
	return j.streams() && j.work.Origin != nil && j.work.Origin.ID != "" && !j.takesUp()
}

// isReplaced reports whether the endpoint that a record names is registered with another software version now.
func (e *Entry) isReplaced(rec *versions.Record) (replaced bool) {
	e.board.Endpoints.Find(route.Number(rec.Endpoint), func(_ *config.View, s *route.State) {
		replaced = s.Spec.Software != rec.Software
	})
	return replaced
}

// mayResolveLater reports whether an endpoint needn't be asked which process began an answer: the question would count
// against the limit that it names, and resolveVersion finds the version if the answer has to go on.
func (e *Entry) mayResolveLater(j *job, spec *config.Endpoint) bool {
	return e.permitReason(spec) == route.ReasonLimited && e.runsOneVersion(j)
}

// runsOneVersion reports whether the endpoints that may answer the job are registered with one software version.
func (e *Entry) runsOneVersion(j *job) (one bool) {
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		if g := j.group(fleet); g != nil {
			_, one = fleet.SoleSoftware(j.answeringStates(g), 0, time.Now())
		}
	})
	return one
}

// resolveVersion binds an answer that goes on, and whose software version isn't known, to that of the process which confirmed
// later that it began it, or to the only version that may have begun it, if there is one.
func (e *Entry) resolveVersion(j *job) {
	if !j.criteria.Continues || !config.IsUnknownSoftware(j.criteria.Software) {
		return
	}
	if j.unconfirmed != nil && j.unconfirmed.confirmed.Load() {
		j.criteria.Software = j.unconfirmed.record.Software
		return
	}
	if software, sole := e.soleSoftware(j); sole {
		j.criteria.Software = software
	}
}

// servesVersion reports whether the route has an endpoint, in use now or not, that may go on with the job's
// answer.
func (e *Entry) servesVersion(j *job) (serves bool) {
	e.board.Endpoints.Read(func(fleet *route.Fleet) {
		g := j.group(fleet)
		if g == nil {
			return
		}
		for _, s := range j.answeringStates(g) {
			serves = serves || !s.IsLeaving() && s.Spec.Software == j.criteria.Software
		}
	})
	return serves
}

// answeringStates returns the endpoints of a group that may answer the job.
func (j *job) answeringStates(g *route.Group) []*route.State {
	if j.prompted {
		return decodeStates(g)
	}
	return serviceStates(g)
}

// answerVersion is the software version that an answer is bound to.
type answerVersion struct {
	software    string
	unconfirmed *lateVersion // nil: the endpoint confirmed its process, or isn't asked
}

// answerVersion returns the software version that the job's answer is bound to.
func (j *job) answerVersion() answerVersion {
	return answerVersion{j.criteria.Software, j.unconfirmed}
}

// bindNext binds the next try of a call whose answer has begun to the software version of the answer, as far as that is known
// by now. The version that the engine is registered with may be another one.
func (n *nextTry) bindNext(v answerVersion) {
	n.job.criteria.Continues, n.job.criteria.Software, n.job.unconfirmed = true, v.software, v.unconfirmed
	n.entry.resolveVersion(&n.job)
}

// keepVersion binds a job whose answer's software version isn't known to the one that its next try was placed by. What told that
// version may be out of date by now, as a later configuration has come.
func (n *nextTry) keepVersion(j *job) {
	placed := &n.job.criteria
	if j.criteria.Continues && config.IsUnknownSoftware(j.criteria.Software) && placed.Continues {
		j.criteria.Software = placed.Software
	}
}

// mayGoOnAt reports whether an endpoint may go on with the job's answer as far as its software is concerned.
func (j *job) mayGoOnAt(spec *config.Endpoint) bool {
	return !j.criteria.Continues || spec.Software == j.criteria.Software
}
