package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
)

// setParts sets the parts of the job's prompt, without the last one, by the names that its caller gives them. What
// is known of a part holds for one team, host name and pool: a caller can't have the parts of others refused.
func (j *job) setParts(host string, names []string) {
	for _, name := range names[:min(len(names), quarantine.MaxParts)] {
		key := request.FingerprintOf(j.team.Name, config.HostName(host), j.pool, "part", []byte(name))
		j.parts = append(j.parts, quarantine.Part{Key: key, Name: name[:min(len(name), maxPartName)]})
	}
}

// maxPartName is how much of a part's name is kept, in bytes.
const maxPartName = 32

// suspicion is what crashes of endpoints say of a job: of its whole request, or of a part of its prompt.
type suspicion struct {
	verdict quarantine.Verdict
	retryIn time.Duration
	ofPart  bool
	part    quarantine.PartVerdict
}

// suspicionOf returns what crashes of endpoints say of a job.
func (e *Entry) suspicionOf(j *job) suspicion {
	now := clock.Now()
	verdict, retryIn := e.board.Suspects.EvaluateFor(j.fingerprint, j.probeHolder(), now)
	part := e.board.Parts.Evaluate(j.parts, now)
	if part.Verdict > verdict || part.Verdict == verdict && verdict == quarantine.Suspect {
		return suspicion{part.Verdict, part.Backoff, true, part}
	}
	return suspicion{verdict: verdict, retryIn: retryIn}
}

// noSuspects reports whether no crash of an endpoint under a request is known.
func (e *Entry) noSuspects() bool { return e.board.Suspects.Empty() && e.board.Parts.Empty() }

// recordSound records that an engine began to write on the parts of a job's prompt at a time, and went on.
func (e *Entry) recordSound(parts []quarantine.Part, began time.Time) {
	if len(parts) == 0 {
		return
	}
	if news := e.board.Parts.RecordSound(parts, began, clock.Now()); !news.IsEmpty() {
		e.owners.AnnounceParts(news)
	}
}

// settle records that a job's answer has progressed well, which speaks for its request and for its parts.
func (e *Entry) settle(j *job, w *watchdog) {
	e.settleProbe(j)
	if !w.sound {
		w.sound = true
		e.recordSound(j.parts, clock.Now().Add(-w.answeringTime()))
	}
}

// recordPartCrashes records that an endpoint crashed under runs that had just begun to write on parts of prompts.
func (e *Entry) recordPartCrashes(check *crashCheck, runs []quarantine.Run) {
	now := clock.Now()
	var news quarantine.PartNews
	for process, runs := range check.byProcess(runs) {
		for _, run := range runs {
			news.Crashes = append(news.Crashes, e.board.Parts.RecordCrash(run, process, check.spec.Name, now).Crashes...)
		}
	}
	if news.IsEmpty() {
		return
	}
	e.owners.AnnounceParts(news)
	for _, crash := range news.Crashes {
		e.logPartCrash(crash, now)
	}
}

// logPartCrash logs the parts of a run under which an endpoint crashed, and what a request with them may do now
// because of which part.
func (e *Entry) logPartCrash(crash quarantine.PartCrash, now time.Time) {
	var names []string
	var parts []quarantine.Part
	for _, s := range crash.Parts {
		names, parts = append(names, s.Name), append(parts, quarantine.Part{Key: s.Part, Name: s.Name})
	}
	v := e.board.Parts.Evaluate(parts, now)
	e.log.Warn("endpoint ended as it began to write on parts", zap.String("endpoint", crash.Endpoint), zap.Stringer("request", crash.Request),
		zap.Strings("parts", names), zap.Stringer("verdict", v.Verdict), zap.String("because_of", v.Part.Name))
}
