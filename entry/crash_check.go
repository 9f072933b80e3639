package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/embercove/embercove/clock"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/internal/wait"
	"github.com/embercove/embercove/quarantine"
	"github.com/embercove/embercove/route"
)

// crashCheck is the check of one endpoint process that broke calls off.
type crashCheck struct {
	proc       process
	spec       *config.Endpoint
	planned    bool          // it was leaving when the first call broke off
	since      time.Time     // when the first call broke off
	firstCheck chan struct{} // closed after the first check
	refused    atomic.Bool   // nothing listened at its address

	// Guarded by crashTracker.mu.
	finding quarantine.Finding
	foundAt time.Time // when the finding was made
	runs    []quarantine.Run
	holders []uint64 // of probes, parallel to runs
}

// crashTracker holds the processes that broke off calls recently.
type crashTracker struct {
	entry  *Entry
	mu     sync.Mutex
	checks map[process]*crashCheck
	// startTimes are process start times taken from reports, by address, where they are
	// later than the registered ones. Without them the next call that breaks off at such a
	// process would count as a crash, because the process that answers there is later than
	// the registered one.
	startTimes map[string]int64
}

// process returns the process that a call to an endpoint is made to. Its start time
// is the registered one, or a later one that a report showed.
func (s *crashTracker) process(spec *config.Endpoint) process {
	at := processOf(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch started := s.startTimes[at.address]; {
	case at.started == 0 || started == 0:
	case started <= at.started:
		delete(s.startTimes, at.address)
	default:
		at.started = started
	}
	return at
}

// track adds a call that broke off to the check of its process, and starts the check if
// there is none.
func (s *crashTracker) track(r engineRun, holder uint64) *crashCheck {
	s.mu.Lock()
	check := s.checks[r.proc]
	if check != nil && check.finding == quarantine.FindingCrashed && r.started.Before(check.foundAt) {
		s.mu.Unlock()
		s.entry.recordCrash(check, []quarantine.Run{r.Run}, []uint64{holder})
		return check
	}
	if check == nil || check.finding != quarantine.FindingUnknown {
		check = &crashCheck{proc: r.proc, spec: r.spec, planned: s.entry.isLeaving(r.spec), since: clock.Now(), firstCheck: make(chan struct{})}
		s.checks[r.proc] = check
		go s.poll(check)
	}
	check.runs, check.holders = append(check.runs, r.Run), append(check.holders, holder)
	s.mu.Unlock()
	return check
}

// findingOf returns what is known of a process.
func (s *crashTracker) findingOf(check *crashCheck) quarantine.Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return check.finding
}

