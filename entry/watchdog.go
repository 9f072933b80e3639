package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/embercove/embercove/blackboard"
	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/endpoint"
	"github.com/embercove/embercove/quarantine"
)

// watchdog cancels a call that makes no progress.
type watchdog struct {
	limit          time.Duration
	mu             sync.Mutex // held while the timer is set or stopped
	timer          *time.Timer
	stopped        bool         // the call has ended
	lastProgress   atomic.Int64 // Unix time in ns
	checksLiveness atomic.Bool  // before it cancels, it asks the engine whether it is alive
	fired          atomic.Bool
	check          livenessCheck            // the last one; guarded by mu
	chunks         int                      // that the caller has; guarded by mu
	eventID        string                   // of the last of them; guarded by mu
	answering      atomic.Bool              // the answer has begun
	version        answerVersion            // of the answer, once it has begun; guarded by mu
	sound          bool                     // it has progressed well; used by the goroutine that relays it
	called         *atomic.Pointer[process] // that answers the call; nil: not used
	first          time.Time
	last           time.Time
	chunkGaps      int           // between the chunks of the answer so far
	longestGap     time.Duration // of these
}

// callControl is what a watchdog needs to know of its call.
type callControl struct {
	checkLiveness func() livenessCheck
	// mayCancel reports whether the call may be canceled although its engine may go on.
	mayCancel func(w *watchdog) bool
	cancel    func()
}

// newWatchdog returns a watchdog that cancels a call after limit, if it may be left. With
// liveness checks, an engine that is alive is waited for until it has been silent for
// maxSilence.
func newWatchdog(limit, maxSilence time.Duration, s callControl) *watchdog {
	w := &watchdog{limit: limit}
	w.lastProgress.Store(time.Now().UnixNano())
	w.timer = time.AfterFunc(limit, func() {
		progressAt := w.lastProgress.Load()
		gone := false
		if w.checksLiveness.Load() {
			check := w.record(s.checkLiveness())
			if left := maxSilence - w.silence(); check.alive && left > 0 {
				w.rearm(progressAt, min(livenessInterval, left))
				return
			}
			gone = check.gone
		}
		if w.lastProgress.Load() != progressAt {
			return // it progressed in the meantime, and the timer is set
		}
		if !gone && !s.mayCancel(w) {
			w.rearm(progressAt, livenessInterval)
			return
		}
		w.fired.Store(true)
		s.cancel()
	})
	return w
}

// answerBegun sets the limit that holds once the answer has begun, and the software version that the answer is bound to.
func (w *watchdog) answerBegun(limit time.Duration, v answerVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit, w.first, w.last, w.version = limit, time.Now(), time.Time{}, v
	w.answering.Store(true)
}

// answerVersion returns the software version that the answer is bound to.
func (w *watchdog) answerVersion() answerVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.answering.Load() && !w.last.IsZero() {
		w.chunkGaps++
		w.longestGap = max(w.longestGap, now.Sub(w.last))
	}
	w.last = now
	w.lastProgress.Store(w.last.UnixNano())
	w.timer.Reset(w.limit)
}

// rearm sets the timer for an engine that is alive, unless the call ended or progressed
// while the engine was asked.
func (w *watchdog) rearm(progressAt int64, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && w.lastProgress.Load() == progressAt {
		w.timer.Reset(after)
	}
}

// stop ends the watch, also while the engine is being asked: a timer set after that would
// ask uselessly every livenessInterval, for as long as an answer is waited for.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// setDelivered records what the caller has of the answer.
func (w *watchdog) setDelivered(chunks int, eventID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chunks, w.eventID = chunks, eventID
}

// delivered returns what the caller has of the answer.
func (w *watchdog) delivered() (chunks int, eventID string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chunks, w.eventID
}

// record keeps the result of a liveness check for the log.
func (w *watchdog) record(c livenessCheck) livenessCheck {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check = c
	return c
}

// lastCheck returns the result of the last liveness check.
func (w *watchdog) lastCheck() livenessCheck {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.check
}

// silence returns how long the engine has sent nothing.
func (w *watchdog) silence() time.Duration {
	return time.Since(time.Unix(0, w.lastProgress.Load()))
}

// answeringTime returns the time from the first chunk to the last.
func (w *watchdog) answeringTime() time.Duration {
	if !w.answering.Load() {
		return 0
	}
	return w.last.Sub(w.first)
}

// A gap between chunks that is this long, and this many times as long as the others are on average,
// is a pause of the engine and not the time of its steps.
const (
	minPause   = 500 * time.Millisecond
	pauseRatio = 5
)

