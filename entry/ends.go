package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/request"
	"github.com/embercove/embercove/route"
)

// Where a call breaks off, the endpoint is asked whether its process is gone: at once, and
// again until that is known. Calls that broke off at the same process share the asking. What
// was in progress is remembered that long, also after the callers had their answers.

// run is a call to an endpoint that runs a request.
type run struct {
	quarantine.Run
	spec  *config.Endpoint
	at    process
	began time.Time
	part  bool // it goes on from a part of the answer
}

// beginRun notes what is known of a request as a call to an endpoint begins.
func (e *Entry) beginRun(j *job, spec *config.Endpoint, s quarantine.Stage) run {
	return run{Run: e.board.Suspects.Begin(j.asks, s, j.teamNum), spec: spec, at: e.ends.process(spec), began: clock.Now(), part: j.resumes()}
}

// endRun takes in how a call ended. pieces came of it, and it began at some moment. One that
// went on from a part of its answer didn't run all of the request, so it clears nothing.
func (e *Entry) endRun(ctx context.Context, j *job, r run, pieces int, err error) {
	switch {
	case err == nil && !r.part:
		e.tellMarks(e.board.Suspects.Whole(r.Run, clock.Now()))
		e.endTrial(j)
	case err == nil:
		e.endTrial(j)
	case endpoint.BrokenOff(err) && ctx.Err() == nil:
		r.Old = pieces > 0 && clock.Now().Sub(r.began) > quarantine.YoungFor
		e.endBroken(ctx, j, r)
	}
}

// endBroken has the endpoint of a call that broke off looked into.
func (e *Entry) endBroken(ctx context.Context, j *job, r run) {
	en := e.ends.follow(r, j.holder())
	if !j.repeatable {
		j.trial, j.settled = false, false // it ends with what is found
		return
	}
	limited, cancel := context.WithTimeout(ctx, askWait+askLate)
	defer cancel()
	select {
	case <-en.asked:
	case <-limited.Done():
	}
	if e.ends.found(en) == quarantine.FindingEnded {
		j.trial, j.settled = false, false
		if !r.Old {
			j.ended++
		}
	}
}

// ended is a process of an endpoint that broke calls off.
type ended struct {
	at      process
	spec    *config.Endpoint
	planned bool          // it was leaving
	since   time.Time     // when the first call broke off
	asked   chan struct{} // closed after the first ask

	// Guarded by ends.mu.
	finding quarantine.Finding
	found   time.Time // when that was found
	runs    []quarantine.Run
	holders []uint64 // of trials, in the order of runs
}

// ends are the processes that broke calls off lately.
type ends struct {
	e  *Entry
	mu sync.Mutex
	of map[process]*ended
	// born are the starts that reports told of, by address, where they are later than what
	// is registered: else the next call to such a process that broke off would count as an
	// end, as a later process answers there than the registered one.
	born map[string]int64
}

// process returns the process that a call to an endpoint is made to, as far as is known.
func (s *ends) process(spec *config.Endpoint) process {
	at := processOf(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch born := s.born[at.address]; {
	case at.born == 0 || born == 0:
	case born <= at.born:
		delete(s.born, at.address)
	default:
		at.born = born
	}
	return at
}

// follow has the process of a call that broke off looked into.
func (s *ends) follow(r run, holder uint64) *ended {
	s.mu.Lock()
	en := s.of[r.at]
	if en != nil && en.finding == quarantine.FindingEnded && r.began.Before(en.found) {
		s.mu.Unlock()
		s.e.noteEnd(en, []quarantine.Run{r.Run}, []uint64{holder})
		return en
	}
	if en == nil || en.finding != quarantine.FindingOpen {
		en = &ended{at: r.at, spec: r.spec, planned: s.e.leaves(r.spec), since: clock.Now(), asked: make(chan struct{})}
		s.of[r.at] = en
		go s.ask(en)
	}
	en.runs, en.holders = append(en.runs, r.Run), append(en.holders, holder)
	s.mu.Unlock()
	return en
}

// found returns what is known of a process.
func (s *ends) found(en *ended) quarantine.Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return en.finding
}