// poll checks an endpoint until it is known what became of its process, or for
// quarantine.PollFor.
func (s *crashTracker) poll(check *crashCheck) {
	// The first check connects whatever was found before. If the endpoint is silent, more of that would ask many hosts
	// for tunnels again and again.
	ctx := endpoint.WithFreshAttempt(context.Background())
	first := true
	for {
		finding := s.entry.checkProcess(ctx, check)
		since := clock.Now().Sub(check.since)
		over := finding != quarantine.FindingUnknown || since >= quarantine.PollFor
		if over {
			s.conclude(check, finding)
		}
		if first {
			close(check.firstCheck)
			first = false
		}
		if over {
			break
		}
		ctx = context.Background()
		wait.For(ctx, quarantine.NextPoll(since))
	}
	if s.findingOf(check) == quarantine.FindingCrashed {
		wait.For(ctx, quarantine.PollFor) // for calls that detect later that they broke off
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checks[check.proc] == check {
		delete(s.checks, check.proc)
	}
}

// conclude records what became of a process and ends the probes of its runs.
func (s *crashTracker) conclude(check *crashCheck, f quarantine.Finding) {
	unresolved := f == quarantine.FindingUnknown
	if unresolved {
		f = quarantine.FindingAlive // there is no sign of a crash
	}
	s.mu.Lock()
	check.finding, check.foundAt = f, clock.Now()
	runs, holders := check.runs, check.holders
	check.runs, check.holders = nil, nil
	s.mu.Unlock()
	if f == quarantine.FindingCrashed {
		s.entry.recordCrash(check, runs, holders)
		return
	}
	if unresolved {
		s.entry.recordUnresolved(check, runs)
	}
	end := quarantine.ProbeOver
	if unresolved {
		end = quarantine.ProbeCrashed
	}
	s.entry.endProbes(runs, holders, end)
}

// recordUnresolved records that nobody could tell whether an endpoint crashed under some runs.
func (e *Entry) recordUnresolved(check *crashCheck, runs []quarantine.Run) {
	for _, run := range runs {
		if run.IsSuspected() {
			rows := e.board.Suspects.RecordUnresolved(run, run.Process, check.spec.Name, clock.Now())
			e.log.Info("endpoint may have ended under a suspected request", zap.String("endpoint", check.spec.Name), zap.Stringer("request", run.Request), zap.Bool("counted", len(rows) > 0))
			e.announceMarks(rows)
		}
	}
}

// crashCheckTimeout bounds one look for signs of a process. Hosts of other regions may have to confirm that
// nothing listens at its address.
const crashCheckTimeout = 300 * time.Millisecond

// checkProcess looks for signs of a process, at its address and in the endpoint's
// registration.
func (e *Entry) checkProcess(ctx context.Context, check *crashCheck) quarantine.Finding {
	evidence, started := e.processEvidence(ctx, check.proc, crashCheckTimeout)
	e.board.Endpoints.Find(route.Number(check.spec.Name), func(_ *config.View, s *route.State) {
		if check.proc.started > 0 && s.Spec.Born > check.proc.started {
			evidence = quarantine.EvidenceRestarted
		}
	})
	if evidence == quarantine.EvidenceRefused {
		check.refused.Store(true)
	}
	if started > check.proc.started {
		e.crashes.mu.Lock()
		e.crashes.startTimes[check.proc.address] = started
		e.crashes.mu.Unlock()
	}
	return evidence.Evaluate(check.planned)
}

// isLeaving reports whether an endpoint is about to stop as planned: it is leaving, it is
// being evacuated, or its registration was withdrawn.
func (e *Entry) isLeaving(spec *config.Endpoint) bool {
	leaving := true
	e.board.Endpoints.Find(route.Number(spec.Name), func(_ *config.View, s *route.State) {
		leaving = s.IsLeaving() || s.Evacuated
	})
	return leaving
}

// recordCrash records that an endpoint crashed under some runs.
func (e *Entry) recordCrash(check *crashCheck, runs []quarantine.Run, holders []uint64) {
	var rows []quarantine.Row
	for process, runs := range check.byProcess(runs) {
		rows = append(rows, e.board.Suspects.RecordCrash(runs, process, check.spec.Name, clock.Now())...)
	}
	e.logCrash(check, runs, rows)
	e.announceMarks(rows)
	e.recordPartCrashes(check, runs)
	e.endProbes(runs, holders, quarantine.ProbeCrashed)
	time.AfterFunc(quarantine.ExplainWait, func() {
		due := e.board.Suspects.DueRows(clock.Now())
		if len(due) > 0 {
			e.logCrash(check, nil, due)
		}
		e.announceMarks(due)
	})
}

// byProcess groups runs by the process that crashed under them. Where nothing listens, it is the one that they began at. A
// later start may as well be that of the process that they began at, whose start time wasn't known yet.
func (c *crashCheck) byProcess(runs []quarantine.Run) map[quarantine.Process][]quarantine.Run {
	if !c.refused.Load() {
		return map[quarantine.Process][]quarantine.Run{quarantine.ProcessOf(c.proc.address, c.proc.started): runs}
	}
	out := map[quarantine.Process][]quarantine.Run{}
	for _, run := range runs {
		out[run.Process] = append(out[run.Process], run)
	}
	return out
}