// decodeTime returns the time that the engine took from the first chunk to the last, without a
// single pause.
func (w *watchdog) decodeTime() time.Duration {
	took := w.answeringTime()
	if w.chunkGaps < 2 || w.longestGap < minPause {
		return took
	}
	others := (took - w.longestGap) / time.Duration(w.chunkGaps-1)
	if w.longestGap < pauseRatio*others {
		return took
	}
	return took - w.longestGap + others
}

// An engine that writes nothing is asked for its report, which takes no slot there. One
// that answers is alive and only slow. Its answer is waited for, because a run that is
// abandoned while it may still continue could run twice. An engine that doesn't answer may
// be down or unreachable.
const (
	reportTimeout    = 60 * time.Millisecond  // for a report, which takes some milliseconds
	maxUnanswered    = 2                      // a single lost packet proves nothing
	livenessInterval = 500 * time.Millisecond // between the checks of a silent engine that is alive
	maxTimerDelay    = 20 * time.Millisecond  // timers fire some milliseconds late; beyond this the host itself was held up
	maxLivenessAsks  = 5                      // including those that prove nothing
	witnessDelay     = reportTimeout / 4      // after which another host is asked whether it answers, and some endpoints after twice that
)

// process is the engine process that a call was made to.
type process struct {
	address string
	started int64 // as config.Endpoint.Born
}

// processOf returns the process that an endpoint's registration names.
func processOf(spec *config.Endpoint) process { return process{spec.Address, spec.Born} }

// replacedIn reports whether a report comes from a later process.
func (p process) replacedIn(st *endpoint.State) bool {
	return p.started > 0 && st != nil && st.Incarnation > uint64(p.started)
}

// livenessCheck is the result of asking a silent engine for its report.
type livenessCheck struct {
	alive      bool
	answered   bool // with a report or a refusal to send one
	gone       bool // the process that was called has ended
	asks       int
	unanswered int // asks that count as unanswered
	took       time.Duration
}

// String implements fmt.Stringer.
func (c livenessCheck) String() string {
	if c.asks == 0 {
		return "the engine was not asked for its report"
	}
	return fmt.Sprintf("%d of %d reports unanswered in %s", c.unanswered, c.asks, c.took.Round(time.Millisecond))
}

// checkLiveness asks a silent engine whether it is alive. An engine counts as lost
// only if it doesn't answer at all, if nothing listens at its address, or if it has
// restarted since: it holds nothing of the run then. An ask during which this host was held
// up, or nobody else answered it, proves nothing: the answer may have arrived, or be waiting
// on this host's link.
func (e *Entry) checkLiveness(ctx context.Context, at process) (c livenessCheck) {
	start := time.Now()
	defer func() { c.took = time.Since(start) }()
	for c.alive = true; c.asks < maxLivenessAsks; {
		began, witness := time.Now(), e.board.Answers.Witness(witnessDelay)
		asking := witness.Unless(2*witnessDelay, e.askWitnesses)
		evidence, _ := e.processEvidence(ctx, at, reportTimeout)
		asking.Stop()
		conclusive := witness.Stop()
		c.asks++
		switch {
		case ctx.Err() != nil:
			return c // the call is over
		case evidence == quarantine.EvidenceRefused, evidence == quarantine.EvidenceRestarted:
			c.alive, c.gone = false, true
			return c
		case evidence != quarantine.EvidenceNone:
			c.answered = true
			return c
		case e.board.Paths.State(at.address, time.Now()) == blackboard.PathNone:
			c.unanswered++
		case conclusive && time.Since(began) < reportTimeout+maxTimerDelay:
			c.unanswered++
		}
		if c.unanswered == maxUnanswered {
			c.alive = false
			return c
		}
	}
	return c
}

// processEvidence asks an endpoint for its report once, for up to a timeout. It returns what that
// shows of a process, and the start time in the report if that is a later process's, else 0.
func (e *Entry) processEvidence(ctx context.Context, at process, timeout time.Duration) (evidence quarantine.Evidence, started int64) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	st, err := e.engine.State(limited, at.address)
	var noPath *endpoint.NoPathError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.EvidenceRefused, 0
	case errors.As(err, &noPath):
		return quarantine.EvidenceNone, 0
	case limited.Err() != nil:
		return quarantine.EvidenceNone, 0
	}
	if endpoint.Answered(err) {
		e.board.Answers.Record(began)
	}
	switch {
	case err != nil:
		return quarantine.EvidenceBusy, 0
	case at.replacedIn(st):
		return quarantine.EvidenceRestarted, int64(st.Incarnation)
	}
	return quarantine.EvidenceAlive, 0
}