// ask asks an endpoint until it is known what became of its process, or for too long.
func (s *ends) ask(en *ended) {
	ctx := context.Background()
	first := true
	for {
		finding := s.e.lookAt(ctx, en)
		since := clock.Now().Sub(en.since)
		over := finding != quarantine.FindingOpen || since >= quarantine.AskFor
		if over {
			s.conclude(en, finding)
		}
		if first {
			close(en.asked)
			first = false
		}
		if over {
			break
		}
		wait.For(ctx, quarantine.NextAsk(since))
	}
	if s.found(en) == quarantine.FindingEnded {
		wait.For(ctx, quarantine.AskFor) // for calls that notice later that they broke off
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.of[en.at] == en {
		delete(s.of, en.at)
	}
}

// conclude notes what became of a process.
func (s *ends) conclude(en *ended, f quarantine.Finding) {
	if f == quarantine.FindingOpen {
		f = quarantine.FindingLives // nothing speaks for its end
	}
	s.mu.Lock()
	en.finding, en.found = f, clock.Now()
	runs, holders := en.runs, en.holders
	en.runs, en.holders = nil, nil
	s.mu.Unlock()
	if f == quarantine.FindingEnded {
		s.e.noteEnd(en, runs, holders)
		return
	}
	s.e.doneTrials(runs, holders)
}

// lookAt looks for signs of a process, at its address and in what registered itself.
func (e *Entry) lookAt(ctx context.Context, en *ended) quarantine.Finding {
	sign, born := e.signOf(ctx, en.at)
	e.board.Endpoints.Find(route.Number(en.spec.Name), func(_ *config.View, s *route.State) {
		if en.at.born > 0 && s.Spec.Born > en.at.born {
			sign = quarantine.SignLater
		}
	})
	if born > en.at.born {
		e.ends.mu.Lock()
		e.ends.born[en.at.address] = born
		e.ends.mu.Unlock()
	}
	return sign.Judge(en.planned)
}

// leaves reports whether an endpoint is about to end as planned: it is leaving or being
// emptied, or has withdrawn its registration.
func (e *Entry) leaves(spec *config.Endpoint) bool {
	leaves := true
	e.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, s *route.State) {
		leaves = s.IsLeaving() || s.Evacuated
	})
	return leaves
}

// noteEnd notes that an endpoint ended under some runs.
func (e *Entry) noteEnd(en *ended, runs []quarantine.Run, holders []uint64) {
	process := quarantine.ProcessOf(en.at.address, en.at.born)
	rows := e.board.Suspects.Ended(runs, process, en.spec.Name, clock.Now())
	e.logEnded(en, runs, rows)
	e.tellMarks(rows)
	e.doneTrials(runs, holders)
	time.AfterFunc(quarantine.ExplainWait, func() {
		due := e.board.Suspects.Due(clock.Now())
		if len(due) > 0 {
			e.logEnded(en, nil, due)
		}
		e.tellMarks(due)
	})
}

// logEnded writes a line for an endpoint that ended under some runs, with those that are
// suspected of it since.
func (e *Entry) logEnded(en *ended, runs []quarantine.Run, rows []quarantine.Row) {
	slices.SortStableFunc(rows, func(a, b quarantine.Row) int { return int(b.Mark.Ends) - int(a.Mark.Ends) })
	e.log.Warn("endpoint ended under requests", zap.String("endpoint", en.spec.Name), zap.String("address", en.at.address),
		zap.Int("requests", len(runs)), zap.Stringers("suspects", fingerprints(rows)), zap.Uint32s("ends", endsOf(rows)))
}

// mostLogged is how many fingerprints a log line names.
const mostLogged = 16

func fingerprints(rows []quarantine.Row) (out []request.Fingerprint) {
	for _, r := range rows[:min(len(rows), mostLogged)] {
		out = append(out, r.Request)
	}
	return out
}

func endsOf(rows []quarantine.Row) (out []uint32) {
	for _, r := range rows[:min(len(rows), mostLogged)] {
		out = append(out, r.Mark.Ends)
	}
	return out
}

// tellMarks tells all hosts what changed.
func (e *Entry) tellMarks(rows []quarantine.Row) {
	if len(rows) > 0 {
		e.owners.TellMarks(rows)
	}
}

// doneTrials ends the trials of runs, if they were any.
func (e *Entry) doneTrials(runs []quarantine.Run, holders []uint64) {
	if e.board.Suspects.Quiet() {
		return
	}
	for i, r := range runs {
		go e.owners.TrialDone(r.Request, holders[i], false)
	}
}
