// Package report counts how requests ended: goodput, wasted prefill, and the burn of the
// error budgets.
//
// Each host counts only its own requests; the operator's tool adds up the hosts.
package report

import (
	"time"

	"github.com/embercove/embercove/config"
	"github.com/embercove/embercove/result"
)

// Outcome is how one request ended.
type Outcome struct {
	Team, Model string
	Code        result.Code
	TTFT        time.Duration // to the first token; 0: none was sent
	TPOT        time.Duration // per token after the first; 0: fewer than two tokens
	Tokens      int           // sent to the caller
	Prefilled   int           // prompt tokens that engines prefilled for it
	Wasted      int           // prompt tokens among them that led to no answer
	Tries       int           // passes through reservation, prefill and decode
	Attempts    int           // calls that may have run at endpoints
	Service     bool          // a call to a plain service
}

// Verdict is how an outcome counts.
type Verdict int

// The verdicts.
const (
	Excluded Verdict = iota // caused by the caller, so not counted for the objective
	Good                    // answered within both targets
	Late                    // answered outside a target
	Bad                     // refused, broken or unknown
)

// firstRouterCode is the lowest code that isn't caused by the caller.
const firstRouterCode = result.TooLate

// Evaluate returns how an outcome counts under the targets.
func Evaluate(o Outcome, t config.Targets) Verdict {
	switch {
	case o.Code == result.CallerGone:
		return Excluded
	case o.Code == result.OK && o.Service:
		return Good
	case o.Code == result.OK && o.TTFT <= t.TTFT() && o.TPOT <= t.TPOT():
		return Good
	case o.Code == result.OK:
		return Late
	case o.Code < firstRouterCode:
		return Excluded
	}
	return Bad
}
