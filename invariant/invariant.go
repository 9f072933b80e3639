// Package invariant checks conditions that must always hold in the running program.
//
// A violation is counted, logged with result code 500 and, in tests, fatal. It
// never stops a serving process: the promise is already broken, and stopping
// would break others.
package invariant

import (
	"fmt"
	"sync"

	"go.uber.org/zap"

	"github.com/embercove/embercove/result"
)

// Name is the name of an invariant and the value of its metric label.
type Name string

// The invariants. docs/PROMISES.md lists the promise that each belongs to, and the
// promises that have no invariant in the program.
const (
	TokenOnce           Name = "token_sent_once"        // a caller sees each token once, in order
	AnswerOnce          Name = "request_answered_once"  // a request ends only once
	OwnAnswer           Name = "answer_of_own_attempt"  // relayed bytes come from the current attempt
	NotRunDidNotRun     Name = "not_run_did_not_run"    // a request refused as not run had no started attempt
	NotRepeatableOnce   Name = "not_repeatable_once"    // a request that isn't repeatable is started at most once
	RevisionRises       Name = "revision_rises"         // the revision in force never decreases
	LeavingNoNewWork    Name = "leaving_no_new_work"    // no new work is sent to an endpoint that is known to be leaving
	DrainComplete       Name = "drain_complete"         // no request is in progress at the end of a planned stop
	CompleteOnlyIfWhole Name = "complete_only_if_whole" // a response is terminated cleanly only if it is complete
	RetriesWithinBudget Name = "retries_within_budget"  // a request has no more attempts than the configuration allows
)

// Set counts the broken invariants of a process. The zero value is ready to use;
// it only counts.
type Set struct {
	Log    *zap.Logger
	Fatal  func(msg string) // set by tests
	mu     sync.Mutex
	counts map[Name]uint64
}

// Check records a broken invariant if ok is false, and returns ok. The detail is
// formatted only in that case.
func (s *Set) Check(ok bool, name Name, format string, args ...any) bool {
	if ok {
		return true
	}
	msg := fmt.Sprintf(format, args...)
	s.mu.Lock()
	if s.counts == nil {
		s.counts = make(map[Name]uint64)
	}
	s.counts[name]++
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
	out := make(map[Name]uint64, len(s.counts))
	for k, v := range s.counts {
		out[k] = v
	}
	return out
}
