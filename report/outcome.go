// Package report counts how requests ended: goodput, wasted prefill, and the
// burn of the service levels.
//
// It is each host's own count; the operator's tool adds hosts up.
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
	TPOT        time.Duration // per token after the first; 0: fewer than two
	Tokens      int           // sent to the caller
	Prefilled   int           // prompt tokens that engines read for it
	Wasted      int           // of these, read for no answer
	Tries       int           // passes of the whole way from reservation on
	Attempts    int           // calls that may have run at endpoints
	Service     bool          // a plain service's call
}

// Verdict is what an outcome counts as.
type Verdict int

// The verdicts.
const (
	Excluded Verdict = iota // the caller's own doing
	Good                    // answered within both targets
	Late                    // answered outside a target
	Bad                     // refused, broken or unknown
)

// firstRouterCode is the least code that isn't the caller's doing.
const firstRouterCode = result.TooLate

// Judge returns what an outcome counts as under the targets.
func Judge(o Outcome, t config.Targets) Verdict {
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
