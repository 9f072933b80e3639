package entry

import (
	"context"
	"time"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/quarantine"
)

// When a call breaks off, its endpoint is asked whether the process is gone: at once, and
// again until that is known. Calls that broke off at the same process share these checks.
// Until then the runs that were in progress are remembered, even after their callers were
// answered.

// engineRun is a call to an endpoint that runs a request.
type engineRun struct {
	quarantine.Run
	spec    *config.Endpoint
	proc    process
	started time.Time
	partial bool // it resumes from a part of the answer
	first   bool // of its probe
}

// beginRun records what is known of a request as a call to an endpoint begins.
func (e *Entry) beginRun(j *job, spec *config.Endpoint, s quarantine.Stage) engineRun {
	run := e.board.Suspects.Begin(j.fingerprint, s, j.teamNumber)
	run.Parts = j.parts
	first := j.probing && !j.probeSent
	j.probeSent = j.probing
	proc := e.crashes.process(spec)
	run.Process = e.processName(proc)
	return engineRun{Run: run, spec: spec, proc: proc, started: clock.Now(), partial: j.resumes(), first: first}
}

// maxSuccessors is how many processes after one whose start time is known get names of their own.
const maxSuccessors = 8

// processName returns the name of the process that a call is about to be made to. The known start time may be that of a
// process that has crashed since: the one that is called has another name.
func (e *Entry) processName(p process) quarantine.Process {
	name := quarantine.ProcessOf(p.address, p.started)
	if e.noSuspects() {
		return name
	}
	for range maxSuccessors {
		if !e.board.Suspects.HasCrashed(name) {
			break
		}
		name = quarantine.SuccessorOf(name)
	}
	return name
}

// endRun records how a call ended. chunks is how many chunks it produced. A call that
// resumed from a part of its answer didn't run all of the request, so its success clears no
// mark.
func (e *Entry) endRun(ctx context.Context, j *job, r engineRun, chunks int, err error) {
	if err == nil && r.Stage == quarantine.Running {
		e.recordSound(r.Parts, r.started)
	}
	r.Old = chunks > 0 && clock.Now().Sub(r.started) > quarantine.YoungFor
	switch {
	case err == nil && r.Stage == quarantine.Prefilling: // its probe goes on until it is decoded
		e.announceMarks(e.board.Suspects.RecordSuccess(r.Run, clock.Now()))
	case err == nil && !r.partial:
		e.announceMarks(e.board.Suspects.RecordSuccess(r.Run, clock.Now()))
		e.endProbe(j)
	case err == nil:
		e.endProbe(j)
	case endpoint.BrokenOff(err) && ctx.Err() == nil:
		e.endBrokenRun(ctx, j, r)
	case endpoint.Unreachable(err) && r.first:
		j.probeSent = false
	case r.IsSuspected() && endpoint.MayHaveRun(err):
		e.endFailedProbe(ctx, j, r, err)
	}
}

// endFailedProbe ends the run of a suspected request that failed without breaking off, or whose caller left. An endpoint that
// fell silent may be about to crash, so that its process is watched; any further run needs a probe of its own.
func (e *Entry) endFailedProbe(ctx context.Context, j *job, r engineRun, err error) {
	if endpoint.Answered(err) && ctx.Err() == nil {
		e.endProbe(j)
	} else {
		e.crashes.track(r, j.probeHolder())
		j.leaveProbe()
	}
	j.failedProbes++
}

// endBrokenRun starts the crash check for the endpoint of a call that broke off. A request
// that may be repeated waits for the first result: a crash counts against its further tries.
func (e *Entry) endBrokenRun(ctx context.Context, j *job, r engineRun) {
	check := e.crashes.track(r, j.probeHolder())
	j.leaveProbe()
	j.failedProbes++
	if !j.repeatable {
		return
	}
	limited, cancel := context.WithTimeout(ctx, reportTimeout+maxTimerDelay)
	defer cancel()
	select {
	case <-check.firstCheck:
	case <-limited.Done():
	}
	if e.crashes.findingOf(check) == quarantine.FindingCrashed {
		if r.Stage == quarantine.Running || e.traits.PrefillRuns {
			j.crashedCalls++
		}
		if !r.Old {
			j.crashCount++
		}
	}
}

// announceMarks sends changed failure marks to all hosts.
func (e *Entry) announceMarks(rows []quarantine.Row) {
	if len(rows) > 0 {
		e.owners.AnnounceMarks(rows)
	}
}

// endProbes ends the probes of runs, if they were any.
func (e *Entry) endProbes(runs []quarantine.Run, holders []uint64, end quarantine.ProbeEnd) {
	if e.noSuspects() {
		return
	}
	for i, r := range runs {
		go e.owners.EndProbe(r.Request, holders[i], end)
	}
}
