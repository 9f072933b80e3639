package owner

import (
	"time"

	"github.com/embercove/embercove/request"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func attempt(n int) request.Attempt { return request.Attempt{Number: uint32(n)} }

// growingArgs requests memory at an engine that allocates it while it decodes.
func growingArgs(n, prompt, expected, slack int) ReserveArgs {
	return ReserveArgs{Attempt: attempt(n), Tokens: prompt, MaxAnswer: 10_880, Slack: slack, Team: 1, Expected: expected}
}
