package owner

import (
	"time"

	"github.com/embercove/embercove/request"
)

// Bounds of the numbers in messages. A host of another version may pass on what a caller states as it is, and nothing recovers
// a panic of a method that net/rpc calls.
const (
	// maxAhead bounds how far ahead a reservation may begin: the longest target that a document may set.
	maxAhead = 10 * time.Minute
	// maxSpan bounds any other time.
	maxSpan = 24 * time.Hour
	// maxBytes bounds a transfer.
	maxBytes = 1 << 50
)

// boundMillis returns a time in ms from 0 to bound.
func boundMillis(ms int, bound time.Duration) int { return min(max(0, ms), int(bound.Milliseconds())) }

// bounded returns the message with its numbers in their ranges.
func (a ReserveArgs) bounded() ReserveArgs {
	a.Tokens, a.MaxAnswer = request.BoundTokens(a.Tokens), request.BoundTokens(a.MaxAnswer)
	a.Expected, a.Spare = request.BoundTokens(a.Expected), request.BoundTokens(a.Spare)
	a.Bytes = min(max(0, a.Bytes), maxBytes)
	a.InMillis, a.Slack = boundMillis(a.InMillis, maxAhead), boundMillis(a.Slack, maxAhead)
	return a
}

// bounded returns the message with its numbers in their ranges.
func (a EnqueueArgs) bounded() EnqueueArgs {
	a.Tokens = request.BoundTokens(a.Tokens)
	return a
}

// bounded returns the report with its numbers in their ranges.
func (r Release) bounded() Release {
	r.Answer, r.Max = request.BoundTokens(r.Answer), request.BoundTokens(r.Max)
	r.Expected, r.Cached = request.BoundTokens(r.Expected), request.BoundTokens(r.Cached)
	r.Millis = boundMillis(r.Millis, maxSpan)
	return r
}

// bounded returns the row with its numbers in their ranges. Its tokens are those of prompt and answer together.
func (r HandoverRow) bounded() HandoverRow {
	r.MaxAnswer, r.Expected = request.BoundTokens(r.MaxAnswer), request.BoundTokens(r.Expected)
	r.Tokens = min(max(r.MaxAnswer, r.Tokens), 2*request.MaxTokens)
	return r
}
