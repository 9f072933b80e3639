// Package invariant asserts what must always hold inside the running program.
//
// A broken invariant is counted, logged under result code 500 and, in tests,
// fatal. It never stops a serving process: the promise is already broken, and
// stopping would break others.
package invariant

import (
	"fmt"
	"sync"

	"go.uber.org/zap"

	"github.com/embercove/embercove/result"
)

// Name names an invariant; it is the label of the metric.
type Name string

// The invariants. docs/PROMISES.md says which promise each belongs to, and which
// promises have none in the program.
const (
	TokenOnce       Name = "token_sent_once"        // a caller sees each token once, in order
	AnswerOnce      Name = "request_answered_once"  // a request ends once
	OwnAnswer       Name = "answer_of_own_attempt"  // relayed bytes belong to the current attempt
	NotRunClean     Name = "not_run_did_not_run"    // a not-run refusal follows no started attempt
	SingleRun       Name = "not_repeatable_once"    // a not-repeatable request starts once
	RevisionRises   Name = "revision_rises"         // the revision in force never falls
	LeavingNoWork   Name = "leaving_no_new_work"    // no new work goes to an endpoint known to leave
	DrainComplete   Name = "drain_complete"         // a planned stop ends with no request in progress
	CompleteMarked  Name = "complete_only_if_whole" // a clean end follows a whole answer only
	BudgetedRetries Name = "retries_within_budget"  // a request is tried no more often than the configuration allows
)

// Set counts broken invariants of one process. The zero value works and is
// silent apart from counting.
type Set struct {
	Log   *zap.Logger
	Fatal func(msg string) // set by tests
	mu    sync.Mutex
	n     map[Name]uint64
}

// Check records a broken invariant when ok is false and returns ok. The
// detail is formatted only then.
func (s *Set) Check(ok bool, name Name, format string, args ...any) bool {
	if ok {
		return true
	}
	msg := fmt.Sprintf(format, args...)
	s.mu.Lock()
	if s.n == nil {
		s.n = make(map[Name]uint64)
	}
	s.n[name]++
	fatal := s.Fatal
	s.mu.Unlock()
	if s.Log != nil {
		s.Log.Error("invariant broken", zap.Int("code", int(result.InvariantBroken)),
			zap.String("invariant", string(name)), zap.String("detail", msg))
	}
	if fatal != nil {
		fatal(string(name) + ": " + msg)
	}
	return false
}

// Counts returns how often each invariant was broken.
func (s *Set) Counts() map[Name]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Name]uint64, len(s.n))
	for k, v := range s.n {
		out[k] = v
	}
	return out
}
